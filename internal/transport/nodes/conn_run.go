package nodes

import (
	"errors"
	"net"
	"syscall"
	"time"

	"brackenfront/internal/transport/parts"
)

// run is the connection's first goroutine. It dials, starts the reading goroutine, writes what is queued until the connection ends,
// waits for the reading goroutine, and calls finish.
func (c *connection) run() {
	pool := c.node.pool
	defer pool.goroutines.Done()
	code, err := c.dial()
	var readerDone chan struct{}
	if err == nil {
		readerDone = make(chan struct{})
		go func() {
			defer close(readerDone)
			c.read()
		}()
		code, err = c.write()
	}
	pool.mu.Lock()
	c.close(code)
	pool.mu.Unlock()
	if readerDone != nil {
		<-readerDone
	}
	c.finish(err)
}

// finish is called once the socket is closed and the reading goroutine has ended. It notifies the owners of all attempts that
// have not ended (connLostResult or, if cancelled, cancelledResult), reports unanswered probes as failed, starts the connection
// that replaces this one, and counts and logs the end. err is the error of the dial or of the write, or nil.
func (c *connection) finish(err error) {
	pool := c.node.pool
	pool.mu.Lock()
	if c.probeTimer != nil {
		c.probeTimer.Stop()
	}
	unanswered, cancelled := c.takeAttempts()
	reports := c.probeReports
	c.probeReports = nil
	code := c.closeCode
	frameErr := c.frameErr
	pool.counts.Closed++
	pool.counts.ClosedByCode[code]++
	c.node.closing--
	if c.replacement != nil {
		c.node.awaitingReplaced--
		go c.replacement.run()
	}
	pool.updateMostConns()
	lifetime := time.Since(c.createdAt)
	pool.mu.Unlock()
	for _, attempt := range unanswered {
		attempt.NotifyOwner(attempt.connLostResult())
	}
	for _, attempt := range cancelled {
		attempt.NotifyOwner(attempt.cancelledResult())
	}
	for _, report := range reports {
		report(false)
	}
	// The log is written last, as a blocked log would delay everything else.
	if frameErr != nil {
		pool.log.WithField("peer", c.node.addr).WithError(frameErr).Warn("a node's frame could not be used")
	}
	entry := pool.log.WithField("side", "node").WithField("peer", c.node.addr).WithField("code", code).
		WithField("parts", len(unanswered)).WithField("ms", lifetime.Milliseconds())
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("connection ended")
}

// takeAttempts removes all attempts from a connection that has ended, and returns them: those that were in flight or in the queue and not
// cancelled, and those that were cancelled and whose owners are not notified yet. The pool's lock must be held.
func (c *connection) takeAttempts() (unanswered, cancelled []*connAttempt) {
	for _, attempt := range c.inFlight {
		unanswered = append(unanswered, attempt)
	}
	for _, item := range c.queue {
		if item.cancel != nil {
			c.endAfterWrite = append(c.endAfterWrite, item.cancel)
		} else if item.call != nil {
			for i := range item.call.attempts {
				if attempt := &item.call.attempts[i]; attempt.conn == c {
					unanswered = append(unanswered, attempt)
				}
			}
		}
	}
	cancelled = c.endAfterWrite
	clearEndPending(cancelled)
	c.endAfterWrite = nil
	c.queue = nil
	c.inFlight = nil
	for _, attempt := range unanswered {
		attempt.conn = nil
	}
	return unanswered, cancelled
}

// dial establishes the connection. If that fails, or the connection was closed meanwhile, it returns the close code and an error;
// if not, an empty code and nil.
func (c *connection) dial() (code string, err error) {
	pool := c.node.pool
	limits := pool.limits()
	socket, err := limits.Dial.DialWithRetry(pool.ctx, c.node.addr, pool.reclaimDescriptors, limits.DescriptorRetryPause, limits.ConnectTimeout)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return codeRefused, err
		} else if parts.OutOfDescriptors(err) {
			return codeOutOfDescriptors, err
		}
		return codeUnreachable, err
	}
	c.socket = socket
	if c.closed {
		socket.Close()
		return c.closeCode, net.ErrClosed
	}
	c.up = true
	c.updateReadDeadline()
	return "", nil
}
