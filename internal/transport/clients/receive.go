package clients

import (
	"errors"
	"net"
	"time"

	"brackenfront/internal/transport/sockets"
)

// readSocket waits for bytes from the client, reads them into b, and returns how many of them net/http may have: those of one
// request at most. readInProgress is set before bytes are taken from the socket and until they are recorded as a request, and
// keeps the server from closing the connection as unused meanwhile, so that whatever was read gets its response.
func (c *conn) readSocket(b []byte) (n int, err error) {
	if err := c.waitReadable(); err != nil {
		return 0, err
	}
	c.turn.Begin()
	n, err = c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readInProgress = false
	if n > 0 {
		n, err = c.limitToOneRequest(b[:n], err)
	}
	return n, err
}

// waitReadable waits until the client has sent something or has closed its connection, and then sets readInProgress. It fails
// at the read deadline, where the connection is closed, and returns nil without waiting where the socket cannot be polled.
func (c *conn) waitReadable() error {
	if c.rawConn == nil {
		return nil
	}
	err := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readInProgress = !c.writeClosed && sockets.Readable(fd)
		if c.readInProgress || c.writeClosed {
			return true
		}
		c.turn.End()
		return false
	})
	var failed *net.OpError
	if errors.As(err, &failed) {
		// net/http recognizes only this operation as a failed read.
		failed.Op = "read"
	}
	return err
}

// hasUnread reports whether the connection has received bytes, or the client's close, that no read has processed yet. c.mu
// must be held.
func (c *conn) hasUnread() (unread bool) {
	if c.readInProgress {
		return true
	}
	if c.rawConn != nil {
		c.rawConn.Control(func(fd uintptr) { unread = sockets.Readable(fd) })
	}
	return unread
}

// limitToOneRequest returns how many of the bytes b, which were just read from the socket, net/http may have: those up to the
// end of the current request. It keeps the rest in pipelined until that request has its response. readErr is the error that
// came with these bytes. err is the framing's error if the request's end cannot be determined (n is then 0), nil if bytes were
// kept back (the next read of the socket returns a lasting error again), and readErr otherwise. c.mu must be held.
func (c *conn) limitToOneRequest(b []byte, readErr error) (n int, err error) {
	if n, err = c.advanceFraming(b); err != nil {
		// net/http answers a bad head with 400; the reader of a body gets the error.
		return 0, err
	}
	if n < len(b) {
		c.pipelined = append(c.pipelined, b[n:]...)
		// An error of the connection is returned again by the next read.
		return n, nil
	}
	return n, readErr
}

// advanceFraming passes bytes to the framing and returns how many of them belong to the current request. c.mu must be held.
// The framing is the parser that finds where requests end; it fails where a request is malformed or its end is ambiguous.
// advanceFraming also fails where there is no memory for the bytes of a head, which are discarded then.
func (c *conn) advanceFraming(b []byte) (n int, err error) {
	c.noteRequestBegun()
	inHead := c.framing.InHead()
	n, err = c.framing.Accept(b)
	if err == nil && inHead && !c.memory.add(n, c.framing.FieldCount()) {
		c.refusal = errNoRequestMemory
		return 0, c.refusal
	}
	if c.framing.RequestComplete() {
		c.awaitingResponse = true
	} else {
		c.partialSince = time.Now()
	}
	return n, err
}

// addBodyMemory accounts for bytes of the current request's body that its handler has read, and returns errNoRequestMemory if there is
// no memory for them. Bytes that nobody keeps, such as those that net/http reads behind a response, are not accounted for.
func (c *conn) addBodyMemory(bytes int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory.add(bytes, c.framing.FieldCount()) {
		return nil
	}
	if c.endCode == "" {
		c.endCode = codeMemory
	}
	return errNoRequestMemory
}

// noteRequestBegun records that bytes of a request have arrived, so that the connection no longer counts as unused. c.mu must
// be held.
func (c *conn) noteRequestBegun() {
	c.requestBegun = true
	if c.idle {
		c.idle = false
		c.server.unusedConns.Add(-1)
	}
}
