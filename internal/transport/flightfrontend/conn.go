package flightfrontend

import (
	"brackenfront/fairshare"
	"brackenfront/internal/transport/turns"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Close codes say why a connection ended. They are written to the log and are the keys of Counts.ClosedByCode.
const (
	// codeClosed: this side closed the connection: the frontend or its gRPC library, as after a drain or IdleTimeout.
	codeClosed = "done"
	// codeSlow: the client did not read its answer within Limits.WriteTimeout, or a deadline of the socket passed.
	codeSlow = "slow"
	// codeMemory: the client's calls needed more memory than the calls of all clients may take, or the client sent many heads that could
	// not be accepted.
	codeMemory = "memory"
	// codeClientClosed: the client closed the connection.
	codeClientClosed = "left"
	// codeReset: the client's machine reset the connection.
	codeReset = "reset"
	// codeFailed: reading from or writing to the socket failed for a reason that none of the other codes names.
	codeFailed = "broken"
)

// clientConn is a client's connection. It records the first reason for its end, and logs its end.
type clientConn struct {
	// Conn is the accepted connection.
	net.Conn
	// frontend is the frontend that accepted the connection.
	frontend *Frontend
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
	// reader reads the socket; nil where the connection gives no access to one.
	reader *socketReader
	// memory keeps account of the memory of the connection's calls.
	memory *callMemory
	// turn is the connection's right to the processor, which the goroutine that reads it holds from when it was given bytes until it waits
	// for more; nil where Limits.Turns is.
	turn *turns.Turn

	// streamsCtx is cancelled when the searches of the connection's streams must stop, because the connection closes or a drain is
	// cut short; each stream then gets its final status at once.
	streamsCtx context.Context
	// endStreams cancels streamsCtx; the cause that it is called with is errSlowClient where the client does not read an answer,
	// errNoCallMemory where there is no memory for its calls, and otherwise nil.
	endStreams context.CancelCauseFunc

	// closeOnce makes repeated calls of Close count and log the end of the connection only once.
	closeOnce sync.Once
	// mu guards closeCode.
	mu sync.Mutex
	// closeCode is the close code of the first reason for the connection's end, such as codeSlow; empty while there is none.
	closeCode string
}

// newClientConn returns the connection of a client that the frontend has accepted.
func newClientConn(accepted net.Conn, frontend *Frontend) *clientConn {
	c := &clientConn{Conn: accepted, frontend: frontend, acceptedAt: time.Now(), memory: newCallMemory(&frontend.callMemory)}
	c.streamsCtx, c.endStreams = context.WithCancelCause(frontend.streamsCtx)
	c.turn = frontend.limits.Turns.NewTurn(&fairshare.Source{})
	if socket, ok := accepted.(syscall.Conn); ok {
		if rawConn, err := socket.SyscallConn(); err == nil {
			c.reader = newSocketReader(rawConn, c.memory, c.turn, func() { c.closeAfterStatus(codeMemory, errNoCallMemory) })
		}
	}
	return c
}

// Read reads from the socket, and records an error as the reason for the connection's end.
func (c *clientConn) Read(b []byte) (n int, err error) {
	if c.reader != nil {
		n, err = c.reader.read(b)
	} else {
		n, err = c.Conn.Read(b)
	}
	c.recordError(err)
	return n, err
}

// departed reports, without waiting, whether the client has cancelled a call or closed its connection, also where the gRPC library
// has not read that yet. ctx is the context of the call's stream.
func (c *clientConn) departed(ctx context.Context) bool {
	if call, ok := ctx.Value(callKey{}).(call); ok && c.reader.departed(call.stream) {
		return true
	}
	// This comes last: what the library has handled before the reader was asked has cancelled the context by now.
	return ctx.Err() != nil || c.streamsCtx.Err() != nil
}

// Write writes to the socket, and records an error as the reason for the connection's end.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.turn.Write(c.Conn, b)
	c.recordError(err)
	return n, err
}

// recordError sets closeCode by err, an error of the socket, unless it is set already; it does nothing if err is nil.
func (c *clientConn) recordError(err error) {
	if err == nil {
		return
	}
	code := codeFailed
	switch {
	case errors.Is(err, net.ErrClosed):
		code = codeClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		code = codeSlow
	case errors.Is(err, io.EOF):
		code = codeClientClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		code = codeReset
	}
	c.mu.Lock()
	if c.closeCode == "" {
		c.closeCode = code
	}
	c.mu.Unlock()
}

// errSlowClient is the cause with which a connection's streamsCtx is cancelled because its client does not read an answer.
var errSlowClient = errors.New("the client does not read an answer")

// errNoCallMemory is the cause with which a connection's streamsCtx is cancelled because there is no memory for its calls.
var errNoCallMemory = errors.New("no memory for the calls of the connection")

// closeSlow ends the connection of a client that has not read its answer within Limits.WriteTimeout.
func (c *clientConn) closeSlow() { c.closeAfterStatus(codeSlow, errSlowClient) }

// closeAfterStatus ends the connection with a close code and a cause for its streams. The streams get finalStatusTimeout to send
// their final status first: if the connection just ended, clients would see a status (UNAVAILABLE) that says that the search was
// rejected, though it may have run.
func (c *clientConn) closeAfterStatus(code string, cause error) {
	c.mu.Lock()
	if c.closeCode == "" {
		c.closeCode = code
	}
	c.mu.Unlock()
	c.endStreams(cause)
	time.AfterFunc(finalStatusTimeout, func() { c.Conn.Close() })
}

// endedByFrontend reports whether the frontend has cancelled the connection's streams, because a drain was cut short, the client
// did not read an answer, or there was no memory for its calls; it is false where the client left.
func (c *clientConn) endedByFrontend() bool {
	cause := context.Cause(c.streamsCtx)
	return c.frontend.streamsCtx.Err() != nil || errors.Is(cause, errSlowClient) || errors.Is(cause, errNoCallMemory)
}

// Close closes the socket and ends the connection's streams. The first call counts and logs the end.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	// The goroutine that reads may have ended while it had the turn.
	c.turn.End()
	c.closeOnce.Do(func() {
		c.endStreams(nil)
		c.mu.Lock()
		code := c.closeCode
		c.mu.Unlock()
		if code == "" {
			code = codeClosed
		}
		c.frontend.mu.Lock()
		c.frontend.openConns--
		// Otherwise the client has opened a new connection from the same address.
		if addr := c.RemoteAddr().String(); c.frontend.connsByAddr[addr] == c {
			delete(c.frontend.connsByAddr, addr)
		}
		c.frontend.counts.Closed++
		c.frontend.counts.ClosedByCode[code]++
		c.frontend.mu.Unlock()
		c.frontend.log.WithField("side", "flight").WithField("peer", c.RemoteAddr().String()).WithField("code", code).
			WithField("ms", time.Since(c.acceptedAt).Milliseconds()).Info("connection ended")
	})
	return err
}
