package fleet

import (
	"brackenfront/healthprobes"
	"brackenfront/internal/fleet/wire"
	"brackenfront/lease"
)

// clientConn is this broker's side of the connection on which a client, a broker of the fleet or an operator's command, sends
// requests. The council's leader has one for each broker of the fleet, nearly all of them idle; so its queues allocate memory only
// for the items that they hold.
type clientConn struct {
	// conn is the connection, whose handshake is done.
	conn *wire.Conn
	// replies holds the replies to the client's requests that wait to be sent.
	replies boundedQueue[clientReply]
	// grants holds the notifications that wait to be sent: of granted leases, or, with an empty lease name, that the client's
	// session should make its next call soon.
	grants boundedQueue[lease.Grant]
	// healthUpdates holds the batches of node health updates that wait to be sent, one frame each.
	healthUpdates boundedQueue[[]healthprobes.Update]
	// wake has capacity 1 and holds a signal if something was queued since write last checked the queues.
	wake chan struct{}
	// broker is the name of the client's broker, from its handshake; empty for an operator's command.
	broker string

	// The fields below belong to the member's goroutine.

	// zone is the name of the zone whose health updates the client receives.
	zone string
	// wantsHealthUpdates says that the client has subscribed to health updates.
	wantsHealthUpdates bool
	// windowStart is the value of member.ticks at which the current window for maxUpdatesPerWindow began.
	windowStart int
	// windowUpdates is the number of health updates that the client has sent in the window that began at windowStart.
	windowUpdates int
}

// newClientConn returns the clientConn for an accepted connection from the named broker; the caller has to run write.
func newClientConn(c *wire.Conn, broker string) *clientConn {
	return &clientConn{conn: c, wake: make(chan struct{}, 1), broker: broker}
}

// queueReply queues a reply. If the queue is full, the client has stopped reading, and the connection is closed.
func (c *clientConn) queueReply(reply clientReply) {
	if !c.replies.push(reply) {
		c.conn.Close()
		return
	}
	c.wakeWriter()
}

// queueGrant queues the notification of a grant (or, with an empty lease name, that the client's session should make its next call
// soon), and returns false if the queue is full.
func (c *clientConn) queueGrant(grant lease.Grant) bool {
	ok := c.grants.push(grant)
	c.wakeWriter()
	return ok
}

// queueHealthUpdates queues health updates of nodes as one frame, and returns false if the queue is full.
func (c *clientConn) queueHealthUpdates(updates []healthprobes.Update) bool {
	ok := c.healthUpdates.push(updates)
	c.wakeWriter()
	return ok
}

// wakeWriter makes the goroutine of write check the queues again. It does not block.
func (c *clientConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
		// write has not yet taken the last signal, and will look at the queues.
	}
}

// write sends the queued items until the connection fails or the channel closed is closed.
func (c *clientConn) write(closed <-chan struct{}) {
	for {
		select {
		case <-closed:
			return
		case <-c.wake:
		}
		for more := true; more; {
			select {
			case <-closed:
				return
			default:
			}
			var err error
			if more, err = c.writeNext(); err != nil {
				return
			}
		}
	}
}

// writeNext sends the first item of each queue, and reports in wrote whether there was any. An error is the connection's.
func (c *clientConn) writeNext() (wrote bool, err error) {
	if reply, ok := c.replies.pop(); ok {
		if wrote, err = true, c.conn.Write(frameReply, wire.Encode(reply)); err != nil {
			return wrote, err
		}
	}
	if grant, ok := c.grants.pop(); ok {
		if wrote, err = true, c.conn.Write(frameGrant, wire.Encode(grant)); err != nil {
			return wrote, err
		}
	}
	if updates, ok := c.healthUpdates.pop(); ok {
		wrote, err = true, c.conn.Write(frameHealthUpdates, wire.Encode(updates))
	}
	return wrote, err
}
