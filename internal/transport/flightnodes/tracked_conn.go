package flightnodes

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2/hpack"

	"brackenfront/internal/transport/http2frames"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
)

// tagHeader is the name of the header that has the tag of a stream's attempt, from which trackedConn reads it.
const tagHeader = "brackenfront-part"

// trackedConn is a connection to a node that parses the bytes written to it. The gRPC library tells when a request is passed
// to it, but not when the request's last byte has left this machine; whether a request may have run, and whether it can still
// leave, depend on the latter. It parses frames (RFC 9113, section 4) and the headers in them (RFC 7541), and changes no byte.
type trackedConn struct {
	// Conn is the socket.
	net.Conn
	// onProgress is called at each writeStage of the last byte of a stream's request (endsRequest) or of a stream's reset (not
	// endsRequest). tag is the tag of the stream's attempt.
	onProgress func(tag string, endsRequest bool, stage writeStage)
	// sendDeadline returns the time by which the request of the attempt with that tag has to have left this machine; zero if the
	// attempt is not in flight.
	sendDeadline func(tag string) time.Time
	// onSendTimeout is called before the connection is closed because written bytes do not reach the node's machine in time (discard).
	onSendTimeout func()
	// onClose is called once, after the socket is closed.
	onClose func()
	// isActive reports whether the attempt with that tag is in flight.
	isActive func(tag string) bool

	// turn is the connection's right to the processor, which the goroutine of the gRPC library that reads the connection holds from when
	// it was given bytes until it reads again; nil for no such turns.
	turn *turns.Turn
	// closeOnce makes repeated calls of Close call onClose only once.
	closeOnce sync.Once
	// createdAt is when the connection was made, with a monotonic reading; lastReadNanos counts from it.
	createdAt time.Time
	// lastReadNanos is when bytes were last received, in nanoseconds since createdAt; 0 for none yet.
	lastReadNanos atomic.Int64
	// writing says that a Write is in progress.
	writing atomic.Bool
	// sendQueue reports how many of the written bytes have not left this machine.
	sendQueue *parts.SendQueue
	// windowCheck calls discard if the node's machine has shrunk its receive window and does not acknowledge sent bytes in time.
	windowCheck *parts.WindowCheck

	// The fields below belong to the goroutine that writes: the gRPC library writes from one alone.

	// scanner finds the frames in the written bytes.
	scanner http2frames.Scanner
	// headerBlock collects header fields until the end of their block.
	headerBlock bytes.Buffer
	// headerStream is the number of the stream that the header block belongs to.
	headerStream uint32
	// headersEndStream says that the stream's request ends with the header block.
	headersEndStream bool
	// tagOfStream has, by the number of each stream that was opened and not reset by this side, the tag of its attempt.
	tagOfStream map[uint32]string
	// pruneAt is the size of tagOfStream at which the streams whose attempts are no longer in flight are removed from it.
	pruneAt int
	// decoder decodes header blocks; its dynamic table follows every block of the connection.
	decoder *hpack.Decoder
	// decodedTag is the tag, that is, the value of the header tagHeader, in the header block that was decoded last; empty where it has
	// none.
	decodedTag string
	// streamEnds are the ends of requests and the resets in the current write, in the order of their bytes.
	streamEnds []streamEnd
}

// minPruneAt is the smallest size of trackedConn.tagOfStream, in streams, at which those whose attempts have ended are removed
// from it.
const minPruneAt = 64

// headerTableBytes is the size of the decoder's dynamic table, the initial one of HTTP/2.
const headerTableBytes = 4096

// writeStage is a stage of a write, seen from the last byte of a request or reset that the write includes.
type writeStage uint8

const (
	// aboutToWrite is the stage before the write.
	aboutToWrite writeStage = iota
	// inSendBuffer: the operating system has taken the bytes up to and including that last byte.
	inSendBuffer
	// leftMachine: the bytes up to and including that last byte have left this machine, or were discarded with their
	// connection.
	leftMachine
	// notWritten: the write has failed before the operating system took the last byte of the stream's request or reset.
	notWritten
)

// streamEnd describes the last byte of a stream's request, or of the stream's reset, within the current write.
type streamEnd struct {
	// offset is the number of bytes of the write up to and including that last byte.
	offset int
	// tag is the tag of the stream's attempt.
	tag string
	// endsRequest says that the byte ends a request; it is false for a reset.
	endsRequest bool
}

// newTrackedConn wraps the socket of a connection to a node; owner is the connection that is notified of the writes and the close.
func newTrackedConn(socket net.Conn, owner *connection) *trackedConn {
	t := &trackedConn{
		Conn:          socket,
		createdAt:     time.Now(),
		onProgress:    owner.onWriteProgress,
		sendDeadline:  owner.sendDeadlineOf,
		onSendTimeout: owner.onSendTimeout,
		isActive:      owner.hasAttempt,
		onClose:       owner.onClosed,
		sendQueue:     parts.NewSendQueue(socket),
		pruneAt:       minPruneAt,
		scanner:       http2frames.NewClientScanner(),
		tagOfStream:   map[uint32]string{},
	}
	t.windowCheck = parts.NewWindowCheck(socket, t.discard)
	t.decoder = hpack.NewDecoder(headerTableBytes, func(field hpack.HeaderField) {
		if field.Name == tagHeader {
			t.decodedTag = field.Value
		}
	})
	return t
}

// Read reads from the socket and records when bytes are received.
func (t *trackedConn) Read(buffer []byte) (int, error) {
	t.turn.End()
	n, err := t.Conn.Read(buffer)
	if n > 0 {
		t.turn.Begin()
		t.lastReadNanos.Store(int64(time.Since(t.createdAt)))
	}
	return n, err
}

// lastRead returns when bytes were last received; zero where none were. The time has a monotonic reading, as a step of the wall
// clock would look like silence of the node, or hide it.
func (t *trackedConn) lastRead() (at time.Time) {
	if since := t.lastReadNanos.Load(); since > 0 {
		at = t.createdAt.Add(time.Duration(since))
	}
	return at
}

// Write writes HTTP/2 frames to the node. It must be complete by the earliest send deadline of the requests whose last frame is
// in buffer, and within parts.SendTimeout. If bytes have not left this machine by then, the connection is closed and they are
// discarded; nothing further is written while bytes are unsent. This guards against a request that, because the node does not
// read, reaches it late: the remaining time that it states would be wrong, or it would arrive after its send deadline. If buffer
// resets a stream, the written bytes must also lie within the node's receive window by then (parts.SendQueue.WaitEmpty).
func (t *trackedConn) Write(buffer []byte) (int, error) {
	t.streamEnds = t.streamEnds[:0]
	t.parseFrames(buffer)
	deadline := time.Now().Add(parts.SendTimeout)
	includesReset := false
	for _, end := range t.streamEnds {
		if !end.endsRequest {
			includesReset = true
			continue
		}
		if sendDeadline := t.sendDeadline(end.tag); !sendDeadline.IsZero() && sendDeadline.Before(deadline) {
			deadline = sendDeadline
		}
	}
	t.reportProgress(aboutToWrite, len(buffer))
	t.writing.Store(true)
	defer t.writing.Store(false)
	// The deadline may be past, where a request has stood in the gRPC library's queue for too long.
	n, err := parts.WriteBefore(deadline, t.Conn, buffer)
	t.windowCheck.Written()
	t.reportProgress(notWritten, n)
	t.reportProgress(inSendBuffer, n)
	if err == nil && !t.sendQueue.WaitEmpty(deadline, includesReset) {
		err = parts.ErrSendTimeout
	}
	if errors.Is(err, parts.ErrSendTimeout) || errors.Is(err, os.ErrDeadlineExceeded) {
		t.discard()
	}
	t.reportProgress(leftMachine, n)
	return n, err
}

// reportProgress calls onProgress for the stream ends within the first n bytes of the write, which the operating system has
// taken, or, at the stage notWritten, for those beyond.
func (t *trackedConn) reportProgress(stage writeStage, n int) {
	for _, end := range t.streamEnds {
		if taken := end.offset <= n; taken != (stage == notWritten) {
			t.onProgress(end.tag, end.endsRequest, stage)
		}
	}
}

// discard calls onSendTimeout, closes the connection, and drops the written bytes that have not left this machine, or that the node's machine
// has not acknowledged. It is called where written bytes do not reach that machine in time.
func (t *trackedConn) discard() {
	t.onSendTimeout()
	parts.DiscardUnsentOnClose(t.Conn)
	t.Close()
}

// Close closes the socket; a Write in progress returns. It may be called repeatedly, and from any goroutine.
func (t *trackedConn) Close() error {
	t.windowCheck.Stop()
	err := t.Conn.Close()
	t.turn.End()
	t.closeOnce.Do(t.onClose)
	return err
}
