package nodes

import "time"

// maxCancelledUnanswered is the number of cancelled attempts on one connection which the node has not answered that makes the
// connection take no further attempts, where Limits.MayCancel is false. It bounds the memory used for a node that hangs.
const maxCancelledUnanswered = 4096

// safeFromIdleClose reports whether a request that is sent now arrives before the node may close the connection as idle. That holds
// for a connection in use, and for an unused one while at least ConnectTimeout remains until the node may close it.
func (c *connection) safeFromIdleClose() bool {
	limits := c.node.pool.limits()
	return !c.unused() || time.Since(c.lastUsedAt) < limits.PeerIdleTimeout-limits.ConnectTimeout
}

// hasCapacity reports whether the connection may take a further call (a frame with one or more attempts). With Limits.MayCancel
// a connection carries at most MaxCallsPerConn-1 calls (but one, if MaxCallsPerConn is 1), and each cancelled attempt counts as
// a call until the node answers it. A node reads nothing from a connection that carries MaxCallsPerConn calls by its own count,
// in which a cancelled attempt counts until it is answered, even past its client's deadline: it would not read a cancellation
// then, and would go on with a part that has been sent to another node. Without MayCancel a connection carries at most
// MaxCallsPerConn calls, not counting cancelled attempts, and has fewer than maxCancelledUnanswered cancelled attempts without
// an answer.
func (c *connection) hasCapacity() bool {
	limits := c.node.pool.limits()
	if !limits.MayCancel {
		return c.activeCalls < limits.MaxCallsPerConn && len(c.cancelledUnanswered) < maxCancelledUnanswered
	}
	return c.activeCalls+len(c.cancelledUnanswered) < max(limits.MaxCallsPerConn-1, 1)
}

// awaitsReply reports whether a reply with that id, the id of a part, may still come on the connection: an attempt of the part is
// in flight, or was cancelled and not answered since.
func (c *connection) awaitsReply(id string) bool {
	if c.inFlight[id] != nil {
		return true
	}
	_, cancelled := c.cancelledUnanswered[id]
	return cancelled
}

// carriesAnyOf reports whether the connection has an attempt with an id of the new call: in flight, cancelled and not answered
// since, or in its queue. A reply names its part by the id alone: a reply to the earlier attempt would be taken for one to the
// later attempt, and end it while it is in flight.
func (c *connection) carriesAnyOf(newCall *call) bool {
	for i := range newCall.attempts {
		id := newCall.attempts[i].ID
		if c.awaitsReply(id) || c.queued(id) {
			return true
		}
	}
	return false
}

// queued reports whether an attempt with that id, the id of its part, waits in the connection's queue, has not been written and
// was not cancelled.
func (c *connection) queued(id string) bool {
	for _, item := range c.queue {
		if item.call == nil {
			continue
		}
		for i := range item.call.attempts {
			if attempt := &item.call.attempts[i]; attempt.conn == c && attempt.ID == id {
				return true
			}
		}
	}
	return false
}

// exhausted reports whether all of the connection's capacity (hasCapacity) is taken up by cancelled attempts, and the clients'
// deadlines of all of these have passed at the time now. No reply on such a connection is of use, so it may be closed.
func (c *connection) exhausted(now time.Time) bool {
	if !c.unused() || c.hasCapacity() {
		return false
	}
	for _, deadline := range c.cancelledUnanswered {
		if now.Before(deadline) {
			return false
		}
	}
	return true
}
