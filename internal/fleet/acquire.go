package fleet

import (
	"context"
	"time"
)

// acquisition is a call of Acquire that is waiting for its lease.
type acquisition struct {
	// result receives the *HeldLease once the lease is granted, or an error. At most one value is sent.
	result chan any
}

// Acquire acquires the lease of the given name, which up to places brokers may hold at a time. It waits in the council's
// queue for the lease until ctx ends, but no longer than wait; without a reply of the council, it returns lease.Config.TTL
// later than that. The error is ErrTaken if the lease was not granted in
// time, ErrAlreadyRequested, ErrClosed, the error of ctx, or an error with the status by which the council refused the
// request.
func (n *Node) Acquire(ctx context.Context, name string, places int, wait time.Duration) (*HeldLease, error) {
	client := n.client
	pending := &acquisition{make(chan any, 1)}
	if !client.do(func() { client.requestLease(pending, name, places, wait) }) {
		return nil, ErrClosed
	}
	timer := time.NewTimer(wait + time.Duration(n.config.Terms.TTL*float64(time.Second)))
	defer timer.Stop()
	select {
	case result := <-pending.result:
		if held, ok := result.(*HeldLease); ok {
			return held, nil
		}
		return nil, result.(error)
	case <-client.done:
		return nil, ErrClosed
	case <-ctx.Done():
	case <-timer.C:
	}
	client.do(func() { client.withdraw(pending, name) })
	// The lease may have been granted between the time-out and the withdrawal.
	select {
	case result := <-pending.result:
		if held, ok := result.(*HeldLease); ok {
			held.Release()
		}
	default:
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, ErrTaken
}

// requestLease makes the session request the lease with the given name, for the caller of Acquire that waits for pending:
// the lease has as many places as given, and the request waits in the council's queue no longer than wait. Only the
// client's goroutine may call it.
func (c *sessionClient) requestLease(pending *acquisition, name string, places int, wait time.Duration) {
	switch {
	case c.closing:
		pending.result <- ErrClosed
	case c.acquisitions[name] != nil || c.held[name] != nil || !c.session.Acquire(name, places, wait.Seconds()):
		pending.result <- ErrAlreadyRequested
	default:
		c.acquisitions[name] = pending
	}
}

// withdraw cancels the request for the lease with the given name that pending waits for, because the caller of Acquire has
// stopped waiting, and releases the lease if it was granted meanwhile. Only the client's goroutine may call it.
func (c *sessionClient) withdraw(pending *acquisition, name string) {
	if c.acquisitions[name] == pending {
		delete(c.acquisitions, name)
		c.session.Release(name)
	} else if held := c.held[name]; held != nil {
		// The lease may have been granted just after the caller of Acquire had stopped waiting.
		select {
		case result := <-pending.result:
			if result == any(held) {
				delete(c.held, name)
				close(held.lost)
				c.session.Release(name)
			}
		default:
		}
	}
}
