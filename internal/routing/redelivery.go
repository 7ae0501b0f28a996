package routing

import (
	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/replay"
)

// mayRun reports whether a search may run: its id is new, or its former delivery is recorded and running it again does no
// harm, at least until search.repeatDeadline, which mayRun sets. Otherwise it rejects the search. served says whether the
// settings in force have the search's class, dealer and shards. This guards against requests that are delivered twice, by a
// client whose connection ended or by an intermediary.
func (r *Router) mayRun(search *activeSearch, served bool) bool {
	request := search.request
	if r.searchesByID[request.ID] != nil {
		r.counts.Duplicates++
		search.reject(protocol.StatusDuplicate)
		return false
	}
	past, known := r.pastSearches.Lookup(r.now, request.ID)
	if !known {
		return true
	}
	deadline := 0.0
	harmless := false
	if served {
		deadline, harmless = r.broker.RedeliveryDeadline(request.Class, past)
	}
	if !harmless {
		r.counts.RefusedRedeliveries++
		search.reject(protocol.StatusDuplicate)
		return false
	}
	search.pastSearch = past
	search.repeatDeadline = deadline
	return true
}

// applyRepeatDeadline makes a search that was delivered before end at its repeatDeadline (the time until which its parts may run
// a second time) at the latest, at the broker and in the router.
func (r *Router) applyRepeatDeadline(search *activeSearch) {
	search.brokerSearch.LimitDeadline(search.repeatDeadline)
	if end := r.toTime(search.repeatDeadline); end.Before(search.deadline) {
		// No attempt is written after the deadline.
		search.deadline = end
	}
}

// reviewRedeliveries applies new settings to the searches in flight whose requests were delivered before. It ends those that
// may not run again under the new settings, as a duplicate, and gives the others the repeat deadline that follows from them.
// The decision depends on the record of the former delivery, as the search's own attempts need not include what ran then.
func (r *Router) reviewRedeliveries() {
	for _, search := range r.searchesByID {
		if search.ended || !search.pastSearch.MayHaveRun() {
			continue
		}
		deadline, harmless := search.brokerSearch.RedeliveryDeadline(search.pastSearch)
		if harmless {
			search.repeatDeadline = deadline
			r.applyRepeatDeadline(search)
			continue
		}
		r.counts.RefusedRedeliveries++
		r.setFinalAnswer(search, protocol.FinalAnswer{Status: protocol.StatusDuplicate})
		search.brokerSearch.ClientLeft()
	}
}

// reserveRecord reserves room in pastSearches for a record that the search may have run, which will be needed if its request
// is delivered again. Searches of idempotent classes need none. If there is no room, it rejects the search before any of it
// runs and returns false; existing records are not discarded for it. Otherwise it returns true.
func (r *Router) reserveRecord(search *activeSearch) bool {
	if r.deployment.Settings.Classes[search.request.Class].Effect == balance.Idempotent {
		return true
	}
	search.recordReserved = r.pastSearches.Reserve(r.now)
	if !search.recordReserved {
		r.counts.RefusedUnrecordable++
		search.reject(protocol.StatusOverloaded)
	}
	return search.recordReserved
}

// recordPastSearch is called when a search ends. It releases the search's reservation and, if running the search again would
// do harm, stores what may have run of it under its id.
func (r *Router) recordPastSearch(search *activeSearch) {
	if search.recordReserved {
		r.pastSearches.ReleaseReservation()
	}
	if past, harmful := search.brokerSearch.PastSearch(search.pastSearch.Execution); harmful {
		r.pastSearches.Store(r.now, search.request.ID, past)
	}
}

// LimitReplayMemory limits the memory for the records of past searches, by which the router recognises a request that is
// delivered again although its search is not idempotent: it keeps at most as many records as fit into the given number of
// bytes. It must be called before Start; without it there is no limit.
func (r *Router) LimitReplayMemory(bytes int64) {
	r.pastSearches.SetCapacity(int(bytes / replay.RecordBytes))
}

// retentionSeconds returns for how long a search that may have run has to be recorded once it has ended, in seconds. A request
// is delivered again only while its client waits, that is, for the longest deadline at most. To keep the record for that time
// after the end of the search also covers requests that wait unread while this process is paused. The record of an
// idempotency-keyed search is kept for its repeat window at least, as the search may be run again until that has passed.
func (r *Router) retentionSeconds(deployment *protocol.Deployment) (seconds float64) {
	seconds = deployment.MaxDeadline.Seconds()
	for _, class := range deployment.Settings.Classes {
		if class.Effect == balance.IdempotencyKeyed {
			seconds = max(seconds, class.RepeatWindow)
		}
	}
	return seconds
}
