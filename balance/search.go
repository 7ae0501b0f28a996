package balance

import "slices"

// This file has searches in progress and their parts: how parts are added, when a search has enough of them to be
// answered or too few left to succeed, and how its memory is reused.

// WeightTolerance is by how much a sum of part weights may fall short of a required share, and the weights of a step may
// differ from 1 in sum: 0.0001 because the caller may round the weights, and 1e-9 for the error of floating-point sums.
const WeightTolerance = 1e-4 + 1e-9

// partState is the state of a part of a search: it waits to be sent, is in flight, is answered or has failed.
type partState uint8

const (
	// partWaiting means that the part has no attempt in flight and may be sent, for the first time or again.
	partWaiting partState = iota
	// partInFlight means that an attempt of the part has been sent and has not ended.
	partInFlight
	// partAnswered means that the part's answer is in.
	partAnswered
	// partFailed means that the part has no answer and may not be sent again.
	partFailed
)

// searchPart is one part of a search, with the state of its newest attempt: a part has at most one attempt in flight.
type searchPart struct {
	// search is the search that the part belongs to.
	search *Search
	// index is the part's index in Search.parts, as AddPart returned it.
	index int
	// shard is the index of the shard that the part searches.
	shard int
	// weight is the part's share of its step of the search, as the caller gave it to AddPart.
	weight float64
	// state says whether the part waits to be sent, is in flight, is answered, or has failed for good.
	state partState
	// attempts is the number of attempts of the part that have been sent so far.
	attempts int
	// execution says whether one of the part's attempts that have ended may have run at its node, and when the first
	// such attempt was sent.
	execution Execution
	// node is the index of the node that the newest attempt was sent to; -1 before the first.
	node int
	// call is the index, in Broker.partsOfCall, of the call that carries the newest attempt.
	call int
	// partsAtNode is the number of this broker's parts in flight at the node when the newest attempt was sent, that one
	// included.
	partsAtNode int
	// sentAt is the time in seconds when the newest attempt was sent.
	sentAt float64
	// older is the part before this one in the list of its node's awaited parts, which is in order of sending; nil for
	// none.
	older *searchPart
	// younger is the part after this one in the list of its node's awaited parts, which is in order of sending; nil for
	// none.
	younger *searchPart
	// inAwaitedList says that the part is in the list of its node's awaited parts.
	inAwaitedList bool
	// overdue says that a sweep has found the newest attempt to be overdue. It is false again once the part is sent
	// again.
	overdue bool
	// hung says that a sweep has found the newest attempt to be hung, so that it no longer counts against the
	// concurrency limit. It stays true until the part is sent again, also if its node answers other parts.
	hung bool
	// idleIndex is the part's index into Broker.overdueShare: 1 if the newest attempt was sent over idle connections, 0
	// otherwise, also if idle connections were closed before it was sent.
	idleIndex int
	// movedAway says that the newest attempt was cancelled to move the part, and that the end of the attempt has not
	// been reported yet.
	movedAway bool
}

// Search is the caller's handle of one search in progress, and the broker's state of it.
type Search struct {
	// broker is the broker that the search belongs to.
	broker *Broker
	// slot is the search's slot, the number that Search.Slot returns.
	slot int
	// class is the search's class, with the settings that were in force when the search came. Later settings change it
	// only where they allow fewer attempts or repeats (restrictSearchesInProgress).
	class *classState
	// layout says which nodes hold which shards. It is the broker's layout of the time when the search came, which
	// follows the node list until other settings replace it.
	layout *shardLayout
	// receivedAt is the time in seconds when the search was taken in.
	receivedAt float64
	// targetAt is the time in seconds when the search's latency target passes, counted from the arrival of its request
	// or, for a repeat, from that of the client's first request. If that time had passed when the search was taken in,
	// it is one latency target after then, and utility is that of a late answer.
	targetAt float64
	// deadlineAt is the time in seconds when the search is ended at the latest: a margin (Broker.deadlineMargin) before
	// its client's deadline, or earlier if LimitDeadline says so.
	deadlineAt float64
	// utility is what an answer within the latency target is worth, in the unit of SearchClass.Utility: that of the
	// class, lowered if the dealer's quota is used up or if the search arrived after its latency target.
	utility float64
	// replicaOffset is the search's replica offset, an index into each list of shardLayout.holders. It is chosen once
	// and is the same for all parts of the search.
	replicaOffset int
	// parts are the parts of both steps, in the order in which they were added.
	parts []*searchPart
	// stepStart is the index in parts of the first part of the current step: 0 in the first step, and the number of
	// parts of the first step in the second.
	stepStart int
	// completeShare is the share of the current step's weight that must be answered for a complete answer: that of the
	// class, and 1 in a second step.
	completeShare float64
	// answeredWeight is the sum of the weights of the current step's answered parts; 1 if all of its parts are
	// answered.
	answeredWeight float64
	// lostWeight is the sum of the weights of the current step's parts that have failed for good (partFailed); 1 if all
	// of its parts have.
	lostWeight float64
	// partsWaiting is the number of parts of the current step in the state partWaiting.
	partsWaiting int
	// attemptsInFlight counts the search's attempts in flight, in its current step and in earlier ones.
	attemptsInFlight int
	// sendingBegun says that the broker has tried to send parts of the search before. Its replicaOffset is then chosen,
	// and the search is not considered for shedding again.
	sendingBegun bool
	// ended says that the search has its final outcome, or that its client has left.
	ended bool
	// missedTarget says that a sweep found attempts of the search in flight after its latency target. Its answer then
	// does not raise Broker.shedScale.
	missedTarget bool
	// holdsBackSpareParts says that, because the nodes are slow, the broker sends only as many parts as a complete
	// answer needs, and the spare ones only if some of these fail or become overdue. shouldShed sets it before the
	// first part is sent.
	holdsBackSpareParts bool
	// inSecondStep says that the first step was answered and the second one is in progress.
	inSecondStep bool
	// firstStepComplete says that the first step of a search with two steps had a complete answer; false while the
	// first step is in progress.
	firstStepComplete bool
	// prev is the search that arrived before this one, in the list of searches in progress; nil for the oldest.
	prev *Search
	// next is the search that arrived after this one, in the list of searches in progress; nil for the newest.
	next *Search
}

// Slot returns the search's slot, a small number, from 0, by which the caller can index its own table of searches. It
// is given to another search once this one has ended and all of its attempts have been reported as ended.
func (s *Search) Slot() int { return s.slot }

// Attempts returns the number of attempts of a part that have been sent so far; partIndex is what AddPart returned.
func (s *Search) Attempts(partIndex int) int { return s.parts[partIndex].attempts }

// PartNode returns the index of the node of a part's newest attempt, or -1 if it had none; partIndex is what AddPart
// returned.
func (s *Search) PartNode(partIndex int) int { return s.parts[partIndex].node }

// AddPart adds a part for a shard to the current step of a search: its only one, or the first or second of two. weight
// is the part's share of the step; the weights of all parts of a step sum up to 1, within WeightTolerance. It returns the part's index within
// the search, or -1 if the search has ended or there is no such shard.
func (s *Search) AddPart(shard int, weight float64) int {
	broker := s.broker
	broker.requests.add(broker.now, 1)
	if s.ended || shard < 0 || shard >= len(s.layout.holders) {
		return -1
	}
	part := s.newPart()
	part.shard = shard
	part.weight = weight
	s.partsWaiting++
	broker.maxSearchParts = max(broker.maxSearchParts, float64(len(s.parts)))
	// The concurrency limit allows at least one whole search, also the first one with more parts than it was lowered to.
	broker.concurrencyLimit = max(broker.concurrencyLimit, broker.maxSearchParts)
	return part.index
}

// ClientLeft reports that the client of a search no longer waits. The search ends: its attempts in flight are
// cancelled, and the host is not asked to answer, reject or fail it.
func (s *Search) ClientLeft() {
	if !s.ended {
		s.finish()
	}
}

// expectedWeight returns the sum of the weights of the current step's parts that are answered, or in flight and not
// overdue; 1 if all of its parts are.
func (s *Search) expectedWeight() float64 {
	weight := s.answeredWeight
	for _, part := range s.parts[s.stepStart:] {
		if part.state == partInFlight && !part.overdue {
			weight += part.weight
		}
	}
	return weight
}

// settle answers the current step of a search if enough of its weight is answered (completeShare), and gives the search
// up if so much of the weight is lost that the answer cannot become complete any more.
func (s *Search) settle() {
	if s.answeredWeight >= s.completeShare-WeightTolerance && len(s.parts) > s.stepStart {
		s.answer(true)
	} else if 1-s.lostWeight < s.completeShare-WeightTolerance {
		s.giveUp()
	}
}

// answer answers the search's current step from the parts whose replies have arrived; complete says whether they make a
// complete answer. It ends the search, for which Broker.shedScale rises unless the latency target was missed, or, after
// the first of two steps, begins the second.
func (s *Search) answer(complete bool) {
	broker := s.broker
	class := s.class
	if s.inSecondStep || class.fetchParts == 0 {
		if !s.missedTarget {
			broker.shedScale += shedScaleGain * (s.targetAt - s.receivedAt) / class.latencyTarget
		}
		broker.host.Answer(s, complete && (s.firstStepComplete || !s.inSecondStep))
		s.finish()
		return
	}
	broker.host.Answer(s, complete)
	s.cancelPartsInFlight()
	s.inSecondStep = true
	s.firstStepComplete = complete
	s.completeShare = 1
	s.stepStart = len(s.parts)
	s.answeredWeight = 0
	s.lostWeight = 0
	s.partsWaiting = 0
}

// cancelPartsInFlight cancels the attempts in flight of the current step, whose answers are not needed any more.
func (s *Search) cancelPartsInFlight() {
	broker := s.broker
	for _, part := range s.parts[s.stepStart:] {
		if part.state == partInFlight && broker.canCancel && !part.movedAway {
			broker.host.Cancel(s, part.index, part.attempts-1)
			broker.nodes[part.node].removeAwaited(part)
		}
	}
}

// finish ends a search whose outcome the host has been told, or whose client has left: it cancels the attempts in
// flight of the current step and takes the search out of the list of those in progress. Its slot and memory are reused
// once all of its attempts have ended.
func (s *Search) finish() {
	s.cancelPartsInFlight()
	s.ended = true
	s.broker.removeSearch(s)
}

// giveUp ends a search that cannot be completed: with a partial answer where its class allows that; else as rejected,
// if the client can repeat it without harm, and otherwise as failed. A rejected client is advised to wait for a random
// time between half of Broker.maxRetryAfter and all of it.
func (s *Search) giveUp() {
	broker := s.broker
	class := s.class
	if s.answeredWeight > 0 && s.answeredWeight >= class.minShare-WeightTolerance &&
		class.minShare < class.completeShare-WeightTolerance && (s.inSecondStep || class.fetchParts == 0) {
		s.answer(false)
		return
	}
	if class.effect.mayPromiseSafeRetry(s.Execution()) {
		broker.host.Reject(s, broker.maxRetryAfter*(0.5+0.5*broker.random.Float64()))
	} else {
		broker.host.Fail(s)
	}
	s.finish()
}

// mayBeQueued says whether an attempt in flight of the search's current step may still wait in its node's queue,
// because the node has answered nothing that was sent to it later.
func (s *Search) mayBeQueued() bool {
	return slices.ContainsFunc(s.parts[s.stepStart:], func(part *searchPart) bool {
		return part.state == partInFlight && part.sentAt > s.broker.nodes[part.node].latestAnsweredSend
	})
}

// newSearch returns an empty search, appended to the list of searches in progress. It reuses the memory and the slot of
// an ended search if there is any.
func (b *Broker) newSearch() *Search {
	var search *Search
	if count := len(b.freeSearches); count > 0 {
		search = b.freeSearches[count-1]
		b.freeSearches = b.freeSearches[:count-1]
		*search = Search{broker: b, slot: search.slot, parts: search.parts[:0]}
	} else {
		search = &Search{broker: b, slot: b.slotCount}
		b.slotCount++
	}
	search.prev = b.newestSearch
	if search.prev != nil {
		search.prev.next = search
	} else {
		b.oldestSearch = search
	}
	b.newestSearch = search
	b.searchCount++
	return search
}

// removeSearch takes an ended search out of the list of searches in progress, and frees its slot if none of its
// attempts is in flight.
func (b *Broker) removeSearch(search *Search) {
	if search.prev != nil {
		search.prev.next = search.next
	} else {
		b.oldestSearch = search.next
	}
	if search.next != nil {
		search.next.prev = search.prev
	} else {
		b.newestSearch = search.prev
	}
	search.prev = nil
	search.next = nil
	b.searchCount--
	b.releaseSlot(search)
}

// releaseSlot adds a search to Broker.freeSearches, so that its memory and its slot are used for a later search. It
// does nothing while the search has not ended or has an attempt in flight.
func (b *Broker) releaseSlot(search *Search) {
	if search.ended && search.attemptsInFlight == 0 {
		b.freeSearches = append(b.freeSearches, search)
	}
}

// newPart appends an empty part to the search and returns it. Where possible it reuses the memory of a part of an
// earlier search, one that was kept in the same Search.
func (s *Search) newPart() *searchPart {
	index := len(s.parts)
	if index < cap(s.parts) {
		s.parts = s.parts[:index+1]
	} else {
		s.parts = append(s.parts, nil)
	}
	if s.parts[index] == nil {
		s.parts[index] = new(searchPart)
	}
	*s.parts[index] = searchPart{search: s, index: index, node: -1}
	return s.parts[index]
}
