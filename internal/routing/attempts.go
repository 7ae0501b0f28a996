package routing

import (
	"brackenfront/balance"
	"brackenfront/internal/protocol"
)

// handleResult processes the result of an attempt, which is identified by the index of its part in the search and by its
// number. A result that arrives after its attempt has ended for the broker is only counted. A value that cannot be combined
// with those of the search's other parts (fitsStep) counts as a failure of the attempt.
func (r *Router) handleResult(search *activeSearch, partIndex, number int, result protocol.AttemptResult) {
	part := search.parts[partIndex]
	if part.attempt == nil || part.attempt.Number != number {
		// The attempt was given up while its result was on the way.
		r.counts.LateResults++
		result.Table.Free()
		return
	}
	if result.Outcome == balance.OK && !search.ended && partIndex >= search.stepBegin && !search.fitsStep(result) {
		r.counts.MismatchedValues++
		result.Outcome = balance.Failed
	}
	part.hasValue = result.Outcome == balance.OK && !search.ended
	if part.hasValue {
		part.result = result
	} else {
		result.Table.Free()
	}
	r.finishAttempt(part, result.Outcome)
}

// finishAttempt ends the newest attempt of a part: it removes it from those in flight, counts its outcome and reports that to the
// broker, which may then decide on a further attempt.
func (r *Router) finishAttempt(part *activePart, outcome balance.Outcome) {
	last := r.partsInFlight[len(r.partsInFlight)-1]
	r.partsInFlight[part.inFlightIndex] = last
	last.inFlightIndex = part.inFlightIndex
	r.partsInFlight = r.partsInFlight[:len(r.partsInFlight)-1]
	part.attempt = nil
	r.counts.AttemptsInFlight--
	r.counts.Outcomes[outcome]++
	part.search.attemptsInFlight--
	if part.search.ended {
		r.releaseID(part.search)
	}
	part.search.brokerSearch.AttemptEnded(part.index, outcome, r.now-part.decidedAtSeconds)
}

// expireAttempts gives up the attempts in flight whose deadline has passed; those that have ended thereby are reported to
// the broker as timed out.
func (r *Router) expireAttempts() {
	for i := len(r.partsInFlight) - 1; i >= 0; i-- {
		// Ending an attempt may shorten the list by more than one.
		if i < len(r.partsInFlight) && !r.partsInFlight[i].givenUp && !r.turnTime.Before(r.partsInFlight[i].attempt.Deadline) {
			part := r.partsInFlight[i]
			part.givenUp = true
			if part.backend.Cancel(part.attempt, balance.TimedOut) {
				r.finishAttempt(part, balance.TimedOut)
			}
		}
	}
}
