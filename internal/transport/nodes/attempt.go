package nodes

import (
	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// connAttempt is an attempt that was assigned to a connection, with its state there. The pool's lock guards it.
type connAttempt struct {
	// Attempt is the attempt as the router handed it to the pool.
	*parts.Attempt
	// conn is the connection that has the attempt in its queue or in flight; nil once the attempt has ended there.
	conn *connection
	// call is the call that the attempt is part of.
	call *call
	// written says that the operating system has accepted the last byte of the attempt's frame.
	written bool
	// inWrite says that the attempt's frame is in a write in progress, or in one whose bytes have not all left this machine.
	inWrite bool
	// cancelOutcome is the outcome that Cancel was called with, which the owner is notified of; it is set together with endPending.
	cancelOutcome balance.Outcome
	// endPending says that the attempt was cancelled and has not ended yet: its owner (the search, as parts.Owner) is notified once
	// the cancellation or, without Limits.MayCancel, the write of the attempt's frame has left this machine, or the connection has
	// ended.
	endPending bool
}

// call is a group of attempts that share one frame. It counts as one of the calls that a connection may carry.
type call struct {
	// attempts are all attempts of the call, including those that have ended.
	attempts []connAttempt
	// active is how many of the attempts have neither ended nor been cancelled.
	active int
}

// connLostResult returns the result of an attempt whose connection ends: ConnectionLost, after which it may have run, if the
// last byte of its frame was written; else Unreachable, which promises that it never ran.
func (a *connAttempt) connLostResult() protocol.AttemptResult {
	if a.written {
		return protocol.AttemptResult{ID: a.ID, Outcome: balance.ConnectionLost}
	}
	return protocol.AttemptResult{ID: a.ID, Outcome: balance.Unreachable}
}

// cancelledResult returns the result of an attempt that was cancelled; its outcome is the one that Cancel was called with.
func (a *connAttempt) cancelledResult() protocol.AttemptResult {
	return protocol.AttemptResult{ID: a.ID, Outcome: a.cancelOutcome}
}

// clearEndPending resets endPending of cancelled attempts, as they have ended now. The caller then notifies their owners of the
// end, after it has released the pool's lock, which must be held for this call.
func clearEndPending(cancelled []*connAttempt) {
	for _, attempt := range cancelled {
		attempt.endPending = false
	}
}
