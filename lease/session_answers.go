package lease

import "slices"

// HandleAnswer handles an answer of the council that was received at the time now, in seconds of the process's clock. Answers
// to other calls than the pending one are ignored. After an answer that the council has no such session a new one is begun.
func (s *Session) HandleAnswer(now float64, answer Answer) {
	if s.pending == nil || answer.Session != s.id || answer.Number != s.pending.Number {
		return
	}
	if s.pending.End {
		s.ended = answer.Status == Done || answer.Status == Unknown
		return
	}
	sendingIndex := slices.IndexFunc(s.sendings, func(candidate sending) bool { return candidate.attempt == answer.Attempt })
	switch answer.Status {
	case Done:
	case LimitReached:
		// The council has no room for another session now; the call is sent again later.
		s.resendAt = now + defaultInterval
		return
	case Unknown, Stale, Invalid:
		s.reopen()
		return
	default:
		return
	}
	// The council's session of this ID is of another incarnation, and holds none of this one's leases.
	if s.incarnation != 0 && answer.Incarnation != s.incarnation {
		s.reopen()
		return
	}
	s.incarnation = answer.Incarnation
	if answer.Config != nil {
		s.config = *answer.Config
	}
	if sendingIndex >= 0 {
		sent := s.sendings[sendingIndex].at
		s.deadline.Renewed(sent, s.config)
		s.renewAt = sent + s.config.HoldTimeout()/renewalsPerTimeout
		s.clockComparison.Record(sent, now, answer.Now)
	}
	call := s.pending
	s.pending = nil
	for i, op := range call.Ops {
		if i < len(answer.Results) {
			s.applyResult(op, answer.Results[i])
		}
	}
	for _, grant := range answer.Grants {
		s.applyGrant(grant)
	}
	for _, share := range answer.Shares {
		if share.Number > s.shares[share.Name].Number {
			s.shares[share.Name] = share
			s.newShares = append(s.newShares, share)
		}
	}
	s.seenToken = max(s.seenToken, answer.LastToken)
	s.giveUpExpired(now)
}

// applyResult updates the session by the outcome of one operation of a call that was answered, and adds an event for it.
func (s *Session) applyResult(op Op, result Result) {
	if op.Kind == WriteNote || op.Kind == DefineBudget {
		event := Event{Name: op.Name, Status: result.Status, Token: result.Token, Note: true}
		if op.Kind == DefineBudget {
			event.Name = BudgetsLease
		}
		s.addEvent(event)
		return
	}
	lease := s.requests[op.Name]
	if lease == nil {
		return
	}
	if op.Kind == Release {
		delete(s.requests, op.Name)
		s.addEvent(Event{Name: op.Name, Status: Released})
		if lease.reacquire != nil {
			s.Acquire(op.Name, lease.reacquire.Places, lease.reacquire.Wait)
		}
		return
	}
	if lease.releasing {
		return
	}
	lease.status = result.Status
	lease.token = result.Token
	lease.place = result.Place
	s.addEvent(Event{Name: op.Name, Status: result.Status, Token: result.Token, Place: result.Place})
	if result.Status != Granted && result.Status != Waiting {
		delete(s.requests, op.Name)
	}
}

// HandleGrant handles a grant after waiting that the council sent by itself, not as an answer to a call. now, in seconds of the
// process's clock, is when it was received. Grants that an earlier answer contained, or to an earlier session, are ignored.
func (s *Session) HandleGrant(now float64, grant Grant) {
	if grant.Session == s.id && grant.Token > s.seenToken {
		s.applyGrant(grant)
		s.giveUpExpired(now)
	}
}

// applyGrant records that a lease for which the session waited is held now, and adds an event for it. It does nothing for other
// leases.
func (s *Session) applyGrant(grant Grant) {
	lease := s.requests[grant.Name]
	if lease == nil || lease.releasing || lease.status != Waiting {
		return
	}
	lease.status = Granted
	lease.token = grant.Token
	lease.place = grant.Place
	s.addEvent(Event{Name: grant.Name, Status: Granted, Token: grant.Token, Place: grant.Place})
}

// giveUpExpired starts to release all leases that are held, and adds an event for the loss of each, if the hold deadline has
// passed at the time now. TakeEvents returns the events.
func (s *Session) giveUpExpired(now float64) {
	if s.deadline.at == 0 || now < s.deadline.at {
		return
	}
	for _, name := range s.heldNames() {
		s.addEvent(Event{Name: name, Status: Unknown})
		s.startRelease(s.requests[name])
	}
}

// heldNames returns the sorted names of the leases that were granted and not given up, even if the hold deadline has passed.
func (s *Session) heldNames() (names []string) {
	for name, lease := range s.requests {
		if lease.status == Granted && !lease.releasing {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reopen begins a new session with a new ID, because the council has ended this one or refused its call: the leases that were
// held are lost, and those that were waited for, or asked for without an answer yet, are asked for again.
func (s *Session) reopen() {
	s.id = s.newID()
	s.callNumber = 0
	s.incarnation = 0
	s.pending = nil
	s.seenToken = 0
	s.queuedOps = nil
	s.deadline = HoldDeadline{}
	s.renewAt = 0
	s.sendings = s.sendings[:0]
	s.clockComparison = ClockComparison{}
	clear(s.usage)
	clear(s.unsentUsage)
	clear(s.shares)
	s.newShares = append(s.newShares[:0], Share{})
	names := make([]string, 0, len(s.requests))
	for name := range s.requests {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		lease := s.requests[name]
		switch {
		case lease.releasing:
			delete(s.requests, name)
			s.addEvent(Event{Name: name, Status: Released})
			if lease.reacquire != nil {
				s.Acquire(name, lease.reacquire.Places, lease.reacquire.Wait)
			}
		case lease.status == Granted:
			delete(s.requests, name)
			s.addEvent(Event{Name: name, Status: Unknown})
		default:
			lease.status = 0
			s.queuedOps = append(s.queuedOps, lease.op)
		}
	}
}

// addEvent appends an event to those that the next call of TakeEvents returns.
func (s *Session) addEvent(event Event) { s.events = append(s.events, event) }
