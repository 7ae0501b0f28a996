package fleet

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"brackenfront/lease"
)

const (
	// replyTimeoutDivisor divides the hold time-out; the quotient is the time within which a member has to reply to a call.
	replyTimeoutDivisor = 6
	// minStepWait is the shortest time, in seconds, between two calls of sessionClient.step, which sends the session's calls
	// that are due, if no event occurs.
	minStepWait = 0.001
	// maxStepWait is the longest time, in seconds, between two calls of sessionClient.step.
	maxStepWait = 3600
)

// sessionClient is this process's lease session with the council. One goroutine, run, owns all fields but node, calls, done
// and validUntil; others reach it through do.
type sessionClient struct {
	// node is this process's Node.
	node *Node
	// session is the state of the lease session; it determines which calls are sent, and when.
	session *lease.Session
	// calls holds the functions that other goroutines have queued by do and that run has yet to call, at most
	// maxQueuedCalls.
	calls chan func()
	// done is closed when run has ended, so that it takes no more calls.
	done chan struct{}
	// validUntil is the time until which the held leases are valid unless they are renewed, in seconds of this process's clock, as
	// math.Float64bits. Any goroutine may read it.
	validUntil atomic.Uint64

	// conn is the connection to a member of the council; nil for none.
	conn *memberConn
	// dialing says that a goroutine is connecting to a member; when it is done, the method connected is called.
	dialing bool
	// nextMember counts the dials for which the council's brokers were taken in order, that is, not those of leaderAddr.
	// Modulo the number of these brokers it is the index of the broker to dial next.
	nextMember int
	// leaderAddr is the leader's address as a member named it, which is dialled before the others; empty for none.
	leaderAddr string
	// resend says that the connection is new, so that calls that the previous one left unanswered have to be sent
	// again.
	resend bool
	// waitingSince is the time since which the member has owed a reply to a call, in seconds of this process's clock; 0
	// if no reply is awaited.
	waitingSince float64
	// acquisitions holds the calls of Acquire that wait for a lease, by the lease's name.
	acquisitions map[string]*acquisition
	// held holds the leases that this process holds, by name.
	held map[string]*HeldLease
	// pendingWrites holds, by the lease's name, the channel that receives the result of a write in progress that only
	// the lease's holder may make: of the note, or of the definition of a budget. The result is nil once the council has
	// stored it, ErrLost if the council no longer has this process as the holder, or an error with another status of the
	// council. There is none if the lease ends before.
	pendingWrites map[string]chan error
	// clockTooSlow says that when the clocks were last compared, this process's clock was slower than the council's by
	// more than the configured drift.
	clockTooSlow bool
	// closing says that the client is closing and requests no more leases.
	closing bool
	// nextDial is the time before which the client dials no member: one tick after a dial failed, or after a member replied
	// that it does not lead and the address of the leader is unknown.
	nextDial time.Time
}

// newSessionClient creates the client with a new lease session; the caller has to start its run method.
func (n *Node) newSessionClient() *sessionClient {
	drawID := func() (id lease.ID) {
		n.environment.Random(id[:])
		return id
	}
	session := lease.NewSession(n.config.Broker, n.config.Listen, drawID)
	session.KeepOpen()
	return &sessionClient{
		node:          n,
		session:       session,
		calls:         make(chan func(), maxQueuedCalls),
		done:          make(chan struct{}),
		acquisitions:  map[string]*acquisition{},
		held:          map[string]*HeldLease{},
		pendingWrites: map[string]chan error{},
	}
}

// do queues f for the client's goroutine and returns without waiting for it to run. It blocks while the queue is full, and
// returns false if the goroutine has ended.
func (c *sessionClient) do(f func()) bool {
	select {
	case c.calls <- f:
		return true
	case <-c.done:
		return false
	}
}

// wake makes run call step soon. It does not block: if the queue of calls is full, run is awake already.
func (c *sessionClient) wake() {
	select {
	case c.calls <- func() {}:
	default:
	}
}

// run is the client's goroutine. When ctx ends it marks all leases as lost and returns.
func (c *sessionClient) run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := c.step(ctx)
		timer.Reset(wait)
		select {
		case f := <-c.calls:
			f()
		case <-timer.C:
		case <-ctx.Done():
			c.disconnect()
			for _, name := range c.heldNames() {
				close(c.held[name].lost)
			}
			return
		}
	}
}

// heldNames returns the names of the leases that this process holds, in alphabetical order.
func (c *sessionClient) heldNames() (names []string) {
	for name := range c.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// step sends the next call of the lease session to the council if it is due, and passes on what the session reports. It
// returns the time after which step has to be called again if no event comes before. run calls it after each event.
func (c *sessionClient) step(ctx context.Context) time.Duration {
	if c.conn != nil {
		select {
		case <-c.conn.closed:
			c.disconnect()
		default:
		}
	}
	// The clock is read before anything is sent: the validity of a renewed lease counts from here.
	now := c.node.environment.Now()
	if c.node.budgets != nil {
		c.node.budgets.step(now)
	}
	if c.conn != nil && c.waitingSince > 0 && now-c.waitingSince > c.replyTimeout() {
		c.node.countEvent("member silent")
		c.disconnect()
	}
	if c.conn != nil {
		if call, ok := c.session.NextCall(now, c.resend); ok {
			c.resend = false
			if c.waitingSince == 0 {
				c.waitingSince = now
			}
			c.conn.send(clientRequest{Handle: call.Attempt, Call: &call})
		}
	} else {
		c.session.Expire(now)
	}
	c.dispatchEvents()
	c.validUntil.Store(math.Float64bits(c.session.ValidUntil()))
	due := c.session.NextDue()
	if c.conn == nil && !math.IsInf(due, 1) {
		c.dial(ctx)
		if due = math.Inf(1); len(c.held) > 0 {
			due = c.session.ValidUntil()
		}
		due = min(due, now+c.replyTimeout())
	}
	if c.waitingSince > 0 {
		due = min(due, c.waitingSince+c.replyTimeout())
	}
	return time.Duration(min(max(due-now, minStepWait), maxStepWait) * float64(time.Second))
}

// replyTimeout returns the time, in seconds, after which a member that has not replied to a call is considered silent, so
// that another member is asked. It is a part of the hold time-out, so that there is time left to renew the leases there.
func (c *sessionClient) replyTimeout() float64 {
	return c.node.config.Terms.HoldTimeout() / replyTimeoutDivisor
}

// dispatchEvents passes the results that the session reports (leases granted, refused or lost, notes written) to the
// callers that wait for them. It also logs if this process's clock is slower than the configured drift allows.
func (c *sessionClient) dispatchEvents() {
	for _, event := range c.session.TakeEvents() {
		pending, held := c.acquisitions[event.Name], c.held[event.Name]
		if event.Note {
			c.finishWrite(event)
			continue
		}
		switch event.Status {
		case lease.Waiting:
		case lease.Released:
			delete(c.pendingWrites, event.Name)
		case lease.Granted:
			if pending == nil {
				// The caller of Acquire has withdrawn the request since.
				c.session.Release(event.Name)
				continue
			}
			delete(c.acquisitions, event.Name)
			held = &HeldLease{Name: event.Name, Token: event.Token, Place: event.Place, client: c, lost: make(chan struct{})}
			c.held[event.Name] = held
			c.validUntil.Store(math.Float64bits(c.session.ValidUntil()))
			pending.result <- held
		case lease.Unknown:
			c.node.countEvent("lease lost")
			delete(c.pendingWrites, event.Name)
			if held != nil {
				delete(c.held, event.Name)
				close(held.lost)
			}
		default:
			if pending != nil {
				delete(c.acquisitions, event.Name)
				if event.Status == lease.Taken {
					pending.result <- ErrTaken
				} else {
					pending.result <- fmt.Errorf("fleet: lease %s: the council says %s", event.Name, event.Status)
				}
			}
		}
	}
	rate, tooSlow := c.session.ClockComparison().TooSlow(c.node.config.Terms.MaxClockDrift)
	if tooSlow && !c.clockTooSlow {
		c.node.countEvent("clock beyond drift")
		c.node.log.WithField("rate", fmt.Sprintf("%.4f", rate)).WithField("drift", c.node.config.Terms.MaxClockDrift).
			Error("fleet: this clock and the council's differ by more than the stated drift: leases are not safe")
	}
	c.clockTooSlow = tooSlow
}

// finishWrite passes the result of a write under a lease, as the given event of the session states it, to the caller that
// waits for it, if there is one: nil, ErrLost or an error with the council's status (see pendingWrites).
func (c *sessionClient) finishWrite(event lease.Event) {
	result := c.pendingWrites[event.Name]
	if result == nil {
		return
	}
	delete(c.pendingWrites, event.Name)
	switch event.Status {
	case lease.Written:
		result <- nil
	case lease.NotHeld:
		result <- ErrLost
	default:
		result <- fmt.Errorf("fleet: note of lease %s: the council says %s", event.Name, event.Status)
	}
}

// close ends the session normally: it marks all leases as lost, so that the tasks under them end, waits for these tasks,
// and then ends the session at the council. If a task does not end within ctx, or no member can be reached, the leases
// expire instead.
func (c *sessionClient) close(ctx context.Context) {
	if !c.do(func() {
		c.closing = true
		for _, a := range c.acquisitions {
			a.result <- ErrClosed
		}
		clear(c.acquisitions)
		for _, name := range c.heldNames() {
			close(c.held[name].lost)
		}
		clear(c.held)
	}) {
		return
	}
	waitFor := func(finished func() bool) bool {
		for !finished() {
			select {
			case <-time.After(c.node.config.Tick / 4):
			case <-c.done:
				return false
			case <-ctx.Done():
				return false
			}
		}
		return true
	}
	if !waitFor(func() bool { return c.node.activeTasks.Load() == 0 }) {
		return
	}
	c.do(func() {
		if c.node.budgets != nil {
			c.node.budgets.close(c.node.environment.Now())
		}
		c.session.End()
	})
	// If no member can be reached, as when the whole fleet ends, waiting longer than this gains less than the leases' own
	// expiry.
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.node.config.Terms.HoldTimeout()/2*float64(time.Second)))
	defer cancel()
	waitFor(func() bool {
		ended := make(chan bool, 1)
		if !c.do(func() { ended <- c.session.Ended() }) {
			return true
		}
		select {
		case sessionEnded := <-ended:
			return sessionEnded
		case <-c.done:
			return true
		}
	})
}
