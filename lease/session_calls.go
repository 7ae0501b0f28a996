package lease

import (
	"maps"
	"math"
	"slices"
)

// sending is one transmission of the pending call to the council; a call is sent again until it is answered.
type sending struct {
	// attempt is the number of the transmission, as in Call.Attempt.
	attempt uint64

	// at is the time of the transmission, in seconds of the process's clock.
	at float64
}

// End gives up everything with the next call, whatever call is pending, and asks for nothing more. The caller must have stopped
// operating under its leases.
func (s *Session) End() {
	s.ending = true
	s.queuedOps = nil
	s.deadline = HoldDeadline{}
	s.ended = s.callNumber == 0
	s.pending = &Call{Session: s.id, Number: s.callNumber + 1, Incarnation: s.incarnation, End: true}
	s.resendAt = 0
	s.sendings = s.sendings[:0]
}

// Ended reports whether the council has confirmed the end of the session that End asked for, or never knew the session.
func (s *Session) Ended() bool { return s.ended }

// NextCall returns the call that should be sent to the council now; due is false if none should be. now, in seconds of the
// process's clock, has to be read before the call is sent. The caller may send it over any connection, and sets newConnection
// on a new one, so that a call without an answer is sent again at once.
func (s *Session) NextCall(now float64, newConnection bool) (call Call, due bool) {
	s.giveUpExpired(now)
	if s.ended {
		return Call{}, false
	}
	if s.pending == nil {
		switch {
		case len(s.queuedOps) > 0 || (s.callNumber > 0 || s.keepOpen) && (now >= s.renewAt || s.callSoon):
			s.startCall()
		default:
			return Call{}, false
		}
		s.sendings = s.sendings[:0]
	} else if !newConnection && now < s.resendAt {
		return Call{}, false
	}
	s.attempt++
	if len(s.sendings) == maxSendings {
		s.sendings = slices.Delete(s.sendings, 0, 1)
	}
	s.sendings = append(s.sendings, sending{s.attempt, now})
	resendAfter := defaultInterval
	if s.config.TTL > 0 {
		resendAfter = s.config.HoldTimeout() / sendingsPerTimeout
		s.renewAt = now + s.config.HoldTimeout()/renewalsPerTimeout
	}
	s.resendAt = now + resendAfter
	call = *s.pending
	call.Attempt = s.attempt
	return call, true
}

// startCall makes the next call, with queued operations and unsent reports of usage, and sets pending to it. The first call
// carries neither: it may arrive again after the session has ended, and must not acquire anything then. Notes are large, so
// that a call carries at most one.
func (s *Session) startCall() {
	s.callNumber++
	opCount := min(len(s.queuedOps), MaxOps)
	if s.callNumber == 1 {
		opCount = 0
	}
	if i := slices.IndexFunc(s.queuedOps, func(op Op) bool { return op.Kind == WriteNote }); i >= 0 {
		opCount = min(opCount, i+1)
	}
	s.pending = &Call{
		Session:     s.id,
		Number:      s.callNumber,
		Incarnation: s.incarnation,
		Ops:         slices.Clone(s.queuedOps[:opCount]),
		SeenToken:   s.seenToken,
	}
	s.queuedOps = slices.Delete(s.queuedOps, 0, opCount)
	if s.callNumber > 1 {
		s.callSoon = false
	}
	for _, name := range slices.Sorted(maps.Keys(s.unsentUsage)) {
		if len(s.pending.Usage) == maxUsagePerCall || s.callNumber == 1 {
			break
		}
		s.pending.Usage = append(s.pending.Usage, s.usage[name])
		delete(s.unsentUsage, name)
	}
	if s.callNumber == 1 {
		s.pending.Owner = s.owner
		s.pending.Addr = s.addr
	}
}

// NextDue returns the time, in seconds of the process's clock, at which NextCall or Expire has something to do even if nothing
// is received until then; infinite if there is no such time before the process asks for something.
func (s *Session) NextDue() float64 {
	due := math.Inf(1)
	switch {
	case s.ended:
		return due
	case s.pending != nil:
		due = s.resendAt
	case len(s.queuedOps) > 0 || s.callSoon && s.callNumber > 0:
		due = 0
	case s.callNumber > 0 || s.keepOpen:
		due = s.renewAt
	}
	if s.deadline.at > 0 && s.holdsAny() {
		due = min(due, s.deadline.at)
	}
	return due
}

// CallSoon makes the session make its next call at once. It is for a notification of the council that it has new shares for
// the session, which only an answer brings.
func (s *Session) CallSoon() { s.callSoon = true }
