package nodes

import (
	"time"

	"brackenfront/internal/transport/parts"
)

const (
	// maxAnsweredIDs is how many answered ids a connection remembers at most.
	maxAnsweredIDs = 256
	// minIDsToSweep is the number of remembered ids below which none are removed. Above it, a connection never remembers more than
	// twice as many ids as had clients that still waited when expired ids were last removed.
	minIDsToSweep = 16
)

// answeredIDs remembers the ids of parts that a node has answered on one connection and that may be sent again, as they did not
// succeed or were cancelled. A reply names its part by the id alone: if a node answers a part twice, the second reply would be
// taken for the reply to a later attempt on the same connection, which would count as ended while it may still run. The zero
// answeredIDs remembers none.
type answeredIDs struct {
	// deadlines has, by the id of each remembered part, the deadline of the search's client, after which the part is not sent
	// again.
	deadlines map[string]time.Time
	// sweepAt is the number of remembered ids at which add first removes those whose clients' deadlines have passed.
	sweepAt int
	// forgottenUntil is the latest deadline of an id for which there was no room; zero if there was room for all.
	forgottenUntil time.Time
}

// add remembers the id of a part that the node has answered, at least until deadline, that of the search's client, after which
// the part is not sent again. If maxAnsweredIDs are remembered already, the id is not stored, and forgottenUntil becomes deadline
// if that is later.
func (a *answeredIDs) add(id string, deadline time.Time) {
	if a.deadlines == nil {
		a.deadlines = map[string]time.Time{}
	}
	if len(a.deadlines) >= max(a.sweepAt, minIDsToSweep) {
		a.sweep(time.Now())
		a.sweepAt = min(2*len(a.deadlines), maxAnsweredIDs)
	}
	if len(a.deadlines) < maxAnsweredIDs {
		a.deadlines[id] = deadline
	} else if deadline.After(a.forgottenUntil) {
		a.forgottenUntil = deadline
	}
}

// sweep removes the ids whose clients' deadlines have passed at the time now.
func (a *answeredIDs) sweep(now time.Time) {
	for id, deadline := range a.deadlines {
		if !now.Before(deadline) {
			delete(a.deadlines, id)
		}
	}
}

// containsAny reports whether the part of any attempt of a new call may have been answered before on this connection, so that the
// call must not be written on it; see mayContain.
func (a *answeredIDs) containsAny(newCall *call) bool {
	for i := range newCall.attempts {
		if a.mayContain(&newCall.attempts[i]) {
			return true
		}
	}
	return false
}

// mayContain reports whether the part of a new attempt may have been answered before on this connection: its id is remembered or,
// until forgottenUntil, it is not the part's first attempt, so that its id may be one for which there was no room.
func (a *answeredIDs) mayContain(attempt *connAttempt) bool {
	if _, found := a.deadlines[attempt.ID]; found {
		return true
	}
	return attempt.Number > parts.FirstAttempt && time.Now().Before(a.forgottenUntil)
}
