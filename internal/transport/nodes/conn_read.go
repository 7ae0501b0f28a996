package nodes

import (
	"brackenfront/fairshare"
	"bufio"
	"errors"
	"os"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/sockets"
)

// readBufferBytes is the size of a connection's read buffer, in bytes.
const readBufferBytes = 4096

// read is the connection's reading goroutine. It reads the node's frames, notifies the owners of the attempts that replies end,
// calls the callbacks of answered probes, and closes the connection when reading fails or a frame is invalid.
func (c *connection) read() {
	pool := c.node.pool
	c.turn = pool.limits().Turns.NewTurn(&fairshare.Source{})
	defer c.turn.End()
	r := bufio.NewReaderSize(countingReader{c}, readBufferBytes)
	for {
		letter, rest, err := protocol.ReadFrame(r)
		var result protocol.AttemptResult
		var works bool
		if err == nil {
			switch letter {
			case protocol.ReplyFrame:
				result, err = protocol.ParseReply(rest)
			case protocol.ProbeFrame:
				works, err = protocol.ParseProbeReply(rest)
			case protocol.RefusalFrame:
				err = &frameRefusedError{string(rest)}
			default:
				err = &protocol.InvalidFrameError{Problem: "an unknown letter"}
			}
		}
		if err != nil {
			c.closeAfterReadError(err)
			return
		}
		pool.mu.Lock()
		var reports []func(bool)
		var attempt *connAttempt
		unwanted := false
		if letter == protocol.ReplyFrame {
			pool.counts.Replies++
			// A reply to a part that is no longer waited for is normal: it was cancelled, or sent to another node.
			attempt = c.inFlight[result.ID]
			if attempt != nil {
				delete(c.inFlight, result.ID)
				c.release(attempt)
				if result.Outcome != balance.OK {
					c.answeredIDs.add(attempt.ID, attempt.Deadline)
				}
			} else {
				pool.counts.UnmatchedReplies++
				deadline, cancelled := c.cancelledUnanswered[result.ID]
				unwanted = !cancelled
				if cancelled {
					delete(c.cancelledUnanswered, result.ID)
					c.answeredIDs.add(result.ID, deadline)
				}
			}
		} else {
			if c.probeTimer != nil {
				c.probeTimer.Stop()
			}
			reports = c.probeReports
			c.probeReports = nil
			unwanted = len(reports) == 0
		}
		c.busySince = time.Time{}
		if !c.closed {
			c.updateReadDeadline()
		}
		pool.mu.Unlock()
		if unwanted {
			c.turn.Continue()
			continue
		}
		// The owner may wait.
		c.turn.End()
		if attempt != nil {
			attempt.NotifyOwner(result)
		}
		for _, report := range reports {
			report(works)
		}
	}
}

// frameRefusedError is a node's report that it could not use a frame that this process sent to it.
type frameRefusedError struct {
	// nodeMessage is the node's explanation.
	nodeMessage string
}

// Error returns a text that includes the node's explanation.
func (e *frameRefusedError) Error() string { return "the node could not use a frame: " + e.nodeMessage }

// closeAfterReadError closes the connection after reading from it has failed with err, or has brought an invalid frame or the
// node's report of one. It selects the close code by err.
func (c *connection) closeAfterReadError(err error) {
	pool := c.node.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	timeoutCode := codeSilent
	if c.unused() {
		timeoutCode = codeIdle
	}
	code := closeCodeOf(err, timeoutCode)
	var invalidFrame *protocol.InvalidFrameError
	var frameRefused *frameRefusedError
	if errors.As(err, &invalidFrame) {
		code = codeInvalidFrame
	} else if errors.As(err, &frameRefused) {
		code = codeFrameRefused
	}
	if !c.closed && (invalidFrame != nil || frameRefused != nil) {
		c.frameErr = err
	}
	c.close(code)
}

// countingReader reads from a connection's socket, counts the bytes and records when they were received.
type countingReader struct {
	// conn is the connection whose socket is read.
	conn *connection
}

// Read reads from the socket, and updates the pool's count of bytes and the connection's lastReadAt. Bytes that came before the read
// deadline had passed are read though it has: the node was not silent.
func (r countingReader) Read(b []byte) (int, error) {
	r.conn.turn.End()
	bytesRead, err := r.conn.socket.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if unread := sockets.ReadUnread(r.conn.socket, b); unread > 0 {
			bytesRead, err = unread, nil
		}
	}
	pool := r.conn.node.pool
	pool.mu.Lock()
	pool.counts.BytesIn += int64(bytesRead)
	if bytesRead > 0 {
		r.conn.lastReadAt = time.Now()
		r.conn.unansweredSince = time.Time{}
	}
	pool.mu.Unlock()
	return bytesRead, err
}

// hasUnread reports, without waiting, whether the socket holds bytes, or an end of stream, that the reading goroutine has not come to.
// While the processor is busy a node's replies may lie there for long.
func (c *connection) hasUnread() bool { return c.up && sockets.HasUnread(c.socket) }
