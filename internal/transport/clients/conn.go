package clients

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/turns"
)

// conn is the connection of one client, as it is passed to net/http. It records why the connection ended, and hands net/http one
// request at a time; a request whose end two HTTP readers could place differently is rejected.
//
// It also resolves two races that net/http cannot: a request that arrives while the server closes an unused connection, and
// a client that closes its connection after it has pipelined bytes of a next request.
type conn struct {
	// Conn is the accepted connection.
	net.Conn

	// rawConn gives access to the connection's socket; nil where the connection has no socket, such as one end of a net.Pipe.
	rawConn syscall.RawConn
	// server is the server that accepted the connection.
	server *Server
	// acceptedAt is when the server accepted the connection.
	acceptedAt time.Time
	// turn is the connection's right to the processor, which the goroutine that serves its requests holds while it works; nil where
	// Limits.Turns is.
	turn *turns.Turn

	// mu guards all fields below.
	mu sync.Mutex
	// endCode is the end code that says why the connection ends, such as codeLeft, as it is counted and logged; empty as long as
	// there is no reason.
	endCode string
	// idle is set while the connection is unused: a response was sent on it before, and no bytes have come since.
	idle bool
	// idleSince is when idle was last set.
	idleSince time.Time
	// requestCount is how many requests net/http has begun to read on the connection since it was accepted.
	requestCount int
	// readInterrupted is set while the read deadline that net/http set last lies in the past. net/http sets such a deadline to make
	// its own read that is in progress fail at once.
	readInterrupted bool
	// closing is set once the server has begun to close the connection by itself: because it is unused, or because only part of a request
	// has come on it.
	closing bool
	// readInProgress is set from when the socket has bytes, or the client's end of stream, to read until readSocket has read and
	// recorded them.
	readInProgress bool
	// partialSince is when bytes of the current request last came after which it was still incomplete.
	partialSince time.Time
	// requestBegun is set from the first byte of a request that has come until its response has been sent.
	requestBegun bool
	// awaitingResponse is set while a request waits for its response: it has been read completely, or its handler has been
	// called.
	awaitingResponse bool
	// handlerCalled is set once the handler of the current request has been called: the request may have run.
	handlerCalled bool
	// responseBegun is set once the final response to the current request has begun.
	responseBegun bool
	// readsAborted is set once a drain that is cut short, or a shortage of file descriptors, has interrupted the reading of the
	// current request, so that it gets its final response at once.
	readsAborted bool
	// writeClosed is set once the server has closed its sending side; no bytes that come later are a request.
	writeClosed bool
	// pipelined holds the bytes that the client has sent after the current request and before the response to it.
	pipelined []byte
	// rejectPipelined is set once no further request may be passed to net/http: the pipelined requests get error responses from
	// answerPipelined, and then the connection ends.
	rejectPipelined bool
	// clientEnd is the error with which reading ahead from the client ended, such as io.EOF; reads return it after the pipelined
	// bytes. It is nil while no such end has been read.
	clientEnd error
	// badRequests is how many requests of the connection were answered with a 4xx status (except 429) while the client had already
	// sent further requests behind them; maxBadRequests bounds it.
	badRequests int
	// memory keeps account of the memory of the current request.
	memory requestMemory
	// refusal is errNoRequestMemory once there was no memory for the current request, which is then the connection's last; otherwise
	// nil.
	refusal error
	// framing parses the bytes that have been handed to net/http, and finds where requests end.
	framing protocol.RequestFraming
}

// SetReadDeadline is called by net/http to set the read deadline, and records in readInterrupted whether t lies in the past.
// net/http sets such a deadline to end its wait for the client's close while a request is being served, and a read that fails by it
// must not count as a slow client. It has no effect once the server has closed its sending side or aborted reads, which set a
// deadline of their own.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed || c.readsAborted {
		return nil
	}
	c.readInterrupted = !t.IsZero() && t.Before(time.Now())
	return c.Conn.SetReadDeadline(t)
}

// setEndCode records the end code that says why the connection ends; only the first non-empty code counts.
func (c *conn) setEndCode(code string) {
	c.mu.Lock()
	if c.endCode == "" {
		c.endCode = code
	}
	c.mu.Unlock()
}

// Read is called by net/http, and returns bytes of at most one request. Where it fails, it records why the connection ends.
func (c *conn) Read(b []byte) (n int, err error) {
	c.mu.Lock()
	switch {
	case c.writeClosed:
		c.mu.Unlock()
		return 0, net.ErrClosed
	case c.framing.Err() != nil:
		// Every further read returns it, as net/http may ignore it once.
		err = c.framing.Err()
		c.mu.Unlock()
	case c.refusal != nil:
		err = c.refusal
		c.mu.Unlock()
	case c.awaitingResponse && c.framing.RequestComplete() && len(b) == 1 && c.rawConn != nil:
		// net/http reads a single byte to see whether the client closes its connection.
		c.mu.Unlock()
		err = c.waitForClientClose()
	case c.rejectPipelined:
		c.mu.Unlock()
		c.turn.Begin()
		err = c.answerPipelined()
	case len(c.pipelined) > 0:
		c.mu.Unlock()
		c.turn.Begin()
		c.mu.Lock()
		n, err = c.readPipelined(b)
		c.mu.Unlock()
	case c.clientEnd != nil:
		err = c.clientEnd
		c.mu.Unlock()
	default:
		c.mu.Unlock()
		n, err = c.readSocket(b)
	}
	if err != nil {
		c.setEndCode(c.endCodeFor(err))
	}
	if errors.Is(err, protocol.ErrTooManyFields) || errors.Is(err, errNoRequestMemory) {
		// After a failed read of the network net/http sends no response, so that Close sends the one for this error.
		err = &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return n, err
}

// interimResponsePrefix is what every interim response begins with (status 1xx), after which another response to the same request
// follows.
var interimResponsePrefix = []byte("HTTP/1.1 1")

// noteResponseBegun is called with the bytes of each write. If they begin the final response to the current request, it records
// that, and gives the response a write deadline of its own: a pause of this process may have used up the earlier deadline, and
// the request must not be left without a response.
func (c *conn) noteResponseBegun(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseBegun || !c.requestBegun || bytes.HasPrefix(b, interimResponsePrefix) {
		return
	}
	c.responseBegun = true
	deadline := time.Now().Add(time.Duration(c.server.requestTimeout.Load()))
	c.Conn.SetWriteDeadline(deadline)
	// Otherwise net/http, which sends this response by itself, waits for the rest of the body without any bound.
	if !c.handlerCalled && !c.framing.RequestComplete() {
		c.Conn.SetReadDeadline(deadline)
	}
}

// Write sends bytes of a response, and records why the connection ends where that fails.
func (c *conn) Write(b []byte) (int, error) {
	c.noteResponseBegun(b)
	n, err := c.writeSocket(b)
	if err != nil {
		c.setEndCode(c.endCodeFor(err))
	}
	return n, err
}

// endCodeFor returns the end code, such as codeLeft, for err, an error of a read or write; it returns an empty text where net/http
// interrupted its own read.
func (c *conn) endCodeFor(err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.readInterrupted {
			return ""
		} else if c.readsAborted {
			return codeDrained
		} else if !c.requestBegun && c.requestCount > 0 {
			return codeIdle
		}
		return codeSlow
	case protocol.IsRequestFramingError(err):
		return codeFraming
	case errors.Is(err, protocol.ErrTooManyFields):
		return codeTooLarge
	case errors.Is(err, errNoRequestMemory):
		return codeMemory
	case errors.Is(err, io.EOF):
		return codeLeft
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return codeReset
	}
	return codeBroken
}

// startResult is the result of startRequest: whether the current request may be handled, and if not, why.
type startResult uint8

const (
	// requestStarted means that the request may be handled.
	requestStarted startResult = iota
	// connClosed means that the server had closed its sending side before the request was read, so that no response can be sent.
	connClosed
	// clientLeft means that the client has ended its sending side, so that the request must not be handled.
	clientLeft
)

// startRequest is called by the handler before it handles the current request, and returns whether it may. It may not where
// the server had closed its sending side before the request began to arrive, as no response can reach the client, nor where the
// client has ended its sending side. Otherwise the request counts as handed to its handler from then on.
func (c *conn) startRequest() startResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed:
		return connClosed
	case c.clientEnd != nil:
		return clientLeft
	}
	c.awaitingResponse = true
	c.handlerCalled = true
	c.noteRequestBegun()
	return requestStarted
}

// matchesFraming reports whether the head of a request that net/http has read agrees with the head that framing found in the
// same bytes, including the length of the body. It guards against net/http placing a request's end elsewhere than framing does.
func (c *conn) matchesFraming(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.ConfirmHead(r.ContentLength)
}
