package routing

import "brackenfront/internal/protocol"

// accept hands a search that has just arrived to the broker, or rejects it before any of its parts is sent. It first checks
// whether the request was delivered before: if so, the search may have run, and a rejection as overloaded would suggest to the
// client that a retry does no harm.
func (r *Router) accept(search *activeSearch) {
	request := search.request
	// Other settings may have been applied while the search was queued.
	served := request.Deployment == r.deployment || request.ResolveIndexes(r.deployment)
	if !r.mayRun(search, served) {
		return
	}
	// This comes before the class is looked up, as its index is not valid if the search is not served.
	if !served || r.openCount+1+len(request.Parts) > r.deployment.MaxInFlight {
		r.counts.Overloaded++
		search.reject(protocol.StatusOverloaded)
		return
	}
	if !r.reserveRecord(search) {
		return
	}
	class := &r.deployment.Settings.Classes[request.Class]
	search.fetchParts = class.FetchParts
	if r.allowances != nil {
		r.allowances.CountSearch(request.Dealer)
	}
	// clientSeenAt is still the time of the arrival, as the client's connection has not been checked since.
	waited := r.turnTime.Sub(search.clientSeenAt)
	remainingSeconds := max(search.deadline.Sub(r.turnTime).Seconds(), 0)
	search.brokerSearch = r.broker.AddSearch(request.Class, request.Dealer, remainingSeconds, max(waited.Seconds(), 0))
	if search.repeatDeadline > 0 {
		r.applyRepeatDeadline(search)
	}
	for len(r.searchesBySlot) <= search.brokerSearch.Slot() {
		r.searchesBySlot = append(r.searchesBySlot, nil)
	}
	r.searchesBySlot[search.brokerSearch.Slot()] = search
	r.searchesByID[request.ID] = search
	r.counts.Accepted++
	search.acceptedAt = r.turnTime
	r.counts.InFlight++
	for _, part := range request.Parts {
		if search.brokerSearch.AddPart(part.Shard, part.Weight) >= 0 {
			search.addPart(part.Shard)
		}
	}
	r.openCount += 1 + len(search.parts)
}

// handleClientLeft is called when a search's client has disconnected or its deadline has passed. It withdraws the search's
// SendPermission, so that no further attempt of it is written to a node. If the search is in progress, it ends it and notifies
// the broker; if it has ended, it frees the memory of a final answer that nobody has received.
func (r *Router) handleClientLeft(search *activeSearch) {
	search.permission.Withdraw()
	if search.brokerSearch != nil && !search.ended {
		r.counts.ClientsLeft++
		r.endSearch(search, false)
		search.brokerSearch.ClientLeft()
		return
	}
	// If there is an answer already, nobody receives it any more.
	select {
	case answer := <-search.answers:
		answer.Free()
	default:
	}
}

// endSearch marks a search as ended, with its final answer or because its client has left, records it if it must not run
// again, and frees the tables that are not part of the answer. answered says whether the search has an answer with values.
func (r *Router) endSearch(search *activeSearch, answered bool) {
	search.ended = true
	r.recordPastSearch(search)
	for i, part := range search.parts {
		if part.result.Table != nil && !(answered && i >= search.stepBegin && part.hasValue) {
			part.result.Table.Free()
		}
	}
	r.counts.InFlight--
	r.openCount -= 1 + len(search.parts)
	r.releaseID(search)
}

// releaseID allows the id of a search that has ended to be used again once none of its attempts is in flight. If the id were
// released earlier, a second delivery of the request could lead to two concurrent attempts of one part, as the nodes may not
// have been notified yet that the former attempts are given up.
func (r *Router) releaseID(search *activeSearch) {
	if search.attemptsInFlight == 0 {
		delete(r.searchesByID, search.request.ID)
	}
}
