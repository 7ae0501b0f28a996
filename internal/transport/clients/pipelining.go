package clients

import (
	"bytes"
	"io"
	"time"
)

// maxPipelinedBytes is the largest number of bytes that are read ahead and kept of what a client sends while its request is being
// served.
const maxPipelinedBytes = 16 << 10

// maxBadRequests is the most bad requests that a client may send on one connection: those that are answered with a 4xx status
// while others are pipelined behind them. With the last of these the connection ends; the requests behind it are not
// forwarded and only get error responses.
const maxBadRequests = 8

// readPipelined moves pipelined bytes to b, up to the end of one request, and returns how many. err is the framing's error if the
// request is malformed or its end ambiguous; n is then 0. c.mu must be held.
func (c *conn) readPipelined(b []byte) (n int, err error) {
	if n, err = c.advanceFraming(c.pipelined[:min(len(b), len(c.pipelined))]); err != nil {
		return 0, err
	}
	copy(b, c.pipelined[:n])
	if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
		c.pipelined = nil
	}
	return n, nil
}

// countBadRequest is called when the current request is answered with a status for which isBadRequest is true. It counts the request
// if others are pipelined behind it, and reports whether maxBadRequests has been reached, so that the connection has to end.
func (c *conn) countBadRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pipelined) == 0 {
		return false
	}
	if c.badRequests++; c.badRequests < maxBadRequests {
		return false
	}
	if c.endCode == "" {
		c.endCode = codeUnusable
	}
	return true
}

// mustAnswerPipelined reports whether requests are pipelined, the first with a complete head at least, and if so has them
// answered before the connection ends: a response that says that it is the connection's last must not be sent before theirs
// (RFC 9112, section 9.6).
func (c *conn) mustAnswerPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pipelined) > 0 {
		// This is a copy, so that the framing of the connection does not advance.
		lookahead := c.framing
		_, err := lookahead.Accept(c.pipelined)
		// Bytes without a complete head are no request.
		c.rejectPipelined = err == nil && lookahead.HeadComplete()
	}
	return c.rejectPipelined
}

// answerPipelined sends an error response to every pipelined request, in place of net/http, and returns io.EOF once all are
// sent. None of these requests is served. No response says that its request did not run, as the client may have sent the same
// request before, and it may have run then. Without this, requests that have been read would end without a response.
func (c *conn) answerPipelined() error {
	requests := c.countPipelined()
	c.mu.Lock()
	c.responseBegun = true
	if c.endCode == "" {
		c.endCode = codeDone
	}
	c.mu.Unlock()
	if requests == 0 {
		return io.EOF
	}
	responses := append(bytes.Repeat([]byte(badRequestKeepOpen), requests-1), badRequestClose...)
	c.Conn.SetWriteDeadline(time.Now().Add(maxLingerTime))
	if _, err := c.writeSocket(responses); err != nil {
		return err
	}
	return io.EOF
}

// countPipelined takes the pipelined bytes and those unread in the socket, up to maxLingerBytes, passes them to the framing,
// discards them, and returns how many requests they are. A last one that is incomplete or malformed counts too. Others get their turns
// at the processor meanwhile.
func (c *conn) countPipelined() (requests int) {
	for consumed := 0; consumed < maxLingerBytes; {
		bytes, ended, more, err := c.skipPipelined()
		if err != nil {
			return requests + ended + 1
		}
		requests += ended
		if !more {
			break
		}
		consumed += bytes
		c.turn.Continue()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.framing.RequestComplete() {
		requests++
	}
	return requests
}

// skipPipelined passes the pipelined bytes, or some that are unread in the socket, to the framing and discards them. It returns how many
// there were, how many requests ended in them, and whether there were any; err is the framing's error.
func (c *conn) skipPipelined() (bytes, ended int, more bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pipelined) == 0 && !c.bufferUnread() {
		return 0, 0, false, nil
	}
	for len(c.pipelined) > 0 {
		n, err := c.framing.Accept(c.pipelined)
		if err != nil {
			return bytes, ended, true, err
		}
		c.pipelined = c.pipelined[n:]
		bytes += n
		if c.framing.RequestComplete() {
			ended++
		}
	}
	return bytes, ended, true, nil
}

// bufferUnread moves some unread bytes from the socket to pipelined, without waiting, and reports whether there were any.
// c.mu must be held.
func (c *conn) bufferUnread() bool {
	if c.rawConn == nil {
		return false
	}
	c.rawConn.Control(func(fd uintptr) { c.readAhead(fd) })
	return len(c.pipelined) > 0
}
