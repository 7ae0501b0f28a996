package balance

import "math"

// This file decides by when a search should be answered and by when it ends, and sweeps regularly for parts that are
// overdue and searches whose time is up.

const (
	// deadlineMarginTicks is the number of ticks (Settings.Tick) that, added to one sweep interval, make
	// Broker.deadlineMargin, the time by which a search is ended before its client's deadline.
	deadlineMarginTicks = 3
	// maxFirstRequestVotes is the upper bound of classState.firstRequestVotes, the counter of the majority vote on the
	// time that clients have left at their first requests. Once that time changes, it takes at most about so many
	// requests until the new time is learned.
	maxFirstRequestVotes = 100

	// hungTargetShare is the share of its class's latency target after which a part in flight is hung if its node has
	// answered nothing since it was sent.
	hungTargetShare = 0.5
	// silentConnectionTargetShare is the share of a class's latency target after which a connection is silent, and may
	// be closed, if a part is in flight on it and nothing has been received.
	silentConnectionTargetShare = 0.5
)

// AddSearch takes in a search and returns its handle. classIndex is the index of its class in Settings.Classes, dealer
// that of its dealer in Settings.Quotas, or below 0 for none. timeLeft is how long its client still waits, and waited
// how long the request had been waiting to be read before this call, both in seconds.
func (b *Broker) AddSearch(classIndex, dealer int, timeLeft, waited float64) *Search {
	search := b.newSearch()
	class := b.classes[classIndex]
	givenTime := timeLeft + waited
	search.class = class
	search.layout = b.layout
	search.receivedAt = b.now
	search.completeShare = class.completeShare
	search.targetAt = b.now + min(class.latencyTarget-waited, timeLeft)
	search.deadlineAt = b.now + timeLeft - b.deadlineMargin
	search.utility = class.utility
	// This guards against work for repeats that cannot be served in time. A client that repeats a request has less time
	// left than it had at its first request; the time that first requests have is the most frequent one, found by
	// majority vote. As a repeat has the same deadline as the first request, its latency target is the same time, too.
	if math.Abs(givenTime-class.firstRequestTimeLeft) <= b.sweepInterval {
		class.firstRequestVotes = min(class.firstRequestVotes+1, maxFirstRequestVotes)
	} else {
		class.firstRequestVotes--
		if class.firstRequestVotes < 0 {
			class.firstRequestTimeLeft = givenTime
			class.firstRequestVotes = 1
		} else {
			search.targetAt = min(search.targetAt, b.now+timeLeft-class.timeAfterTarget)
		}
	}
	if search.targetAt <= b.now {
		search.targetAt = b.now + class.latencyTarget
		search.utility *= class.lateUtility
	}
	// A search with too little time left cannot wait for the next regular sweep.
	b.nextSweepAt = min(b.nextSweepAt, search.deadlineAt-b.sweepInterval)
	if dealer >= 0 && dealer < len(b.quotas) {
		b.chargeQuota(search, dealer)
	}
	b.requests.add(b.now, 1)
	return search
}

// LimitDeadline makes a search end at the time until, in seconds, at the latest, even if its client would wait longer.
// The caller uses it for searches whose request was delivered before, with the time that RedeliveryDeadline returned.
func (s *Search) LimitDeadline(until float64) {
	s.deadlineAt = min(s.deadlineAt, until)
	s.broker.nextSweepAt = min(s.broker.nextSweepAt, s.deadlineAt-s.broker.sweepInterval)
}

// sweep handles the overdue parts, and the searches that have reached their latency target or deadline. EndTurn calls
// it every sweepInterval, or earlier if a search is near its deadline.
func (b *Broker) sweep() {
	b.nextSweepAt = b.now + b.sweepInterval
	for i := range b.nodes {
		for part := b.nodes[i].oldestAwaited; part != nil; {
			younger := part.younger
			if age := b.now - part.sentAt; age > overdueTargetShare*part.search.class.latencyTarget {
				b.handleOverduePart(i, part, age)
			}
			part = younger
		}
	}
	for search := b.oldestSearch; search != nil; {
		next := search.next
		b.checkDeadlines(search)
		search = next
	}
}

// checkDeadlines records whether a search has missed its latency target, and lowers Broker.shedScale for that if one of
// its parts waits to be sent or may wait in a node's queue, except in a turn that began late because this process
// stalled. It ends the search if its deadline has passed, or if a later answer would have a lower utility than ending
// it now.
func (b *Broker) checkDeadlines(search *Search) {
	class := search.class
	if b.now >= search.targetAt && !search.missedTarget && search.attemptsInFlight > 0 {
		search.missedTarget = true
		if b.stalledFor == 0 && (search.partsWaiting > 0 || search.mayBeQueued()) {
			// In proportion to the share of the latency target that the search had: repeats with little time left are a
			// weaker sign of overload.
			b.shedScale *= 1 - shedScaleLoss*(search.targetAt-search.receivedAt)/class.latencyTarget
		}
	}
	switch {
	case b.now >= search.deadlineAt:
		search.giveUp()
	case b.now >= search.targetAt-b.sweepInterval && search.answeredWeight >= class.minShare-WeightTolerance &&
		search.answeredWeight > 0 && class.minShare < class.completeShare-WeightTolerance &&
		(search.inSecondStep || class.fetchParts == 0) && class.partialUtility > class.lateUtility:
		search.answer(false)
	case b.now >= search.targetAt && class.lateUtility == 0 && search.partsWaiting > 0 &&
		search.expectedWeight() < search.completeShare-WeightTolerance:
		// A search that is past its target and needs more sends would only take capacity from others.
		search.giveUp()
	}
}
