package lease

// Session is a process's side of its leases: what it asks for, what it holds, and until when. It has one unanswered call at
// a time, sends it again until it is answered, and renews everything that it holds by any call. Once the hold deadline has
// passed, the session holds nothing, even if the council still has it as the holder: it releases what it held.
//
// A caller that is connected to the council asks NextCall what to send, and passes what comes back to HandleAnswer and
// HandleGrant. It calls NextCall again after each of these, and at the time that NextDue returns. A Session is not safe for
// concurrent use. Times are seconds of the process's own clock.
type Session struct {
	// id is the session's ID, under which the council knows it.
	id ID

	// owner is the name of the broker that the process belongs to; "" for an operator's session.
	owner string

	// addr is the address at which the process listens for other brokers; "" for none.
	addr string

	// newID returns a new random ID for the next session, after this one is lost.
	newID func() ID

	// config is the council's configuration; the zero Config before the council has answered.
	config Config

	// callNumber is the number of the last call that was made, pending or answered, from 1; 0 before the first.
	callNumber uint64

	// incarnation is the number that the council gave the session when it opened; 0 before the council has answered.
	incarnation uint64

	// pending is the one call that was made and is not answered yet; nil for none.
	pending *Call

	// sendings are the transmissions of pending so far, oldest first; at most maxSendings.
	sendings []sending

	// attempt is the number of the last transmission of any call, counted from 1 and on through sessions that were lost.
	attempt uint64

	// resendAt is the time, in seconds of the process's clock, at which the pending call is sent again.
	resendAt float64

	// renewAt is the time, in seconds of the process's clock, at which the session makes a call that only renews it, unless it
	// makes another call, which renews it too, before.
	renewAt float64

	// queuedOps are the operations that wait to be sent with the next calls, in order.
	queuedOps []Op

	// deadline is the hold deadline of the session; each answer to a transmission in sendings may move it on.
	deadline HoldDeadline

	// seenToken is the highest token that the council had given out by its last answer. A grant that comes later without a
	// higher token is old. The next call states it as Call.SeenToken.
	seenToken uint64

	// usage is, for each budget, the latest report of its use that the process has set in this session, sent or not, by the
	// budget's name.
	usage map[string]Usage

	// unsentUsage is the set of names of the budgets whose reports are sent with the next call.
	unsentUsage map[string]bool

	// shares are the shares of budgets that the session last received from the council, by the budget's name. It is empty in a
	// new session.
	shares map[string]Share

	// newShares are the received shares that TakeShares has not returned yet.
	newShares []Share

	// requests has an entry, by the lease's name, for each lease that the process has asked for, until the request is
	// refused or the lease is lost or its release confirmed.
	requests map[string]*request

	// events are the events that TakeEvents has not returned yet.
	events []Event

	// ending is whether End was called, after which the session asks for nothing more.
	ending bool

	// ended is whether, after a call of End, the council has confirmed the end of the session, or the council never knew it.
	ended bool

	// keepOpen is whether the session is opened, and renewed, even if no lease has been asked for.
	keepOpen bool

	// callSoon is whether the session makes its next call at once, instead of when its next renewal is due (renewAt). Once that
	// call is made it is false again, unless the call only opens the session.
	callSoon bool

	// clockComparison compares the process's clock with the council's, for this session alone.
	clockComparison ClockComparison
}

// request is the state of one lease that the process has asked for: not answered yet, waited for, held or being released.
type request struct {
	// op is the operation by which the lease was asked for.
	op Op

	// status is the council's last answer to the request: Waiting or Granted, or 0 if there is none yet.
	status Status

	// token is the token of the grant, if the status is Granted.
	token uint64

	// place is the number of the place of the lease that is held, from 0, if the status is Granted.
	place int

	// releasing is whether a release has been asked for. A late grant of the request is then ignored.
	releasing bool

	// reacquire is, while the lease is being released, the operation with which the process has asked for it again, which is
	// sent after the release; nil for none.
	reacquire *Op
}

// Event is a change of a lease that was asked for, or the outcome of a write.
type Event struct {
	// Name is the name of the lease that the event is about. For the outcome of DefineBudget it is BudgetsLease, the lease
	// whose holder defines budgets, not the name of the budget.
	Name string

	// Status is the outcome of Acquire (Granted, Waiting, Taken, LimitReached, PlacesDiffer or Invalid), Released after a
	// release, or Unknown for a lease that was held and is lost. For an event with Note it is the outcome of the write.
	Status Status

	// Token is the token of a granted lease, or the one under which a note was written; else 0.
	Token uint64

	// Place is the place of a granted lease, from 0.
	Place int

	// Note is true for the outcome of a call of WriteNote or DefineBudget; Status then says whether it took effect: Written, or
	// NotHeld, PlacesDiffer, LimitReached or Invalid. It is false for a change of a lease that was asked for with Acquire.
	Note bool
}

const (
	// maxSendings is how many transmissions of one call are remembered. An answer to an older one does not move the hold
	// deadline.
	maxSendings = 64

	// renewalsPerTimeout is how many calls that renew the session are sent within one Config.HoldTimeout.
	renewalsPerTimeout = 3.0

	// sendingsPerTimeout is how many times a call that is not answered is sent within one Config.HoldTimeout.
	sendingsPerTimeout = 12.0

	// defaultInterval is the time in seconds between two transmissions of a call, and between two reports of the use of
	// budgets, before the council's configuration is known. After the answer that the council has no room for another
	// session it is the time until the call that opens the session is sent again.
	defaultInterval = 1.0
)

// NewSession returns the session of a process. owner is the name of the broker, "" for an operator's; addr is where the process
// listens for the fleet, "" if it does not. newID returns random IDs, never the same twice.
func NewSession(owner, addr string, newID func() ID) *Session {
	return &Session{
		id:          newID(),
		owner:       owner,
		addr:        addr,
		newID:       newID,
		requests:    map[string]*request{},
		usage:       map[string]Usage{},
		unsentUsage: map[string]bool{},
		shares:      map[string]Share{},
	}
}

// KeepOpen makes the session open, and renew itself, even while no lease is asked for, so that the council lists this process
// among the brokers.
func (s *Session) KeepOpen() { s.keepOpen = true }

// ID returns the ID of the session. It changes when the council has ended the session and a new one is opened.
func (s *Session) ID() ID { return s.id }

// ValidUntil returns the hold deadline: the time, in seconds of the process's own clock, until which it may operate under
// its leases; 0 if there is none.
func (s *Session) ValidUntil() float64 { return s.deadline.at }

// Acquire asks for a place of the lease with this name, and waits for it for at most wait seconds; places is how many sessions
// may hold the lease at the same time. It returns false if the lease is asked for or held already, the arguments are out of
// bounds (Op.valid), or the session is ending. The outcome comes as an Event.
func (s *Session) Acquire(name string, places int, wait float64) bool {
	op := Op{Kind: Acquire, Name: name, Places: places, Wait: wait}
	lease := s.requests[name]
	if !op.valid() || s.ending || lease != nil && (!lease.releasing || lease.reacquire != nil) {
		return false
	}
	if lease != nil {
		lease.reacquire = &op
		return true
	}
	s.requests[name] = &request{op: op}
	s.queuedOps = append(s.queuedOps, op)
	return true
}

// Release gives up the lease with this name, whether it is held, waited for or just asked for. The caller must have stopped
// operating under it.
func (s *Session) Release(name string) {
	if lease := s.requests[name]; lease != nil {
		s.startRelease(lease)
		lease.reacquire = nil
	}
}

// WriteNote writes the note of the lease with this name. It returns false if the lease is not held, the session is ending or
// the note has more than MaxNoteBytes. The outcome is an Event with the status Written, NotHeld, PlacesDiffer or
// LimitReached, or the loss of the lease, after which the note may or may not have been written.
func (s *Session) WriteNote(name string, note []byte) bool {
	lease := s.requests[name]
	if lease == nil || lease.status != Granted || lease.releasing || s.ending || len(note) > MaxNoteBytes {
		return false
	}
	s.queuedOps = append(s.queuedOps, Op{Kind: WriteNote, Name: name, Note: note})
	return true
}

// startRelease marks a requested or held lease as being released and queues the operation Release, which the session's next
// call sends to the council. It does nothing if the lease is being released already.
func (s *Session) startRelease(lease *request) {
	if !lease.releasing {
		lease.releasing = true
		s.queuedOps = append(s.queuedOps, Op{Kind: Release, Name: lease.op.Name})
	}
}

// Holds returns whether the process may operate under the lease with this name at the time now. If so, it also returns the
// token and the place (from 0) of the grant; the process may operate until the time that ValidUntil returns.
func (s *Session) Holds(now float64, name string) (token uint64, place int, held bool) {
	lease := s.requests[name]
	if lease == nil || lease.status != Granted || lease.releasing || now >= s.deadline.at {
		return 0, 0, false
	}
	return lease.token, lease.place, true
}

// holdsAny reports whether the session was granted any lease that it has not given up, even if its hold deadline has passed.
func (s *Session) holdsAny() bool {
	for _, lease := range s.requests {
		if lease.status == Granted && !lease.releasing {
			return true
		}
	}
	return false
}

// TakeEvents returns the events (changes of leases and outcomes of writes) since it was last called, in their order. Later
// events overwrite the returned slice.
func (s *Session) TakeEvents() []Event {
	events := s.events
	s.events = s.events[:0]
	return events
}

// ClockComparison returns the comparison of the rate of this process's clock with that of the council's, for reporting a clock
// that drifts too much.
func (s *Session) ClockComparison() *ClockComparison { return &s.clockComparison }

// Expire gives up all leases that are held if the hold deadline has passed at the time now. It is for a caller that is not
// connected to the council and therefore does not call NextCall.
func (s *Session) Expire(now float64) { s.giveUpExpired(now) }
