package flightnodes

import (
	"context"
	"strconv"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// activeAttempt is an attempt that is in flight. Its fields are guarded by the pool's lock.
type activeAttempt struct {
	// Attempt is the attempt as the router handed it to the pool.
	*parts.Attempt
	// tag identifies the attempt among those of the pool; it is sent as the header tagHeader of the attempt's stream, from which
	// trackedConn reads it.
	tag string
	// cancelStream cancels the context of the stream, which resets it if it was opened.
	cancelStream context.CancelFunc
	// conn is the connection that carries the attempt, or carried it last.
	conn *connection
	// sendDeadline is the time by which the request has to have left this machine; zero until the stream has been opened.
	sendDeadline time.Time
	// inWrite says that SendPermission.Acquire was called for this attempt and Release was not yet, as its request is in the gRPC
	// library's queue or in a write in progress.
	inWrite bool
	// inSendBuffer says that the operating system has accepted the whole request and may not have sent all of it yet.
	inSendBuffer bool
	// requestLeft says that the node may have the whole request: a write that includes its last byte has begun, and has not failed
	// before that byte.
	requestLeft bool
	// written says that the operating system has accepted the last byte of the request.
	written bool
	// cancelled says that the attempt was cancelled, and its stream with it; it ends with cancelOutcome.
	cancelled bool
	// abandoned says that the attempt was cancelled without Limits.MayCancel: its stream continues until the node answers, and the
	// owner is not called with that result.
	abandoned bool
	// notifyWhenLeft says that the owner of an abandoned attempt is notified of its end with cancelOutcome once the request has
	// left this machine, or can no longer leave it.
	notifyWhenLeft bool
	// ended says that the attempt's outcome is determined, so that Cancel no longer changes it.
	ended bool
	// resetSent is closed when the stream's reset has left this machine, the connection is closed, or the stream could not be opened.
	// No more bytes of the request can leave from then on; waitForReset waits for that.
	resetSent chan struct{}
	// cancelOutcome is the outcome that Cancel was called with, which the owner is notified of.
	cancelOutcome balance.Outcome
}

// runAttempt sends an attempt to the node at address (host:port), waits for its end, and notifies its owner of the result, unless
// the attempt is abandoned. ctx ends at the attempt's deadline (without Limits.MayCancel, MaxWait after Send), or when its stream
// is cancelled. If the connection ended before the request left this machine, the request is sent once more on another connection,
// as the same attempt.
func (p *ConnPool) runAttempt(ctx context.Context, active *activeAttempt, address string) {
	defer p.goroutines.Done()
	defer active.cancelStream()
	result, status, rest := p.fetchPart(ctx, active)
	// It is no failure of the node if the connection was being closed, by the node or by this side: a request that never
	// left is sent once more on another connection, as the same attempt. This is not done for a search that has ended, nor
	// for a node that does not read.
	p.mu.Lock()
	if result.Outcome == balance.Unreachable && active.conn.wasUp && active.conn.closeCode != codeSendTimeout && !active.cancelled && ctx.Err() == nil && !active.Permission.Withdrawn() {
		delete(active.conn.attempts, active.tag)
		active.conn.retiring = true
		active.conn.checkUnused()
		p.lastTag++
		active.tag = strconv.FormatUint(p.lastTag, 36)
		active.resetSent = make(chan struct{})
		p.assign(active, p.selectConnection(address))
		p.mu.Unlock()
		result, status, rest = p.fetchPart(ctx, active)
		p.mu.Lock()
	}
	cancelled := active.cancelled
	mayHaveLeft := active.requestLeft || active.inWrite
	// The request may still be in the gRPC library's queue, before the reset of its stream.
	expired := !cancelled && active.inWrite && ctx.Err() != nil
	p.mu.Unlock()
	if cancelled {
		result.Table.Free()
	}
	if cancelled && mayHaveLeft || expired {
		active.waitForReset()
	}
	p.mu.Lock()
	active.ended = true
	if expired && active.requestLeft && result.Outcome == balance.Unreachable {
		result.Outcome = balance.TimedOut
	}
	p.counts.StreamsByStatus[status]++
	if cancelled {
		result = protocol.AttemptResult{ID: active.ID, Outcome: active.cancelOutcome}
		if !active.requestLeft && active.cancelOutcome == balance.Cancelled {
			result.Outcome = balance.NotSent
		}
	}
	abandoned := active.abandoned
	delete(active.conn.attempts, active.tag)
	active.conn.checkUnused()
	if result.Outcome == balance.OK {
		p.counts.Replies++
	}
	p.mu.Unlock()
	if abandoned {
		result.Table.Free()
	} else {
		active.NotifyOwner(result)
	}
	// Reads what follows the message that ends the answer, which as a rule is the status alone. A node that goes on sending
	// would occupy a stream of the connection; its stream is reset after the second such message.
	for extra := 0; rest != nil && rest.RecvMsg(new(flight.FlightData)) == nil; extra++ {
		p.mu.Lock()
		p.counts.MessagesAfterEnd++
		p.mu.Unlock()
		if extra > 0 {
			return
		}
	}
}

// releasePermission calls Release of the search's SendPermission if Acquire was called for this attempt. It is called once no write
// in progress can complete the attempt's request any more. The caller holds the pool's lock.
func (a *activeAttempt) releasePermission() {
	if a.inWrite {
		a.inWrite = false
		a.Permission.Release()
	}
}

// requestSettled is called once the request has left this machine, or can no longer leave it. It calls releasePermission, so that a
// withdrawal of the search's SendPermission need not wait for this attempt any more, and, if notifyWhenLeft is set, notifies the
// owner of the end with cancelOutcome. The caller holds the pool's lock.
func (a *activeAttempt) requestSettled() {
	a.releasePermission()
	a.inSendBuffer = false
	if a.notifyWhenLeft {
		a.notifyWhenLeft = false
		pool := a.conn.pool
		pool.goroutines.Add(1)
		// The owner is called on a goroutine of its own, as it may wait and the pool's lock is held.
		go func() {
			defer pool.goroutines.Done()
			a.NotifyOwner(protocol.AttemptResult{ID: a.ID, Outcome: a.cancelOutcome})
		}()
	}
}

// cancelIfQueued is called at the attempt's send deadline, and cancels the stream if the request is still in the gRPC library's
// queue. This guards against a node that grants no flow-control window on its streams: the library would keep the request until
// the attempt's deadline. A request that is in a write by then is bounded by that write's own deadline.
func (a *activeAttempt) cancelIfQueued() {
	pool := a.conn.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if !a.requestLeft {
		a.cancelStream()
	}
}

// markResetSent closes resetSent, when one of the events named there has happened. The caller holds the pool's lock; repeated calls
// have no effect.
func (a *activeAttempt) markResetSent() {
	select {
	case <-a.resetSent:
	default:
		close(a.resetSent)
	}
}

// waitForReset waits until resetSent is closed, that is, until no more bytes of a cancelled or expired request can leave this
// machine. A stream that the node ended at the same time gets no reset: therefore, after Limits.ConnectTimeout, it returns if no
// write on the connection is in progress, or else closes the connection and waits on.
func (a *activeAttempt) waitForReset() {
	timeout := time.NewTimer(a.conn.pool.limits.ConnectTimeout)
	defer timeout.Stop()
	select {
	case <-a.resetSent:
		return
	case <-timeout.C:
	}
	pool := a.conn.pool
	pool.mu.Lock()
	writing := a.conn.tracked != nil && a.conn.tracked.writing.Load()
	if writing {
		a.conn.close(codeSendTimeout)
	}
	a.requestSettled()
	pool.mu.Unlock()
	if writing {
		<-a.resetSent
	}
}
