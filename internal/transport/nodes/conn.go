package nodes

import (
	"net"
	"slices"
	"time"

	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
)

// connection is one connection to a node, open or being dialled. The pool's lock (ConnPool.mu) guards its fields. One goroutine
// dials, writes and ends it (run); another one reads (read).
type connection struct {
	// node holds this and the other connections to the same node.
	node *nodeConns
	// wake receives a value when there is something to write, and when the connection is closed; the writing goroutine waits for it.
	wake chan struct{}
	// queue holds the frames that wait to be written. A call whose attempts were all cancelled stays in it until the next write,
	// which leaves it out.
	queue []queueItem
	// activeCalls is how many calls (one call carries one or more attempts to the node) count towards Limits.MaxCallsPerConn: those
	// with an attempt that has neither ended nor been cancelled.
	activeCalls int
	// inFlight holds the attempts that were included in a write and have not ended, by Attempt.ID, the id of their part.
	inFlight map[string]*connAttempt
	// endAfterWrite are cancelled attempts that end once the write in progress has returned and its bytes have left this machine;
	// only then are their owners notified.
	endAfterWrite []*connAttempt
	// cancelledUnanswered holds the clients' deadlines of the attempts that were cancelled and not answered since, by Attempt.ID,
	// the id of their part.
	cancelledUnanswered map[string]time.Time
	// inWrite are the attempts that the write in progress includes.
	inWrite []*connAttempt
	// writeCount is how many writes have begun on the connection. RecallUnsent compares it to find out later whether the write that
	// was in progress is still in progress.
	writeCount int
	// probeReports are the callbacks of the probes that were not answered yet.
	probeReports []func(ok bool)
	// probeTimer ends the unanswered probes as failed when Limits.ConnectTimeout has passed since the first of them; nil before the
	// first probe.
	probeTimer *time.Timer

	// socket is nil until the connection is up.
	socket net.Conn
	// up says that the connection is established.
	up bool
	// closed says that the method close was called, after which nothing further is sent on the connection.
	closed bool
	// closeCode says why the connection was closed: one of the close codes such as codeIdle; empty while it is open.
	closeCode string
	// replacement is the connection that dials once this one has ended; nil where there is none.
	replacement *connection
	// frameErr is the error if the connection was closed because the node sent an invalid frame, or reported that it could not use
	// a frame of this side; nil otherwise.
	frameErr error
	// createdAt is when the dial was begun.
	createdAt time.Time
	// lastUsedAt is when a frame was last added to the queue, or a call last ended; createdAt before that.
	lastUsedAt time.Time
	// lastReadAt is when bytes were last received; zero if none were.
	lastReadAt time.Time
	// busySince is when the connection last ceased to be unused, or when a frame last came, if that is later; zero while it is
	// unused.
	busySince time.Time
	// unansweredSince is when the first call was written after bytes were last received; zero if no call was written since.
	unansweredSince time.Time
	// turn is the connection's right to the processor. The reading goroutine holds it, once it has read a frame that nobody waits for,
	// until it has processed what it has read from the socket.
	turn *turns.Turn
	// answeredIDs are the ids of parts that were answered on this connection and may be sent again.
	answeredIDs answeredIDs
}

// queueItem is one frame to write: a call, a cancellation or a probe.
type queueItem struct {
	// call is the call to write; nil for another kind of frame.
	call *call
	// cancel is the attempt whose cancellation is to be written; nil for another kind of frame.
	cancel *connAttempt
	// probe says that the frame is a health probe.
	probe bool
}

// enqueue adds a frame to the end of the queue, and wakes the writing goroutine.
func (c *connection) enqueue(item queueItem) {
	c.queue = append(c.queue, item)
	c.lastUsedAt = time.Now()
	// The connection must not end as unused between now and the write.
	c.updateReadDeadline()
	c.signalWake()
}

// signalWake wakes the writing goroutine.
func (c *connection) signalWake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// unused reports whether the connection is up and carries no call and no probe, and nothing waits to be written.
func (c *connection) unused() bool {
	return c.up && len(c.queue) == 0 && c.activeCalls == 0 && len(c.probeReports) == 0
}

// release removes an attempt that has ended, or was cancelled or recalled, from its call. With the last attempt of the call the
// connection no longer carries the call; an unused connection above the connection limit is then closed.
func (c *connection) release(attempt *connAttempt) {
	attempt.conn = nil
	attempt.call.active--
	if attempt.call.active == 0 {
		c.activeCalls--
		c.lastUsedAt = time.Now()
		c.updateReadDeadline()
		if c.unused() && c.node.aboveConnLimit() {
			// The limit may have fallen while the connection was in use.
			c.close(codeExcess)
		}
	}
}

// close closes the connection; code, one of the close codes such as codeIdle, says why. After that, run ends the connection's
// attempts and logs its end. Only the first call has an effect.
func (c *connection) close(code string) {
	if c.closed {
		return
	}
	c.closed = true
	c.closeCode = code
	c.node.pool.closeRequests++
	if i := slices.Index(c.node.conns, c); i >= 0 {
		c.node.conns = slices.Delete(c.node.conns, i, i+1)
		c.node.closing++
	}
	if c.socket != nil {
		// The attempts that a write included are in one of these two until they are answered.
		if len(c.inFlight) > 0 || len(c.cancelledUnanswered) > 0 {
			parts.DiscardUnsentOnClose(c.socket)
		}
		c.socket.Close()
	}
	c.signalWake()
}

// probe sends a health probe, which the node has to answer within Limits.ConnectTimeout, or within twice that if it has sent something
// by then that is still unread. report is called once, with whether the node answered that it works. All unanswered probes of a
// connection are answered by the same reply, or fail together.
func (c *connection) probe(report func(ok bool)) {
	c.probeReports = append(c.probeReports, report)
	c.enqueue(queueItem{probe: true})
	if len(c.probeReports) > 1 {
		return
	}
	pool := c.node.pool
	sentAt := time.Now()
	timeout := pool.limits().ConnectTimeout
	extended := false
	c.probeTimer = time.AfterFunc(timeout, func() {
		pool.mu.Lock()
		if len(c.probeReports) > 0 && !extended && c.hasUnread() {
			extended = true
			c.probeTimer.Reset(timeout)
			pool.mu.Unlock()
			return
		}
		reports := c.probeReports
		c.probeReports = nil
		// A machine may be up again while its old connection stays silent: where nothing else is in flight on the connection and
		// nothing has come since the probe, the next probe takes a new connection.
		if len(reports) > 0 && c.activeCalls == 0 && c.lastReadAt.Before(sentAt) {
			c.close(codeSilent)
		}
		pool.mu.Unlock()
		for _, unanswered := range reports {
			unanswered(false)
		}
	})
}

// updateReadDeadline sets the deadline of the socket's reads. While the connection is unused, that is Limits.ConnectTimeout before
// the node may close it as idle. Otherwise it is Limits.MaxWait after busySince, that is, after the connection came into use or a
// frame last came.
func (c *connection) updateReadDeadline() {
	if !c.up || c.closed {
		return
	}
	limits := c.node.pool.limits()
	now := time.Now()
	if c.unused() {
		c.busySince = time.Time{}
		c.socket.SetReadDeadline(now.Add(limits.PeerIdleTimeout - limits.ConnectTimeout))
		return
	}
	if c.busySince.IsZero() {
		c.busySince = now
		c.socket.SetReadDeadline(now.Add(limits.MaxWait))
	}
}
