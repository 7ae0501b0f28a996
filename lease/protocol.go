package lease

import "brackenfront/budget"

// OpKind is what an operation of a session asks the council for.
type OpKind uint8

const (
	// Acquire asks to hold a lease, at once or after waiting for it.
	Acquire OpKind = iota + 1

	// Release gives up a lease that is held, or stops waiting for it.
	Release

	// WriteNote writes the note of a lease that the session holds: bytes that the council stores with the lease for others to
	// read.
	WriteNote

	// DefineBudget sets the definition of a budget, or removes the budget. Only the session that holds the lease named
	// BudgetsLease may do so.
	DefineBudget
)

// Op is one operation that a session asks for in a call to the council: on a lease, its note or a budget.
type Op struct {
	// Kind is what the operation asks for: Acquire, Release, WriteNote or DefineBudget.
	Kind OpKind `cbor:"1,keyasint"`

	// Name is the name of the lease, or of the budget for DefineBudget.
	Name string `cbor:"2,keyasint"`

	// Places is, for Acquire, how many sessions may hold the lease at the same time; 1 for an exclusive lease.
	Places int `cbor:"3,keyasint,omitempty"`

	// Wait is, for Acquire, for how many seconds the session waits for the lease if it cannot be granted at once, at most
	// Config.MaxWait; 0 for not at all.
	Wait float64 `cbor:"4,keyasint,omitempty"`

	// Note is, for WriteNote, the bytes to store with the lease; an empty one removes the note.
	Note []byte `cbor:"5,keyasint,omitempty"`

	// Budget is, for DefineBudget, the definition of the budget; nil removes the budget.
	Budget *budget.Spec `cbor:"6,keyasint,omitempty"`
}

// valid reports whether the operation's kind is known, its name is not empty or too long (maxNameBytes), and the fields that
// its kind uses are valid: Places from 1 to maxPlaces and Wait not negative, a Note of at most MaxNoteBytes, or a valid
// Budget.
func (o Op) valid() bool {
	if len(o.Name) == 0 || len(o.Name) > maxNameBytes {
		return false
	}
	switch o.Kind {
	case Acquire:
		return o.Places >= 1 && o.Places <= maxPlaces && o.Wait >= 0
	case Release:
		return true
	case WriteNote:
		return len(o.Note) <= MaxNoteBytes
	case DefineBudget:
		return o.Budget == nil || o.Budget.Validate() == nil
	}
	return false
}

// Call is one call of a session to the council. Every call renews the session.
//
// A session has one unanswered call at a time, so a call that is sent again, or arrives twice, takes effect once: the
// council recognises it by its number. The first call only opens the session, and its answer carries the session's
// incarnation. A first call that arrives again after its session has ended thus opens a session with the same ID and another
// incarnation, which nobody continues and which holds nothing.
type Call struct {
	// Session is the ID of the session that makes the call.
	Session ID `cbor:"1,keyasint"`

	// Number is the number of the call within its session, from 1; call 1 opens the session.
	Number uint64 `cbor:"2,keyasint"`

	// Owner is the name of the broker; "" for an operator's session. It is sent when the session opens.
	Owner string `cbor:"3,keyasint,omitempty"`

	// SeenToken is the highest token up to which the session has received all its grants; the council does not repeat those
	// in its answers.
	SeenToken uint64 `cbor:"4,keyasint,omitempty"`

	// Attempt is the number of this transmission, counted over all calls of the process. The answer repeats it, so that the
	// sender knows which transmission it answers.
	Attempt uint64 `cbor:"5,keyasint,omitempty"`

	// End says that the call ends the session and gives up everything that it holds.
	End bool `cbor:"6,keyasint,omitempty"`

	// Ops are the operations, in the order in which they are applied.
	Ops []Op `cbor:"7,keyasint,omitempty"`

	// Addr is the address at which the process listens for other brokers. It is sent when the session opens.
	Addr string `cbor:"8,keyasint,omitempty"`

	// Usage reports the process's use of budgets, one entry for each budget, at most maxUsagePerCall.
	Usage []Usage `cbor:"9,keyasint,omitempty"`

	// Incarnation is the number that the council gave the session when it opened (Answer.Incarnation); 0 in the first call.
	Incarnation uint64 `cbor:"10,keyasint,omitempty"`
}

// Status is the outcome of an operation or a call.
type Status uint8

const (
	// Invalid means that the operation or the call is malformed, or larger than a constant of this package allows, such as
	// MaxOps or MaxNoteBytes.
	Invalid Status = iota + 1

	// Granted means that the session holds the lease, by this operation or already before.
	Granted

	// Waiting means that the session waits for the lease, because it cannot be granted now: in general because all of its
	// places are held.
	Waiting

	// Taken means that the lease cannot be granted now, in general because all of its places are held, and that the session
	// did not ask to wait.
	Taken

	// LimitReached means that the council has as many sessions, leases, waiting sessions, notes or budgets as Config or a
	// constant of this package allows, and takes in no further one.
	LimitReached

	// PlacesDiffer means that the lease has another number of places than the operation states, or that it has several and
	// therefore no note.
	PlacesDiffer

	// Released means that the session does not hold the lease any more, or did not hold it.
	Released

	// Done is the outcome of a call whose operations were applied, each with a result of its own.
	Done

	// Unknown is the outcome of a call of a session that the council does not know, or no longer knows, or knows under another
	// incarnation or without its previous call. The process then opens a new session.
	Unknown

	// Stale is the outcome of a call that arrives after a later call of the same session has taken effect; it changes nothing.
	Stale

	// Written means that the operation took effect: the note of a lease was written or removed, or a budget was defined or
	// removed.
	Written

	// NotHeld means that nothing was written, as the session does not hold the lease.
	NotHeld
)

// statusNames are the names of the outcomes of operations and calls as they are shown to operators, by the value of the Status.
var statusNames = [...]string{"", "bad", "granted", "waiting", "taken", "full", "differs", "freed", "done", "unknown", "stale",
	"written", "not held"}

// String returns the name of the status as it is shown to operators; "" for the zero Status.
func (s Status) String() string { return statusNames[s] }

// Result is the outcome of one operation (Op) of a call, as the council's answer states it.
type Result struct {
	// Status is the kind of outcome, such as Granted or Taken.
	Status Status `cbor:"1,keyasint"`

	// Token is the token of the grant by which the session holds the lease; 0 if it does not hold it.
	Token uint64 `cbor:"2,keyasint,omitempty"`

	// Place is the number of the place of the lease that the session holds, from 0.
	Place int `cbor:"3,keyasint,omitempty"`
}

// Answer is the council's answer to one transmission of a call of a session.
type Answer struct {
	// Session is the ID of the session that made the call.
	Session ID `cbor:"1,keyasint"`

	// Number is the Call.Number of the call that is answered.
	Number uint64 `cbor:"2,keyasint"`

	// Attempt is the Call.Attempt of the transmission that is answered.
	Attempt uint64 `cbor:"3,keyasint,omitempty"`

	// Status is the outcome of the call as a whole: Done if its operations were applied, else Invalid, LimitReached, Unknown or
	// Stale.
	Status Status `cbor:"4,keyasint"`

	// LastToken is the highest token that has been given out so far. Later grants have higher ones. The session's next call
	// states it as Call.SeenToken.
	LastToken uint64 `cbor:"5,keyasint,omitempty"`

	// Now is the council's time, in seconds since its founding, at which the call was applied.
	Now float64 `cbor:"6,keyasint"`

	// Config is the council's configuration. It is set in the answer to a session's first call, and nil in others.
	Config *Config `cbor:"7,keyasint,omitempty"`

	// Results are the outcomes of the operations, in the order of Call.Ops.
	Results []Result `cbor:"8,keyasint,omitempty"`

	// Grants are leases that were granted after waiting and that the session has not yet said to have received.
	Grants []Grant `cbor:"9,keyasint,omitempty"`

	// Incarnation is the number that the council gave the session when it opened. No other session ever has the same.
	Incarnation uint64 `cbor:"11,keyasint,omitempty"`

	// Shares are shares of budgets that the session has not yet acknowledged, at most maxSharesPerAnswer.
	Shares []Share `cbor:"10,keyasint,omitempty"`
}

// Grant says that the council has given a session one place of one lease.
type Grant struct {
	// Name is the name of the lease.
	Name string `cbor:"1,keyasint"`

	// Session is the ID of the session that the place is given to.
	Session ID `cbor:"2,keyasint"`

	// Token is the number of the grant. It is higher than that of all earlier grants of all leases, so that a target can refuse
	// operations of a former holder.
	Token uint64 `cbor:"3,keyasint"`

	// Place is the number of the place of the lease that was given, from 0.
	Place int `cbor:"4,keyasint"`
}

// Usage is what a process reports of one budget: what it used and was refused since its last report.
type Usage struct {
	// Name is the name of the budget.
	Name string `cbor:"1,keyasint"`

	// Used is what the process used of the budget since its last report, in thousandths: for a rate the units per second,
	// smoothed over several reports (budget.Allowance.TakeDemand), for a stock the largest number of units held at once.
	Used budget.Amount `cbor:"2,keyasint,omitempty"`

	// Refused is what the process had to refuse since its last report because the budget did not allow it, in thousandths of a
	// unit, or for a rate of a unit per second, smoothed like Used.
	Refused budget.Amount `cbor:"3,keyasint,omitempty"`

	// Available is what the process was allowed to use when it made the report, in thousandths like Used: its floor and its
	// share.
	Available budget.Amount `cbor:"5,keyasint,omitempty"`

	// AckedShare is the Share.Number of the last share that the process acknowledges: it uses no more than that share any
	// more. It is 0 for none.
	AckedShare uint64 `cbor:"4,keyasint,omitempty"`
}

// Share says what a process may use of one budget beyond its floor. Of two shares of the same budget the one with the higher
// number is valid.
type Share struct {
	// Name is the name of the budget.
	Name string `cbor:"1,keyasint"`

	// Amount is what the process may use beyond the floor, in thousandths of a unit, or for a rate of a unit per second.
	Amount budget.Amount `cbor:"2,keyasint"`

	// Number orders the shares that the council gives: later ones have higher numbers.
	Number uint64 `cbor:"3,keyasint"`

	// Spec is the definition of the budget.
	Spec budget.Spec `cbor:"4,keyasint"`
}
