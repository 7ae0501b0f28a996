// Package flightnodes is the node backend that speaks Arrow Flight. It sends each part as a DoGet call of its own, over
// connections that it opens, counts and closes. Which node gets which part is decided by the router; package parts states
// what the calls of a node backend promise.
//
// Terms of this package:
//   - A stream is one gRPC call on a connection: the request of one attempt, and the node's answer to it. To reset a stream is
//     to end it early, by an RST_STREAM frame of HTTP/2.
//   - The answer on a stream is the Arrow messages of a table, if the attempt succeeded, and then a result message, which has no
//     header and says how the attempt ended.
//   - An attempt is in flight from Send until its owner is notified of its end. The owner is the search that it belongs to
//     (parts.Owner).
//   - The tag of an attempt is a text that no other attempt of the pool has. It is sent as a header of the attempt's stream.
//   - A request has left this machine when the system has sent its last byte to the node. A stream end is the last byte of a
//     request, or of the reset of a stream.
//   - The send deadline of an attempt is the time by which its request must have left this machine.
//   - A connection is unused if it is established and no attempt and no probe is in flight on it.
//   - A retiring connection takes no further attempt, and is closed once nothing is in flight on it.
//   - A probe is a call that asks a node whether it works.
//   - A close code is a word that says why a connection ended, for the log and for Counts.ClosedByCode.
package flightnodes

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/sirupsen/logrus"

	"brackenfront/balance"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
)

// Limits bounds the connections to nodes that speak Flight, and the answers that come over them. The values come from the
// deployment's settings and the operator's options.
type Limits struct {
	// MaxStreamsPerConn is how many attempts may be in flight on one connection. Probes do not count.
	MaxStreamsPerConn int
	// ConnectTimeout is the longest time that establishing a connection may take, and the longest that a health probe's answer may.
	ConnectTimeout time.Duration
	// PeerIdleTimeout is the time after which a node may close an unused connection.
	PeerIdleTimeout time.Duration
	// MaxWait is how long, counted from Send, the stream of an attempt may stay open where MayCancel is false. Where it is true,
	// the stream ends at the attempt's deadline instead.
	MaxWait time.Duration
	// MayCancel says that the stream of an attempt may be reset when the attempt is cancelled or its deadline passes, by which the
	// node learns of it. If it is false, the node goes on with the part, and its answer is dropped.
	MayCancel bool
	// MaxMessageBytes bounds the size, in bytes, of one gRPC message from a node.
	MaxMessageBytes int
	// MaxPartBytes bounds the size of all messages of the answer to one part together, in bytes.
	MaxPartBytes int
	// AnswerMemory bounds the bytes of the answers to all parts together that are incomplete or not yet delivered to clients.
	AnswerMemory *parts.MemoryBudget
	// RetryMaxQueueTime is for how long after the decision to send it a second or later attempt of a part may still be sent; after
	// that it ends with the outcome NotSent, and the router decides again. 0 stands for defaultRetryMaxQueueTime.
	RetryMaxQueueTime time.Duration

	// Turns makes the goroutines that read the connections take turns at the processor; nil for no such turns.
	Turns *turns.Scheduler
	// DescriptorRetryPause is the time between two dials while no file descriptor is free.
	DescriptorRetryPause time.Duration
	// Dial opens the connections; where it is nil, parts.NodeDialer does, by TCP.
	Dial parts.DialFunc
}

// defaultRetryMaxQueueTime is the value that NewConnPool gives Limits.RetryMaxQueueTime where that is 0: the delay that the
// protocol allows beyond a time limit, less one interval between two iterations of the router's event loop.
const defaultRetryMaxQueueTime = 45 * time.Millisecond

// ConnPool holds the connections to all nodes that speak Flight, and implements routing.NodeBackend. Its methods may be
// called from any goroutine; none but Close waits for a socket.
type ConnPool struct {
	// limits has its defaults filled in, and does not change.
	limits Limits
	// log gets a line for each connection that ends, and for each invalid message.
	log *logrus.Logger
	// ctx is the parent of the contexts of all streams and probes.
	ctx context.Context
	// cancelAll ends ctx; Close calls it.
	cancelAll context.CancelFunc
	// goroutines counts the running goroutines of the pool, whose end Close waits for.
	goroutines sync.WaitGroup
	// closeUnused is called where no file descriptor is free: it closes up to most unused connections of the process and returns
	// how many it closed. SetCloseUnused sets it.
	closeUnused func(most int) int

	// mu guards the fields below, and those of every connection and activeAttempt.
	mu sync.Mutex
	// connections holds the connections that are open or being dialled, by their node's address (host:port).
	connections map[string][]*connection
	// lastTag is the number of the newest attempt. Written in base 36, an attempt's number is its tag: the value of its stream's
	// header tagHeader, by which trackedConn recognises the attempt.
	lastTag uint64
	// counts are the totals, of which the method Counts returns a copy.
	counts Counts
}

// NewConnPool returns a pool without connections, which opens them as attempts and probes need them. Limits.Dial and
// Limits.RetryMaxQueueTime get their defaults where they are not set.
func NewConnPool(limits Limits, log *logrus.Logger) *ConnPool {
	if limits.Dial == nil {
		limits.Dial = parts.NodeDialer(limits.ConnectTimeout)
	}
	if limits.RetryMaxQueueTime == 0 {
		limits.RetryMaxQueueTime = defaultRetryMaxQueueTime
	}
	p := &ConnPool{
		limits:      limits,
		log:         log,
		connections: map[string][]*connection{},
		closeUnused: func(int) int { return 0 },
	}
	p.counts.ClosedByCode = map[string]int{}
	p.counts.StreamsByStatus = map[string]int{}
	p.ctx, p.cancelAll = context.WithCancel(context.Background())
	return p
}

// SetCloseUnused sets the function that is called where no file descriptor is free: it closes up to most unused
// connections of the process and returns how many it closed. It has to be set before the first Send or Probe; it is called
// from any goroutine.
func (p *ConnPool) SetCloseUnused(closeUnused func(most int) int) { p.closeUnused = closeUnused }

// Send sends each attempt to the node at address (host:port), on a stream of its own. It skips attempts that were cancelled before,
// and those of searches whose SendPermission is withdrawn because the client has left or the final answer is decided. The owner of
// each other attempt is notified of its result, unless Cancel returns true for it.
func (p *ConnPool) Send(address string, attempts []*parts.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, attempt := range attempts {
		// An attempt may have ended in the iteration of the router's loop that decided to send it; then it must not be sent.
		if attempt.CancelledUnsent || attempt.Permission.Withdrawn() {
			continue
		}
		deadline := attempt.Deadline
		// Without MayCancel the node must not be told the deadline either: the end of the stream at the deadline would be a
		// cancellation.
		if !p.limits.MayCancel {
			deadline = time.Now().Add(p.limits.MaxWait)
		}
		ctx, cancel := context.WithDeadline(p.ctx, deadline)
		p.lastTag++
		active := &activeAttempt{
			Attempt:      attempt,
			tag:          strconv.FormatUint(p.lastTag, 36),
			cancelStream: cancel,
			resetSent:    make(chan struct{}),
		}
		attempt.BackendState = active
		p.assign(active, p.selectConnection(address))
		p.goroutines.Add(1)
		go p.runAttempt(ctx, active, address)
	}
}

// assign makes conn the connection that carries the attempt, and adds it to the attempts in flight there. The caller holds the
// pool's lock.
func (p *ConnPool) assign(active *activeAttempt, conn *connection) {
	active.conn = conn
	conn.attempts[active.tag] = active
	if conn.busySince.IsZero() {
		conn.busySince = time.Now()
	}
}

// Cancel gives an attempt up: its reply is no longer waited for. It returns true if the attempt has ended at once; otherwise
// its owner is notified of the end with outcome later. With MayCancel that is once the stream's reset has been sent, so that an
// attempt sent to another node next cannot overtake the reset. The same holds without it while no write includes the end of the
// request. After that, without MayCancel, the node is not told, and the owner is notified once the request has left this machine, or can
// no longer leave it.
func (p *ConnPool) Cancel(attempt *parts.Attempt, outcome balance.Outcome) (ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active, _ := attempt.BackendState.(*activeAttempt)
	if active == nil || active.ended || active.cancelled {
		attempt.CancelledUnsent = true
		return active == nil || active.ended
	}
	p.counts.AttemptsCancelled++
	if p.limits.MayCancel || !active.requestLeft {
		active.cancelled = true
		active.cancelOutcome = outcome
		active.cancelStream()
		return false
	}
	// The stream goes on by itself, and its result is dropped.
	active.abandoned = true
	// While the request may yet reach the node, the owner is not notified of the end, as the part may not be sent elsewhere before that.
	if active.inWrite || active.inSendBuffer {
		active.notifyWhenLeft = true
		active.cancelOutcome = outcome
		return false
	}
	return true
}

// AbortWrites closes the connections on which a request of the search that permission belongs to may be in a write in progress, so
// that the write ends and SendPermission.Release is called for the attempt.
func (p *ConnPool) AbortWrites(permission *parts.SendPermission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connections := range p.connections {
		for _, conn := range slices.Clone(connections) {
			for _, active := range conn.attempts {
				if active.Permission == permission && active.inWrite {
					conn.close(codeSendTimeout)
					break
				}
			}
		}
	}
}

// RecallUnsent is called when the node at address (host:port) begins to drain. It cancels the attempts to the node whose requests
// the operating system has not accepted completely. Their owners are called, with NotSent if no write had included the end of the
// request, else with Cancelled. A write in progress gets the duration bound to end, then its connection is closed. The result, in
// which other backends return the attempts whose owners are not called, is always nil.
func (p *ConnPool) RecallUnsent(address string, bound time.Duration) []*parts.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.connections[address] {
		var recalled []*activeAttempt
		for _, active := range conn.attempts {
			if !active.written && !active.cancelled {
				active.cancelled = true
				active.cancelOutcome = balance.Cancelled
				active.cancelStream()
				recalled = append(recalled, active)
			}
		}
		if len(recalled) > 0 {
			time.AfterFunc(bound, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				if slices.ContainsFunc(recalled, func(active *activeAttempt) bool { return active.inWrite }) {
					conn.close(codeSendTimeout)
				}
			})
		}
	}
	return nil
}

// Probe asks the node at address (host:port) whether it works, by the Flight action "health". done is called once, from another
// goroutine, after ConnectTimeout at the latest; ok says that the node answered that it works.
func (p *ConnPool) Probe(address string, done func(ok bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Probes++
	conn := p.selectConnection(address)
	conn.probesInFlight++
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		ctx, cancel := context.WithTimeout(p.ctx, p.limits.ConnectTimeout)
		defer cancel()
		ok := false
		stream, err := conn.client.DoAction(ctx, &flight.Action{Type: "health"})
		if err == nil {
			result, err := stream.Recv()
			ok = err == nil && string(result.Body) == "hit"
		}
		p.mu.Lock()
		if conn.probesInFlight--; err == nil {
			conn.streamOpened()
		}
		// A machine may be up again while its old connection stays silent; the next probe needs a new connection.
		if !ok && len(conn.attempts) == 0 && ctx.Err() != nil {
			conn.close("silent")
		}
		conn.checkUnused()
		p.mu.Unlock()
		done(ok)
	}()
}

// CloseIdleOrSilent closes connections to the node at address: with a silence of 0 those on which nothing is in flight, else those
// on which something has been in flight, and no bytes have come, for at least that long.
func (p *ConnPool) CloseIdleOrSilent(address string, silence time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range slices.Clone(p.connections[address]) {
		if silence == 0 && conn.unused() {
			conn.close("renewed")
		} else if silence > 0 && !conn.busySince.IsZero() && time.Since(conn.lastSignOfLife()) >= silence && !conn.hasUnread() {
			conn.close("silent")
		}
	}
}

// CloseUnused closes up to most unused connections, the longest unused first, and returns how many it closed.
func (p *ConnPool) CloseUnused(most int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unused []*connection
	for _, connections := range p.connections {
		for _, conn := range connections {
			if conn.unused() {
				unused = append(unused, conn)
			}
		}
	}
	slices.SortFunc(unused, func(a, b *connection) int { return a.lastUsedAt.Compare(b.lastUsedAt) })
	unused = unused[:min(most, len(unused))]
	for _, conn := range unused {
		conn.close("short")
	}
	return len(unused)
}

// OpenConnections returns the number of connections that are open or being dialled; those that are being closed do not count.
func (p *ConnPool) OpenConnections() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connections := range p.connections {
		count += len(connections)
	}
	return count
}

// Close closes all connections and waits until the pool's goroutines have ended.
func (p *ConnPool) Close() {
	p.mu.Lock()
	p.cancelAll()
	for _, connections := range p.connections {
		for _, conn := range slices.Clone(connections) {
			conn.close("stopped")
		}
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// selectConnection returns the connection to a node with the most attempts that can still take another one, so that few
// stay open; where there is none it opens one. The caller holds the pool's lock.
func (p *ConnPool) selectConnection(address string) (best *connection) {
	for _, conn := range p.connections[address] {
		if count := len(conn.attempts); count < p.limits.MaxStreamsPerConn && !conn.retiring && (best == nil || count > len(best.attempts)) && conn.reusable() {
			best = conn
		}
	}
	if best == nil {
		best = p.openConnection(address)
	}
	return best
}
