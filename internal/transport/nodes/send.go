package nodes

import (
	"slices"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// Send sends attempts to the node at addr (host:port) in one call, on an open connection that has capacity or on a new one. It
// skips attempts that were cancelled before, and those of searches whose SendPermission is withdrawn because the client has left or
// the final answer is decided. If the node may have no further connection, every attempt ends with the outcome Overloaded.
func (p *ConnPool) Send(addr string, attempts []*parts.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newCall := &call{attempts: make([]connAttempt, 0, len(attempts))}
	for _, attempt := range attempts {
		// An attempt may have ended in the iteration of the router's loop that decided to send it.
		if !attempt.CancelledUnsent && !attempt.Permission.Withdrawn() {
			newCall.attempts = append(newCall.attempts, connAttempt{Attempt: attempt, call: newCall})
		}
	}
	newCall.active = len(newCall.attempts)
	if newCall.active == 0 {
		return
	}
	conn := p.connFor(addr, newCall)
	if conn == nil {
		p.counts.RejectedAtConnLimit++
		// An owner may wait, which the caller must not.
		p.goroutines.Go(func() {
			for _, attempt := range newCall.attempts {
				attempt.NotifyOwner(protocol.AttemptResult{ID: attempt.ID, Outcome: balance.Overloaded})
			}
		})
		return
	}
	for i := range newCall.attempts {
		attempt := &newCall.attempts[i]
		attempt.conn = conn
		attempt.BackendState = attempt
	}
	conn.activeCalls++
	conn.enqueue(queueItem{call: newCall})
}

// Cancel gives an attempt up: its reply is no longer waited for. It returns true if the attempt has ended with that, so that its
// owner is not called. Otherwise its owner is notified of the end with the given outcome once the cancellation or, without
// Limits.MayCancel, the write in progress that includes the attempt has left this machine, or the connection has ended. This guards
// against the same part running twice: the next attempt, sent on another connection, would overtake a cancellation that still waits
// to be written.
func (p *ConnPool) Cancel(cancelled *parts.Attempt, outcome balance.Outcome) (ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempt, _ := cancelled.BackendState.(*connAttempt)
	if attempt == nil || attempt.conn == nil {
		cancelled.CancelledUnsent = true
		return attempt == nil || !attempt.endPending
	}
	conn := attempt.conn
	p.counts.AttemptsCancelled++
	ended = true
	if conn.inFlight[attempt.ID] == attempt {
		delete(conn.inFlight, attempt.ID)
		conn.cancelledUnanswered[attempt.ID] = attempt.Deadline
		if limits := p.limits(); limits.MayCancel {
			attempt.cancelOutcome = outcome
			attempt.endPending = true
			ended = false
			conn.enqueue(queueItem{cancel: attempt})
			if conn.activeCalls >= limits.MaxCallsPerConn {
				// A node does not read a connection that carries the largest allowed number of calls, so it would not read the
				// cancellation either, not even while other attempts of the call are in flight.
				conn.close(codeCancelled)
			}
		} else if attempt.inWrite {
			// The node may yet get the attempt, which has not ended before that is known.
			attempt.cancelOutcome = outcome
			attempt.endPending = true
			ended = false
			conn.endAfterWrite = append(conn.endAfterWrite, attempt)
		}
	}
	conn.release(attempt)
	return ended
}

// AbortWrites closes the connections whose write in progress includes an attempt of the search that permission belongs to, so that
// the write returns and SendPermission.Release is called for the attempt. If the last byte of the attempt's frame was not written
// by then, it never is.
func (p *ConnPool) AbortWrites(permission *parts.SendPermission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, node := range p.nodes {
		for _, conn := range slices.Clone(node.conns) {
			if slices.ContainsFunc(conn.inWrite, func(attempt *connAttempt) bool { return attempt.Permission == permission }) {
				conn.close(codeSendTimeout)
			}
		}
	}
}

// RecallUnsent is called when the node at addr begins to drain and must get no new attempt. It removes the node's attempts that no
// write has included from the queues of their connections, and returns them; they never ran, and their owners are not called. A
// write in progress gets maxWriteTime to end, then its connection is closed. This guards against a frame that waits for its
// connection, or behind other frames, longer than the grace period of the node's drain.
func (p *ConnPool) RecallUnsent(addr string, maxWriteTime time.Duration) (unsent []*parts.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	node := p.nodes[addr]
	if node == nil {
		return nil
	}
	for _, conn := range node.conns {
		conn.queue = slices.DeleteFunc(conn.queue, func(item queueItem) bool {
			if item.call == nil {
				return false
			}
			for i := range item.call.attempts {
				if attempt := &item.call.attempts[i]; attempt.conn == conn {
					unsent = append(unsent, attempt.Attempt)
					conn.release(attempt)
				}
			}
			return true
		})
		if writeNumber := conn.writeCount; len(conn.inWrite) > 0 {
			time.AfterFunc(maxWriteTime, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				if len(conn.inWrite) > 0 && conn.writeCount == writeNumber {
					conn.close(codeSendTimeout)
				}
			})
		}
	}
	return unsent
}

// Probe sends a health probe to the node at addr (host:port). report is called once, from another goroutine, with whether the
// node answered within ConnectTimeout that it works; it is false, too, where the node may have no further connection.
func (p *ConnPool) Probe(addr string, report func(ok bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Probes++
	if conn := p.connFor(addr, new(call)); conn != nil {
		conn.probe(report)
		return
	}
	p.goroutines.Go(func() { report(false) })
}
