package clients

import (
	"errors"
	"io"
	"time"

	"brackenfront/internal/protocol"
)

// maxLingerTime bounds how long the server, once it has closed its sending side of a connection, reads on and waits for the client to
// close the other side. It also bounds sending the error responses of this package.
const maxLingerTime = 500 * time.Millisecond

// maxLingerBytes is the largest number of bytes that are read from a closing connection and discarded.
const maxLingerBytes = 256 << 10

// Whole HTTP responses for cases in which net/http would give none. None says that the request did not run, which would allow
// the client to send it again.
const (
	// badRequestKeepOpen is the response, with status 400, that says that a request cannot be read or is not served; more responses
	// follow on the connection.
	badRequestKeepOpen = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
	// badRequestClose is the response, with status 400, that says that a request cannot be read or is not served; it is the
	// connection's last response.
	badRequestClose = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// tooManyFieldsClose is the response, with status 431, that says that a request has more header fields than are allowed; it is
	// the connection's last response.
	tooManyFieldsClose = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// requestTimeoutClose is the response, with status 408, that says that a request was not received completely in time; it is the
	// connection's last response.
	requestTimeoutClose = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// internalErrorClose is the response with status 500 to a request that may have run, or that there is no memory for; it is the
	// connection's last response.
	internalErrorClose = "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// closeWriteIfUnused closes the connection's sending side if condition returns true and no byte of a request has arrived, not even
// unread in the socket. It records code as the end code, and reports whether it closed. The client sees an end of stream; if it
// has sent a request meanwhile, it repeats that over another connection. condition is called with c.mu locked.
func (c *conn) closeWriteIfUnused(code string, condition func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed || c.requestBegun || c.endCode != "" || !condition() || c.hasUnread() {
		return false
	}
	c.beginClosing(code)
	if c.idle {
		c.idle = false
		c.server.unusedConns.Add(-1)
	}
	c.closeWriteLocked()
	return true
}

// endPartialRequest begins to close the connection if its client has sent part of a request, and nothing more since silentSince; it reports
// whether it did. As the request was never complete, it has not been forwarded. It gets status 408, or 400 if only its body is incomplete.
func (c *conn) endPartialRequest(silentSince time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed || c.readsAborted || c.endCode != "" || !c.hasPartialRequest() {
		return false
	}
	if !c.partialSince.Before(silentSince) || c.hasUnread() {
		return false
	}
	c.beginClosing(codePartial)
	c.abortReadsLocked()
	return true
}

// hasPartialRequest reports whether a request has begun to arrive, is not complete, and has no response yet. c.mu must be held.
func (c *conn) hasPartialRequest() bool {
	return c.requestBegun && !c.responseBegun && c.framing.Err() == nil && !c.framing.RequestComplete()
}

// limitBodyRead reports whether the current request has not arrived completely, so that the response to it has to be the connection's
// last. If so, it bounds by maxLingerTime how long net/http goes on reading the request's body.
func (c *conn) limitBodyRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasPartialRequest() {
		return false
	}
	if !c.writeClosed && !c.readsAborted {
		c.Conn.SetReadDeadline(time.Now().Add(maxLingerTime))
	}
	return true
}

// beginClosing records that the server has begun to close the connection by itself, with code as the end code. c.mu must be held.
func (c *conn) beginClosing(code string) {
	c.endCode = code
	c.closing = true
	c.server.closingConns.Add(1)
}

// closeWriteLocked closes the connection's sending side and makes a read that waits for the client fail; repeated calls have no
// effect. c.mu must be held.
func (c *conn) closeWriteLocked() {
	if c.writeClosed {
		return
	}
	c.writeClosed = true
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		w.CloseWrite()
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// CloseWrite closes the connection's sending side. net/http calls it before it closes a connection from which it has not read all of
// a request. The error is always nil.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWriteLocked()
	return nil
}

// abortReads makes the reading of the current request fail at once, so that the request gets its final response. It is called when
// a drain is cut short, that is, when its context ends before all requests are answered.
func (c *conn) abortReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeClosed {
		c.abortReadsLocked()
	}
}

// abortReadsLocked makes the reading of the current request, and every later read, fail at once. c.mu must be held.
func (c *conn) abortReadsLocked() {
	c.readsAborted = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// finalResponse returns the text of the HTTP response to send before the connection is closed, if bytes of a request have arrived
// to which no response has begun, as its head came too slowly or its handler panicked. It is empty if no response is due. c.mu must
// be held.
func (c *conn) finalResponse() string {
	switch {
	case !c.requestBegun || c.responseBegun || c.writeClosed:
		return ""
	case c.handlerCalled:
		return internalErrorClose
	case c.refusal != nil:
		// The request may have been delivered before, and have run then.
		return internalErrorClose
	case errors.Is(c.framing.Err(), protocol.ErrTooManyFields):
		return tooManyFieldsClose
	case c.framing.Err() != nil:
		return badRequestClose
	}
	return requestTimeoutClose
}

// Close sends the final response if one is still due, closes the connection, and has the server count and log its end. Only the
// goroutine that serves this connection calls it. It may wait there for up to twice maxLingerTime: a socket that is closed
// over unread bytes is reset, and the end of a response could be lost with that.
func (c *conn) Close() error {
	c.turn.End()
	c.mu.Lock()
	clientGone := c.clientEnd != nil || c.endCode == codeLeft || c.endCode == codeReset || c.endCode == codeBroken
	response := c.finalResponse()
	c.mu.Unlock()
	if response != "" && !clientGone {
		c.Conn.SetWriteDeadline(time.Now().Add(maxLingerTime))
		io.WriteString(c.Conn, response)
	}
	c.mu.Lock()
	c.closeWriteLocked()
	c.mu.Unlock()
	if !clientGone {
		c.Conn.SetReadDeadline(time.Now().Add(maxLingerTime))
		io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	err := c.Conn.Close()
	c.server.removeConn(c)
	return err
}
