package flightfrontend

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/net/http2"

	"brackenfront/internal/transport/http2frames"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/sockets"
	"brackenfront/internal/transport/turns"
)

// readBufferBytes is the size, in bytes, of a connection's read buffer: that of the gRPC library, in whose place it is. It is also how
// many of the bytes that a socket holds are looked at.
const readBufferBytes = 32 << 10

// lookBuffers holds the buffers, of readBufferBytes each, that bytes of sockets are looked at in.
var lookBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// socketReader reads a client's socket for the gRPC library, and can look at what the library has not read yet: after a pause of
// this process, or in a burst, a client may have left long before the library has read that. The library must read without a
// buffer of its own, so that each of its reads ends within the frame that it needs next.
type socketReader struct {
	// rawConn gives access to the socket.
	rawConn syscall.RawConn
	// memory keeps account of what is delivered for the calls of the connection.
	memory *callMemory
	// turn is the connection's right to the processor; nil for none.
	turn *turns.Turn
	// onRefusal is called once memory has refused what would be delivered next.
	onRefusal func()

	// mu guards the fields below, and is held while bytes are taken from the socket.
	mu sync.Mutex
	// buffer is the memory that unread lies in; nil before the first read.
	buffer []byte
	// unread holds the bytes that were read from the socket and not delivered to the library.
	unread []byte
	// arrivedAt is when the newest bytes had arrived when unread was last taken from the socket: those in it, or ones behind them.
	arrivedAt time.Time
	// delivered is the position in the client's frames of the bytes that were delivered to the library.
	delivered http2frames.Scanner
	// refused is set once memory has refused what would be delivered next: nothing more is delivered then.
	refused bool
}

// newSocketReader returns a reader of a new connection's socket. It accounts in memory for what it delivers, and calls onRefusal, once,
// where memory refuses that.
func newSocketReader(rawConn syscall.RawConn, memory *callMemory, turn *turns.Turn, onRefusal func()) *socketReader {
	return &socketReader{rawConn: rawConn, memory: memory, turn: turn, onRefusal: onRefusal, delivered: http2frames.NewClientScanner()}
}

// read delivers bytes to the library; it waits until there are some or the connection has ended. Once memory has refused what would be
// delivered next, it waits for the end of the connection.
func (r *socketReader) read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	r.turn.Continue()
	n := r.deliver(b)
	for n == 0 {
		if r.refused {
			r.turn.End()
			r.onRefusal()
			return 0, r.rawConn.Read(func(uintptr) bool { return false })
		}
		var fillErr error
		if err := r.rawConn.Read(func(fd uintptr) bool {
			fillErr = r.fill(fd)
			if fillErr == syscall.EAGAIN {
				r.turn.End()
			}
			return fillErr != syscall.EAGAIN
		}); err != nil {
			r.turn.End()
			return 0, err
		}
		if fillErr != nil {
			return 0, fillErr
		}
		r.turn.Continue()
		n = r.deliver(b)
	}
	return n, nil
}

// deliver moves unread bytes to b and returns how many: those up to the first that memory refuses.
func (r *socketReader) deliver(b []byte) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused {
		return 0
	}
	n := 0
	for n < min(len(b), len(r.unread)) {
		piece := r.delivered.Next(r.unread[n:min(len(b), len(r.unread))])
		if !r.memory.deliver(r.delivered.Frame(), piece) {
			r.refused = true
			break
		}
		n += piece.Length
	}
	copy(b, r.unread[:n])
	r.unread = r.unread[n:]
	return n
}

// fill moves bytes from the socket with descriptor fd to unread, which must be empty, without waiting. The errors are those of
// sockets.ReadAvailable. Only read calls it.
func (r *socketReader) fill(fd uintptr) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buffer == nil {
		r.buffer = make([]byte, readBufferBytes)
	}
	n, err := sockets.ReadAvailable(fd, r.buffer)
	if n > 0 {
		// Asked before the read, the system could name bytes that came long before these.
		r.arrivedAt = sockets.NewestArrival(fd, time.Now(), parts.ClientSeenValidity)
	}
	r.unread = r.buffer[:n]
	return err
}

// deliveredCall describes the call whose headers were delivered to the library last.
func (r *socketReader) deliveredCall() call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return call{stream: r.delivered.Frame().StreamID, unreadTime: time.Since(r.arrivedAt)}
}

// departed reports, without waiting, whether the client has closed its connection or reset the stream with that number, as far as
// the library has not handled that. It takes no bytes from the socket: a read that waits would not be woken for them. A reset
// behind more than readBufferBytes in the socket is not detected.
func (r *socketReader) departed(stream uint32) (departed bool) {
	err := r.rawConn.Control(func(fd uintptr) {
		r.mu.Lock()
		defer r.mu.Unlock()
		departed = sockets.ClosedBehindUnread(fd) || r.resetUnhandled(fd, stream)
	})
	return departed || err != nil
}

// resetUnhandled reports whether a reset of the stream is among the bytes that were not delivered to the library, or is the frame
// that was delivered last, which the library may not have handled yet: it has handled a frame once it reads the next one. r.mu must
// be held.
func (r *socketReader) resetUnhandled(fd uintptr, stream uint32) bool {
	ahead := r.delivered
	if containsReset(&ahead, r.unread, stream) {
		return true
	}
	look := lookBuffers.Get().(*[readBufferBytes]byte)
	defer lookBuffers.Put(look)
	n := sockets.Peek(fd, look[:])
	return containsReset(&ahead, look[:n], stream)
}

// containsReset advances the scanner over b, and reports whether the current frame before or after any of these bytes resets the
// stream; it may stop at the first that does.
func containsReset(scanner *http2frames.Scanner, b []byte, stream uint32) bool {
	for {
		if frame := scanner.Frame(); frame.Type == http2.FrameRSTStream && frame.StreamID == stream {
			return true
		}
		if len(b) == 0 {
			return false
		}
		b = b[scanner.Next(b).Length:]
	}
}
