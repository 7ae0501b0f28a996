package lease

import (
	"math"
	"slices"
)

// State is the state of the council: the sessions, who holds or waits for which lease, the notes and the pools of budgets. It
// changes only by Apply, in the order of the agreed log. Its time advances by what commands state, and never goes back. It
// is not safe for concurrent use.
type State struct {
	// config is the council's configuration: the durations and limits of sessions and leases.
	config Config

	// now is the council's time in seconds since its founding.
	now float64

	// grantsFrom is the council's time, in seconds, before which nothing is granted: a session timeout after the founding, as
	// until then the holders of leases of a council that this one replaces may still operate.
	grantsFrom float64

	// lastToken is the token of the last grant; the next grant of any lease gets the next number.
	lastToken uint64

	// sessions are the open sessions, in the order in which they were opened.
	sessions []*sessionRecord

	// sessionByID has the open sessions by their ID.
	sessionByID map[ID]*sessionRecord

	// leases are the leases that are held or waited for, by name.
	leases map[string]*leaseRecord

	// notes are the notes of leases, by the lease's name.
	notes map[string]*Note

	// pools has the council's records of the budgets, by the budget's name.
	pools map[string]*poolRecord

	// lastNumber is the highest number so far that was given to a share (Share.Number) or to a session (its incarnation); both
	// are numbered in one sequence.
	lastNumber uint64

	// nextExpiry is a council time, in seconds, before which nothing expires: no session, no session's wait for a lease, and
	// no amount of a budget that is kept for an ended session (expiredShare); nor does a new council grant before it.
	nextExpiry float64

	// newGrants are the grants to sessions that had waited, since the last call of TakeGrants.
	newGrants []Grant

	// toNotify are the IDs of the sessions that should call soon, since the last call of TakeSessionsToNotify: the council has
	// cut their share of a budget, so that others wait for it, or has raised it after they had to refuse.
	toNotify []ID
}

// sessionRecord is what the council keeps of an open session.
type sessionRecord struct {
	// ID is the session's ID.
	ID ID `cbor:"1,keyasint"`

	// Owner is the name of the broker; "" for an operator's session.
	Owner string `cbor:"2,keyasint"`

	// ExpiresAt is the council's time, in seconds, at which the session ends unless it is renewed: Config.SessionTimeout after
	// its last call.
	ExpiresAt float64 `cbor:"3,keyasint"`

	// LastCall is the Call.Number of the session's last call that was applied.
	LastCall uint64 `cbor:"4,keyasint"`

	// Results are the outcomes of the operations of the last call, to be sent again if that call arrives again.
	Results []Result `cbor:"5,keyasint,omitempty"`

	// Grants are leases granted after waiting that the session has not yet said to have received.
	Grants []Grant `cbor:"6,keyasint,omitempty"`

	// Leases are the names of the leases that the session holds or waits for.
	Leases []string `cbor:"7,keyasint,omitempty"`

	// Addr is the address at which the session's process listens for other brokers; "" for none.
	Addr string `cbor:"8,keyasint,omitempty"`

	// Pools are the names of the budgets that the session has reported its use of, in the order of its first reports.
	Pools []string `cbor:"9,keyasint,omitempty"`

	// Incarnation is the number that the council gave the session when it opened; no other session ever has the same.
	Incarnation uint64 `cbor:"10,keyasint"`
}

// leaseRecord is what the council keeps of a lease that is held or waited for.
type leaseRecord struct {
	// Name is the lease's name, by which sessions ask for it.
	Name string `cbor:"1,keyasint"`

	// Places is the number of places of the lease, as the session stated that was the first to ask for it.
	Places int `cbor:"2,keyasint"`

	// Holders are the grants to the sessions that hold the lease now, at most as many as Places.
	Holders []Grant `cbor:"3,keyasint,omitempty"`

	// Waiters are the sessions that wait for the lease, the one that has waited longest first.
	Waiters []waiter `cbor:"4,keyasint,omitempty"`
}

// Note is the bytes that a lease's holder has stored with the lease at the council; they stay when the lease is released,
// lost or no longer used.
type Note struct {
	// Name is the name of the lease.
	Name string `cbor:"1,keyasint" json:"lease"`

	// Token is the token of the grant under which the holder wrote the note.
	Token uint64 `cbor:"2,keyasint" json:"token"`

	// Data is the content of the note, at most MaxNoteBytes long; only holders of the lease give it a meaning.
	Data []byte `cbor:"3,keyasint" json:"text"`
}

// waiter is an entry of a lease's queue: a session that waits to hold the lease.
type waiter struct {
	// Session is the ID of the session that waits.
	Session ID `cbor:"1,keyasint"`

	// ExpiresAt is the council's time, in seconds, at which the session stops waiting.
	ExpiresAt float64 `cbor:"2,keyasint"`
}

// Command is one entry of the council's agreed log: a time, and calls of sessions to be applied at that time.
type Command struct {
	// Time is the leader's reading of the council's time, in seconds.
	Time float64 `cbor:"1,keyasint"`

	// Calls are the calls of sessions to apply, in order.
	Calls []Call `cbor:"2,keyasint,omitempty"`
}

// NewState returns the state of a council that is newly founded with this configuration. founding is the number of the
// founding, and goes into the upper bits (40 and up) of all tokens: an operator who replaces a lost council founds the next
// one with a higher number, so that its tokens are higher than all earlier ones.
func NewState(config Config, founding uint32) *State {
	return &State{
		config:      config,
		grantsFrom:  config.SessionTimeout(),
		nextExpiry:  config.SessionTimeout(),
		lastToken:   uint64(founding) << 40,
		sessionByID: map[ID]*sessionRecord{},
		leases:      map[string]*leaseRecord{},
		notes:       map[string]*Note{},
		pools:       map[string]*poolRecord{},
	}
}

// Now returns the council's time in seconds since its founding.
func (s *State) Now() float64 { return s.now }

// NextExpiry returns the council's time, in seconds, at which a session, a session's wait for a lease, or an amount of a
// budget kept for an ended session may end, or a new council begins to grant leases. By then the leader has to apply a
// command, if only to advance the time. It is infinite if there is nothing of that kind.
func (s *State) NextExpiry() float64 { return s.nextExpiry }

// Counts returns the number of open sessions, the number of leases that are held or waited for, and the token of the last
// grant.
func (s *State) Counts() (sessions, leases int, lastToken uint64) {
	return len(s.sessions), len(s.leases), s.lastToken
}

// TakeGrants returns the grants to sessions that had waited, since it was last called, so that they can be notified. Later
// grants overwrite the returned slice.
func (s *State) TakeGrants() []Grant {
	grants := s.newGrants
	s.newGrants = s.newGrants[:0]
	return grants
}

// TakeSessionsToNotify returns the IDs of the sessions that should call soon, collected since it was last called: their shares
// of budgets were cut, or were raised after they had to refuse. Later IDs overwrite the returned slice.
func (s *State) TakeSessionsToNotify() []ID {
	sessions := s.toNotify
	s.toNotify = s.toNotify[:0]
	return sessions
}

// Apply applies one command and returns the answers, in the order of its calls. A command with an earlier time than the
// state's, of a leader that was suspended, does not change the time.
func (s *State) Apply(command Command) []Answer {
	if command.Time > s.now {
		s.now = command.Time
	}
	if s.now >= s.nextExpiry {
		s.expire()
	}
	answers := make([]Answer, len(command.Calls))
	for i := range command.Calls {
		answers[i] = s.applyCall(&command.Calls[i])
	}
	return answers
}

// applyCall applies one call to the state and returns the answer. A call that was applied before, and is the session's last
// one, changes nothing and gets the same results again.
func (s *State) applyCall(call *Call) Answer {
	answer := Answer{Session: call.Session, Number: call.Number, Attempt: call.Attempt, Status: Done, Now: s.now}
	if len(call.Ops) > MaxOps || len(call.Usage) > maxUsagePerCall ||
		len(call.Owner) > maxNameBytes || len(call.Addr) > maxNameBytes || call.Number == 0 {
		answer.Status = Invalid
		return answer
	}
	session := s.sessionByID[call.Session]
	if session == nil && call.Number == 1 && !call.End {
		if len(s.sessions) >= s.config.MaxSessions {
			answer.Status = LimitReached
			return answer
		}
		s.lastNumber++
		session = &sessionRecord{ID: call.Session, Owner: call.Owner, Addr: call.Addr, Incarnation: s.lastNumber}
		s.sessions = append(s.sessions, session)
		s.sessionByID[session.ID] = session
	}
	switch {
	case session == nil || call.Incarnation != 0 && call.Incarnation != session.Incarnation:
		answer.Status = Unknown
		return answer
	case call.End:
		s.endSession(session)
		return answer
	case call.Number > session.LastCall+1:
		// This council has not applied the session's previous call.
		answer.Status = Unknown
		return answer
	case call.Number < session.LastCall:
		answer.Status = Stale
		return answer
	}
	session.ExpiresAt = s.now + s.config.SessionTimeout()
	answer.Incarnation = session.Incarnation
	s.scheduleExpiry(session.ExpiresAt)
	if call.Number == 1 {
		answer.Config = &s.config
	}
	session.Grants = slices.DeleteFunc(session.Grants, func(g Grant) bool { return g.Token <= call.SeenToken })
	if call.Number > session.LastCall {
		session.LastCall = call.Number
		session.Results = make([]Result, len(call.Ops))
		for i, op := range call.Ops {
			session.Results[i] = s.applyOp(session, op)
		}
		for _, usage := range call.Usage {
			s.applyUsage(session, usage)
		}
	}
	answer.Results = session.Results
	answer.Grants = slices.Clone(session.Grants)
	answer.LastToken = s.lastToken
	answer.Shares = s.unacknowledgedShares(session)
	return answer
}

// endSession removes a session from the state and frees its places of leases, its waits and its shares of budgets.
func (s *State) endSession(session *sessionRecord) {
	delete(s.sessionByID, session.ID)
	s.sessions = slices.DeleteFunc(s.sessions, func(other *sessionRecord) bool { return other == session })
	for _, name := range session.Leases {
		if lease := s.leases[name]; lease != nil {
			s.removeFromLease(session, lease)
		}
	}
	s.removeFromPools(session)
}

// scheduleExpiry notes that something expires at the council time at (seconds): it lowers nextExpiry to that time if it is
// later, so that expire is run in time.
func (s *State) scheduleExpiry(at float64) { s.nextExpiry = min(s.nextExpiry, at) }

// expire removes what has expired by the council's time: first sessions in the order in which they were opened, then waits
// for leases in the order of the leases' names, then amounts of stocks kept for ended sessions.
func (s *State) expire() {
	s.nextExpiry = math.Inf(1)
	if s.now < s.grantsFrom {
		s.scheduleExpiry(s.grantsFrom)
	}
	for i := 0; i < len(s.sessions); {
		if session := s.sessions[i]; s.now >= session.ExpiresAt {
			s.endSession(session)
		} else {
			s.scheduleExpiry(session.ExpiresAt)
			i++
		}
	}
	for _, name := range s.leaseNames() {
		lease := s.leases[name]
		lease.Waiters = slices.DeleteFunc(lease.Waiters, func(w waiter) bool {
			if s.now < w.ExpiresAt {
				s.scheduleExpiry(w.ExpiresAt)
				return false
			}
			session := s.sessionByID[w.Session]
			session.Leases = slices.DeleteFunc(session.Leases, func(other string) bool { return other == name })
			return true
		})
		s.grantToWaiters(lease)
	}
	s.expireShares()
}

// leaseNames returns the names of all leases that are held or waited for, sorted.
func (s *State) leaseNames() []string {
	names := make([]string, 0, len(s.leases))
	for name := range s.leases {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
