package routing

import "brackenfront/balance"

// outcomeCount is the number of values of balance.Outcome, the ways in which an attempt can end.
const outcomeCount = int(balance.NotSent) + 1

// Counts are totals since the start, except where a field is called current. Accepted is the sum of Succeeded, Rejected,
// Failed, ClientsLeft and InFlight, and of the accepted searches that were refused later because new settings forbade their
// repeat (these are among RefusedRedeliveries). AttemptsSent is the sum of Outcomes and AttemptsInFlight.
type Counts struct {
	// Accepted counts the searches that the router handed to the broker, as opposed to those refused at once.
	Accepted int
	// Succeeded counts the searches that were answered from the values of their parts.
	Succeeded int
	// Partial counts the searches among Succeeded whose answer was not complete: some parts had no value.
	Partial int
	// Rejected counts the accepted searches that load shedding rejected; repeating one of them does no harm.
	Rejected int
	// Failed counts the accepted searches that ended without an answer and may have run in part.
	Failed int
	// ClientsLeft counts the accepted searches whose clients left before the final answer.
	ClientsLeft int
	// InFlight is the current number of accepted searches that have no final answer yet.
	InFlight int
	// Overloaded counts the searches rejected before any of their parts was sent, because too many searches and parts were in
	// flight or because the settings in force lack the search's class, dealer or one of its shards.
	Overloaded int
	// Duplicates counts the searches rejected because a search with the same id was in flight.
	Duplicates int
	// SecondSteps counts the searches that began their second step.
	SecondSteps int

	// AttemptsSent counts the attempts that the broker decided on, including those that are dropped before they are written
	// to a connection.
	AttemptsSent int
	// AttemptsInFlight is the current number of attempts that have not ended.
	AttemptsInFlight int
	// LateResults counts the results of attempts that arrived after the attempt had been given up and had ended for the
	// broker.
	LateResults int
	// Outcomes counts the attempts that have ended, indexed by their balance.Outcome.
	Outcomes [outcomeCount]int

	// Turns counts the turns of the router's goroutine, the passes of its event loop.
	Turns int
	// Calls counts the calls of NodeBackend.Send; one may carry several attempts to the same node.
	Calls int
	// Probes counts the health probes that the broker asked for.
	Probes int
	// ListUpdates counts the updates of the list of nodes that were applied.
	ListUpdates int
	// SettingsUpdates counts how often ApplySettings has put other settings in force.
	SettingsUpdates int
	// OutdatedUpdates counts the updates that were ignored because they belong to a former list of nodes, which a change of
	// the layout has replaced.
	OutdatedUpdates int
	// UnreachableFlightNodes counts the entries, in updates of the list, of nodes that are called by Flight while the router has
	// no backend for Flight.
	UnreachableFlightNodes int
	// MismatchedValues counts the values from nodes that were discarded because they could not be combined with earlier
	// values of their search: text with tables, or tables of different schemas.
	MismatchedValues int
	// RefusedRedeliveries counts the requests that were refused because an earlier delivery of them may have run on nodes
	// and must not run again.
	RefusedRedeliveries int
	// RefusedUnrecordable counts the searches that were refused before any part was sent because their class is not idempotent
	// and the memory for records of past searches (Router.pastSearches) had no room for one more.
	RefusedUnrecordable int
	// RecordedSearches is the current number of records of past searches in Router.pastSearches, stored or reserved. A record is
	// stored for a search that has ended, whose parts may have run on nodes, and that would do harm if its request were
	// delivered a second time and ran again. One is reserved for each search in flight that may need it.
	RecordedSearches int
}

// Counts returns the current counts, or the last ones after the router has stopped. It may be called from any goroutine but
// the router's.
func (r *Router) Counts() (counts Counts) {
	done := make(chan struct{})
	if r.post(func() {
		counts = r.counts
		counts.RecordedSearches = r.pastSearches.Occupied()
		close(done)
	}) {
		select {
		case <-done:
			return counts
		case <-r.ended:
		}
	} else {
		<-r.ended
	}
	return r.counts
}
