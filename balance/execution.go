package balance

// This file decides, by what may have run at the nodes, whether running it again does no harm: for further attempts,
// for the rejection of searches, and for requests that are delivered again.

// Effect says whether a part may run twice without harm. Higher values are stricter.
type Effect uint8

const (
	// Idempotent means that running a part twice does no harm.
	Idempotent Effect = iota
	// IdempotencyKeyed means that attempts bear an idempotency key, by which nodes recognise a repeat within the
	// class's repeat window.
	IdempotencyKeyed
	// NonIdempotent means that a part that may have run must not run again.
	NonIdempotent
)

// Execution is what is known of whether a part, or a search by all of its parts, has run at a node. The zero value says
// that it has certainly not run. It only changes one way: once it says "may have run" it keeps saying so, whatever
// later attempts bring. Effect.mayRepeat and Effect.mayPromiseSafeRetry decide by it.
type Execution struct {
	// mayHaveRun says that at least one attempt may have run at its node.
	mayHaveRun bool
	// firstSentAt is the time in seconds when the earliest attempt that may have run was sent; 0 if there is none.
	firstSentAt float64
}

// MayHaveRun says whether the part or search may have run at a node.
func (e Execution) MayHaveRun() bool { return e.mayHaveRun }

// FirstSentAt returns the time when the earliest attempt that may have run was sent, in seconds of the broker's clock;
// 0 if there is none.
func (e Execution) FirstSentAt() float64 { return e.firstSentAt }

// recordAttempt records that an attempt, sent at the time sentAt in seconds, may have run.
func (e *Execution) recordAttempt(sentAt float64) {
	if !e.mayHaveRun || sentAt < e.firstSentAt {
		e.mayHaveRun = true
		e.firstSentAt = sentAt
	}
}

// merge adds to this Execution what is known of another part of the same search, or of an earlier search under the same
// id. Afterwards it says "may have run" if either did, with the earlier of their times.
func (e *Execution) merge(other Execution) {
	if other.mayHaveRun {
		e.recordAttempt(other.firstSentAt)
	}
}

// mayRepeat says whether a part or search whose class has this effect may be sent again at the time at without the harm
// of running twice. execution is what is known of its earlier attempts, repeatWindow that of its class; both times are
// in seconds. It is called before each further attempt.
func (e Effect) mayRepeat(execution Execution, repeatWindow, at float64) bool {
	return !execution.MayHaveRun() || e == Idempotent ||
		e == IdempotencyKeyed && at < execution.FirstSentAt()+repeatWindow
}

// mayPromiseSafeRetry says whether the broker may assure a client that repeating its search does no harm. The effect is
// that of the search's class, execution what is known of the search's attempts so far.
func (e Effect) mayPromiseSafeRetry(execution Execution) bool {
	return !execution.MayHaveRun() || e != NonIdempotent
}

// executionSoFar returns what is known of whether a part has run at a node. An attempt in flight counts as one that may
// have run.
func (p *searchPart) executionSoFar() Execution {
	execution := p.execution
	if p.state == partInFlight {
		execution.recordAttempt(p.sentAt)
	}
	return execution
}

// Execution returns what is known of whether a search, by any of its parts, has run at a node; by it the broker decides
// whether repeating the search could do harm. Attempts in flight count as ones that may have run.
func (s *Search) Execution() (execution Execution) {
	for _, part := range s.parts {
		execution.merge(part.executionSoFar())
	}
	return execution
}

// PastSearch is what the caller remembers of a search that has ended, in case its request is delivered again under the
// same id.
type PastSearch struct {
	// Execution says whether the search, or an earlier one under the same id, may have run at a node, and when the
	// first attempt that may have run was sent.
	Execution
	// Effect is the effect of the search's class.
	Effect Effect
	// RepeatWindow is the time in seconds after the first send within which nodes recognise a repeat by its idempotency
	// key (SearchClass.RepeatWindow of the search's class). It only counts where Effect is IdempotencyKeyed.
	RepeatWindow float64
}

// PastSearch returns what the caller has to remember of a search, in case its request is delivered again. ok is false
// if nothing has to be remembered, because running the search again does no harm or none of its parts may have run.
// before is what is known of earlier searches under the same id; it is merged into the result.
func (s *Search) PastSearch(before Execution) (past PastSearch, ok bool) {
	if s.class.effect == Idempotent {
		// What is remembered of other searches under the same id stays as it is.
		return past, false
	}
	past = PastSearch{s.Execution(), s.class.effect, s.class.repeatWindow}
	past.merge(before)
	return past, past.MayHaveRun()
}

// RedeliveryDeadline says whether a search may run whose request was delivered before under the same id, and until
// when. past is what is remembered of the earlier search. ok is false if running it again could do harm; until is a
// time in seconds of the broker's clock.
func (b *Broker) RedeliveryDeadline(classIndex int, past PastSearch) (until float64, ok bool) {
	return b.classes[classIndex].redeliveryDeadline(past, b.now)
}

// RedeliveryDeadline is Broker.RedeliveryDeadline for a search that is in progress already. Its class may have another
// index, or none, in the settings now in force.
func (s *Search) RedeliveryDeadline(past PastSearch) (until float64, ok bool) {
	return s.class.redeliveryDeadline(past, s.broker.now)
}

// redeliveryDeadline says whether a search of this class may run, at the time now in seconds, whose request was
// delivered before, and until when: the end of the repeat window, counted from the earlier search's first attempt that
// may have run. Of the class's effect and that of the earlier search the stricter one applies. The receiver is a copy,
// so that the class itself stays as it is.
func (c classState) redeliveryDeadline(past PastSearch, now float64) (until float64, ok bool) {
	c.restrict(past.Effect, past.RepeatWindow)
	return past.FirstSentAt() + c.repeatWindow, c.effect.mayRepeat(past.Execution, c.repeatWindow, now)
}
