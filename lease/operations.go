package lease

import "slices"

// applyOp applies one operation of a session to the state and returns its outcome.
func (s *State) applyOp(session *sessionRecord, op Op) Result {
	if !op.valid() {
		return Result{Status: Invalid}
	}
	lease := s.leases[op.Name]
	switch op.Kind {
	case WriteNote:
		return s.writeNote(session, lease, op)
	case DefineBudget:
		return s.defineBudget(session, op)
	}
	if op.Kind == Release {
		if lease != nil {
			s.removeFromLease(session, lease)
			session.Leases = slices.DeleteFunc(session.Leases, func(name string) bool { return name == op.Name })
		}
		return Result{Status: Released}
	}
	if lease == nil {
		if len(s.leases) >= s.config.MaxLeases {
			return Result{Status: LimitReached}
		}
		lease = &leaseRecord{Name: op.Name, Places: op.Places}
		s.leases[op.Name] = lease
	}
	for _, grant := range lease.Holders {
		if grant.Session == session.ID {
			return Result{Granted, grant.Token, grant.Place}
		}
	}
	if slices.ContainsFunc(lease.Waiters, func(w waiter) bool { return w.Session == session.ID }) {
		return Result{Status: Waiting}
	}
	if lease.Places != op.Places {
		return Result{Status: PlacesDiffer}
	}
	if s.now >= s.grantsFrom && len(lease.Holders) < lease.Places && len(lease.Waiters) == 0 {
		session.Leases = append(session.Leases, op.Name)
		grant := s.grant(lease, session)
		return Result{Granted, grant.Token, grant.Place}
	}
	switch {
	case op.Wait == 0:
		s.deleteIfUnused(lease)
		return Result{Status: Taken}
	case len(lease.Waiters) >= s.config.MaxWaiters:
		return Result{Status: LimitReached}
	}
	added := waiter{session.ID, s.now + min(op.Wait, s.config.MaxWait)}
	lease.Waiters = append(lease.Waiters, added)
	session.Leases = append(session.Leases, op.Name)
	s.scheduleExpiry(added.ExpiresAt)
	return Result{Status: Waiting}
}

// writeNote carries out an operation WriteNote, which writes the note of a lease, or removes it if op.Note is empty. lease
// is nil if nobody holds or waits for it. The holder is the one that the agreed state has at this place of the log, whatever
// has happened since the call was sent: a former holder gets NotHeld and changes nothing. A lease with several places has no
// note, as it would have several writers; the result is then PlacesDiffer. It is LimitReached if maxNotes leases have a note
// already, else Written.
func (s *State) writeNote(session *sessionRecord, lease *leaseRecord, op Op) Result {
	if lease == nil {
		return Result{Status: NotHeld}
	}
	if lease.Places != 1 {
		return Result{Status: PlacesDiffer}
	}
	i := slices.IndexFunc(lease.Holders, func(g Grant) bool { return g.Session == session.ID })
	switch {
	case i < 0:
		return Result{Status: NotHeld}
	case len(op.Note) == 0:
		delete(s.notes, op.Name)
	case s.notes[op.Name] == nil && len(s.notes) >= maxNotes:
		return Result{Status: LimitReached}
	default:
		s.notes[op.Name] = &Note{op.Name, lease.Holders[i].Token, op.Note}
	}
	return Result{Status: Written, Token: lease.Holders[i].Token}
}

// grant gives a session the lowest free place of a lease, which must have one, under a new token, and returns the grant.
func (s *State) grant(lease *leaseRecord, session *sessionRecord) Grant {
	place := 0
	for slices.ContainsFunc(lease.Holders, func(g Grant) bool { return g.Place == place }) {
		place++
	}
	s.lastToken++
	grant := Grant{lease.Name, session.ID, s.lastToken, place}
	lease.Holders = append(lease.Holders, grant)
	return grant
}

// removeFromLease removes a session from a lease, whether it holds a place or waits for one, and grants the places that are
// free then to the sessions that have waited longest. It leaves session.Leases to its caller.
func (s *State) removeFromLease(session *sessionRecord, lease *leaseRecord) {
	lease.Holders = slices.DeleteFunc(lease.Holders, func(g Grant) bool { return g.Session == session.ID })
	lease.Waiters = slices.DeleteFunc(lease.Waiters, func(w waiter) bool { return w.Session == session.ID })
	session.Grants = slices.DeleteFunc(session.Grants, func(g Grant) bool { return g.Name == lease.Name })
	s.grantToWaiters(lease)
}

// grantToWaiters grants the free places of a lease to the sessions that have waited longest for it. It deletes the lease
// from the state if nobody holds or waits for it then.
func (s *State) grantToWaiters(lease *leaseRecord) {
	for s.now >= s.grantsFrom && len(lease.Waiters) > 0 && len(lease.Holders) < lease.Places {
		session := s.sessionByID[lease.Waiters[0].Session]
		lease.Waiters = slices.Delete(lease.Waiters, 0, 1)
		grant := s.grant(lease, session)
		session.Grants = append(session.Grants, grant)
		s.newGrants = append(s.newGrants, grant)
	}
	s.deleteIfUnused(lease)
}

// deleteIfUnused deletes a lease from the state if nobody holds or waits for it. Tokens rise over all leases together, so its
// next holder still gets a higher one.
func (s *State) deleteIfUnused(lease *leaseRecord) {
	if len(lease.Holders) == 0 && len(lease.Waiters) == 0 {
		delete(s.leases, lease.Name)
	}
}
