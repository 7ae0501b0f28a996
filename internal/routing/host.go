package routing

import (
	"slices"
	"strconv"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// This checks at compile time that Router implements balance.Host, by which its broker calls it.
var _ balance.Host = (*Router)(nil)

// Send implements balance.Host. It adds the next attempt of a part to the batch that the node is sent at the end of this
// turn. node is the index of the node in Router.nodeAddrs. The attempt ends timeoutSeconds after the start of the turn
// (Router.turnTime), or at the search's deadline if that is earlier or timeoutSeconds is 0.
func (r *Router) Send(brokerSearch *balance.Search, partIndex, node int, timeoutSeconds float64) {
	search := r.searchesBySlot[brokerSearch.Slot()]
	part := search.parts[partIndex]
	deadline := search.deadline
	if timeoutSeconds > 0 {
		if timeout := r.turnTime.Add(time.Duration(timeoutSeconds * float64(time.Second))); timeout.Before(deadline) {
			deadline = timeout
		}
	}
	id := search.request.ID + "." + strconv.Itoa(part.shard)
	extraFields := ""
	// The parts of a second step come after those of the request.
	if partIndex >= len(search.request.Parts) {
		id += ".load"
		extraFields = search.stepFields
	}
	part.backend = r.nodeBackends[node]
	part.attempt = &parts.Attempt{
		Permission:  &search.permission,
		ID:          id,
		Shard:       part.shard,
		ExtraFields: extraFields,
		SearchText:  search.request.Text,
		Deadline:    deadline,
		Owner:       search,
		PartIndex:   partIndex,
		Number:      brokerSearch.Attempts(partIndex),
		DecidedAt:   r.turnTime,
	}
	part.decidedAtSeconds = r.now
	part.inFlightIndex = len(r.partsInFlight)
	part.givenUp = false
	r.partsInFlight = append(r.partsInFlight, part)
	search.attemptsInFlight++
	r.counts.AttemptsSent++
	r.counts.AttemptsInFlight++
	if len(r.batches[node]) == 0 {
		r.batchNodes = append(r.batchNodes, node)
	}
	r.batches[node] = append(r.batches[node], part.attempt)
}

// Cancel implements balance.Host. It gives up the newest attempt of a part, whose number is earlierAttempts + 1; it does
// nothing if that attempt has ended or is given up already.
func (r *Router) Cancel(brokerSearch *balance.Search, partIndex, earlierAttempts int) {
	search := r.searchesBySlot[brokerSearch.Slot()]
	part := search.parts[partIndex]
	if part.attempt == nil || part.attempt.Number != earlierAttempts+1 || part.givenUp {
		return
	}
	attempt := part.attempt
	part.givenUp = true
	// If the attempt has not ended yet, the backend notifies its owner later.
	if !part.backend.Cancel(attempt, balance.Cancelled) {
		return
	}
	r.deferredCalls = append(r.deferredCalls, func() {
		if part.attempt == attempt {
			r.finishAttempt(part, balance.Cancelled)
		}
	})
}

// Answer implements balance.Host. It answers a search from the values of the current step, or begins the second step if the
// class has one and this was the first. complete says whether the values have enough weight for a complete answer.
func (r *Router) Answer(brokerSearch *balance.Search, complete bool) {
	search := r.searchesBySlot[brokerSearch.Slot()]
	if fetchParts := search.fetchParts; fetchParts > 0 && search.stepBegin == 0 {
		var shards []int
		shards, search.stepFields = search.planSecondStep(fetchParts, complete)
		search.stepBegin = len(search.parts)
		search.schema = nil
		search.textValues = false
		r.counts.SecondSteps++
		r.deferredCalls = append(r.deferredCalls, func() { r.addSecondStepParts(search, shards) })
		return
	}
	r.counts.Succeeded++
	if !complete {
		r.counts.Partial++
	}
	r.setFinalAnswer(search, protocol.FinalAnswer{Complete: complete, Values: search.stepValues()})
}

// Reject implements balance.Host. It answers a search that the broker rejects, to shed load; its client may retry after
// retryAfterSeconds, or at any time if that is 0.
func (r *Router) Reject(brokerSearch *balance.Search, retryAfterSeconds float64) {
	r.counts.Rejected++
	r.setFinalAnswer(r.searchesBySlot[brokerSearch.Slot()],
		protocol.FinalAnswer{Status: protocol.StatusRejected, RetryAfterSeconds: retryAfterSeconds})
}

// Fail implements balance.Host. It ends a search without an answer; parts of it may have run on nodes.
func (r *Router) Fail(brokerSearch *balance.Search) {
	r.counts.Failed++
	r.setFinalAnswer(r.searchesBySlot[brokerSearch.Slot()], protocol.FinalAnswer{Status: protocol.StatusFailed})
}

// Probe implements balance.Host. It asks the probe coordinator for the health of a node, or probes the node itself. node is the
// index of the node in Router.nodeAddrs.
func (r *Router) Probe(node int) {
	r.counts.Probes++
	report := func(healthy bool) { r.post(func() { r.broker.ProbeEnded(node, healthy) }) }
	if r.probeCoordinator == nil || !r.probeCoordinator.RequestProbe(r.nodeAddrs[node], report) {
		r.nodeBackends[node].Probe(r.nodeAddrs[node], report)
	}
}

// ProbeByAddress probes the node at addr on behalf of another broker. It may wait while the router's queue is full. It calls
// report once, from any goroutine: probed is false if the list of nodes has no active node at addr or the router has
// stopped; otherwise healthy is the result.
func (r *Router) ProbeByAddress(addr string, report func(healthy, probed bool)) {
	if !r.post(func() {
		node := slices.Index(r.nodeAddrs, addr)
		if node < 0 || !r.broker.NodeActive(node) {
			// report may wait, which the router's goroutine must not.
			go report(false, false)
			return
		}
		r.nodeBackends[node].Probe(addr, func(healthy bool) { report(healthy, true) })
	}) {
		report(false, false)
	}
}

// CloseConnections implements balance.Host: it closes some of the connections to a node, given by its index in
// Router.nodeAddrs. If quietSeconds is 0, these are the unused ones; otherwise those with unanswered calls on which nothing was
// received in the last quietSeconds seconds.
func (r *Router) CloseConnections(node int, quietSeconds float64) {
	r.nodeBackends[node].CloseIdleOrSilent(r.nodeAddrs[node], time.Duration(quietSeconds*float64(time.Second)))
}

// WatchNodeList implements balance.Host. It starts the subscription to the list of nodes, by the function that
// SetWatchStarter has set.
func (r *Router) WatchNodeList() { r.startWatch() }

// WakeAt implements balance.Host. It sets when the next turn has to begin if no event begins one before, in seconds of the
// broker's clock.
func (r *Router) WakeAt(seconds float64) { r.wakeAt = seconds }
