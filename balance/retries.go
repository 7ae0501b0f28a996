package balance

// This file decides whether a part may be sent once more, what the budget of retries allows, and when an overdue part
// is moved to another node.

const (
	// minPatience is the lower bound of Broker.patience, in mean deviations. Retries that are answered in the usual
	// time (usefulRetryDeviations) lower the patience, others raise it.
	minPatience = 4.0
	// maxPatience is the upper bound of Broker.patience, in mean deviations.
	maxPatience = 14.0
	// usefulRetryDeviations is the number of mean deviations beyond the usual reply time up to which the answer to a
	// retry shows that retrying helps.
	usefulRetryDeviations = 2.0
	// patienceGrowth is the factor, above 1, by which a retry that did not help (usefulRetryDeviations) raises the
	// patience.
	patienceGrowth = 1.12
	// patienceShrinkage is the factor, below 1, by which a retry that helped (usefulRetryDeviations) lowers the
	// patience.
	patienceShrinkage = 0.92

	// overdueTargetShare is the share of its class's latency target after which a part in flight is overdue. It is also
	// the share that a node's lag (selectionLag) may reach before parts are sent to another holder.
	overdueTargetShare = 0.3
	// moveMaxLagShare is the largest lag of another holder with which an overdue part is moved to it, as a share of the
	// time that the part's attempt has been in flight. Larger means that parts are moved to busier nodes.
	moveMaxLagShare = 0.5
	// overtakenMoveFactor is a factor on the patience for an overtaken part: one whose node has answered parts sent
	// later. Unless it is hung, such a part is moved later than others, because it may take much work rather than be
	// lost.
	overtakenMoveFactor = 2

	// defaultRetryShare is the default of Settings.RetryBudgetShare, where no retry budget is configured: the number of
	// retries that a broker may make within defaultRetryWindow for each search and each part that it took in within
	// that time.
	defaultRetryShare = 0.5
	// defaultRetryMin is the number of retries that a broker may make within defaultRetryWindow in addition to those of
	// defaultRetryShare, where no retry budget is configured.
	defaultRetryMin = 30.0
	// defaultRetryWindow is the length in seconds of the retry budget's sliding window, where no retry budget is
	// configured.
	defaultRetryWindow = 10.0
)

// mayRetry says whether a part whose attempt ended without an answer may be sent again, now or later: it has attempts
// left, and running it again does no harm. The retry budget is not checked here.
func (b *Broker) mayRetry(part *searchPart) bool {
	return part.attempts < part.search.class.maxAttempts &&
		part.search.class.effect.mayRepeat(part.execution, part.search.class.repeatWindow, b.now)
}

// retryBudgetAllows says whether the retry budget allows one more retry now, in addition to those kept free for parts
// that are being moved (Broker.movesInFlight). As a margin, retries are counted over a window that is longer than
// Broker.retryBudgetWindow by one sweep interval, and requests (Broker.requests) over one that is shorter by as much.
func (b *Broker) retryBudgetAllows() bool {
	requests := b.requests.sumSince(b.now - b.retryBudgetWindow + b.sweepInterval)
	return b.retries.sumSince(b.now-b.retryBudgetWindow-b.sweepInterval)+float64(b.movesInFlight)+1 <=
		b.retryBudgetMin+b.retryBudgetShare*requests
}

// applyRetryBudget puts the retry budget of the settings in force or, if they have none (RetryBudgetWindow 0 or below),
// that of the constants defaultRetryMin, defaultRetryShare and defaultRetryWindow. If the new window is longer than the
// old one, it counts retryBudgetMin retries as made now.
func (b *Broker) applyRetryBudget(settings Settings) {
	window := settings.RetryBudgetWindow
	b.retryBudgetMin = settings.RetryBudgetMin
	b.retryBudgetShare = settings.RetryBudgetShare
	if window <= 0 {
		b.retryBudgetMin = defaultRetryMin
		b.retryBudgetShare = defaultRetryShare
		window = defaultRetryWindow
	}
	// The retries before the old window are forgotten. A longer window would allow them a second time, so its minimum
	// counts as spent.
	if window > b.retryBudgetWindow {
		b.retries.add(b.now, b.retryBudgetMin)
	}
	b.retryBudgetWindow = window
}

// adjustPatience changes the patience by the outcome of a retry; took is the time in seconds since the retry was sent.
// An answer no later than usefulRetryDeviations mean deviations after the usual reply time lowers the patience, any
// other outcome but NotSent raises it: a retry answered in the usual time shows that parts are lost and moving them
// helps, whereas under overload retries are as late as first attempts, and moving parts would add to the overload.
func (b *Broker) adjustPatience(class *classState, outcome Outcome, took float64) {
	if outcome == OK && took < class.usualReplyTime+usefulRetryDeviations*class.replyTimeDeviation {
		b.patience = max(patienceShrinkage*b.patience, minPatience)
	} else if outcome != NotSent {
		b.patience = min(patienceGrowth*b.patience, maxPatience)
	}
}

// handleOverduePart deals with an overdue part, which has been in flight for age seconds. The first call for an attempt
// counts as a failure of its node and, unless the node has answered parts sent later, raises the node's mean reply time
// (nodeState.latency) to age if it is lower. A part that becomes hung no longer counts against the concurrency limit
// and, unless it was sent over idle connections, is reported to the zone guard. Once age exceeds the usual reply time
// by more than the patience, moveOverduePart decides whether the part is moved; silent connections to the node are then
// closed if the part is its oldest awaited one and age also exceeds silentConnectionTargetShare of the latency target.
func (b *Broker) handleOverduePart(nodeIndex int, part *searchPart, age float64) {
	node := &b.nodes[nodeIndex]
	class := part.search.class
	if !part.overdue {
		part.overdue = true
		b.overdueShare[part.idleIndex] += overdueShareWeight * (1 - b.overdueShare[part.idleIndex])
		b.recordFailure(node, 1)
		if part.sentAt > node.latestAnsweredSend {
			node.latency = max(node.latency, age)
			node.latencyAt = b.now
		}
	}
	// A connection may have fallen silent, and what is in flight on it can be sent again once it is closed. Under
	// overload connections stay open: each part that has to be sent again, and each new connection, would add to the
	// load.
	if part == node.oldestAwaited &&
		age > max(silentConnectionTargetShare*class.latencyTarget, class.usualReplyTime+b.patience*class.replyTimeDeviation) {
		b.host.CloseConnections(nodeIndex, silentConnectionTargetShare*class.latencyTarget)
	}
	// Hung parts leave the concurrency limit, because the oldest search would otherwise occupy its share of it until
	// its deadline. Parts of a node that goes on answering are load like any other and stay.
	if !part.hung && age > hungTargetShare*class.latencyTarget && node.answeredAt < part.sentAt {
		part.hung = true
		b.partsInFlight--
		if part.idleIndex == 0 {
			b.reportFailureToZoneGuard(nodeIndex, true)
		}
	}
	// Where replies are often slow, silence means a long queue, and moving parts would add to the overload.
	if age > class.usualReplyTime+b.patience*class.replyTimeDeviation {
		b.moveOverduePart(node, part, class, age)
	}
}

// moveOverduePart moves an overdue part: it cancels the attempt, so that the part is sent again to another holder, and
// has silent connections to its node closed. It does so only if the host can cancel, the part may be sent again, the
// retry budget allows it, an answer would still have a utility, the search needs the part for a complete answer and has
// no other part waiting to be sent, the part is not likely to be costly rather than lost, the zone guard has no trial
// part in flight at the node (unless the part is hung), and the other holder's lag is at most moveMaxLagShare of age,
// the time in seconds since the attempt was sent. If it moves the part, it reports to the zone guard a node that has
// answered nothing since the part was sent, unless that was over idle connections.
func (b *Broker) moveOverduePart(node *nodeState, part *searchPart, class *classState, age float64) {
	search := part.search
	if search.ended || part.index < search.stepStart || part.movedAway || !b.canCancel ||
		part.attempts >= search.class.maxAttempts || !b.retryBudgetAllows() ||
		b.now >= search.targetAt && class.lateUtility == 0 ||
		!class.effect.mayRepeat(part.executionSoFar(), class.repeatWindow, b.now+age) {
		return
	}
	// This guards against sending costly parts from node to node. A part that later ones have overtaken (unless so long
	// ago that it must be lost), or that was late at two nodes, is slow by itself. If the node answers nothing at all,
	// neither is a sign of that.
	if !part.hung && (part.sentAt <= node.latestAnsweredSend &&
		age < class.usualReplyTime+overtakenMoveFactor*b.patience*class.replyTimeDeviation || part.attempts > 1) ||
		search.partsWaiting > 0 || search.expectedWeight() >= search.completeShare-WeightTolerance ||
		!part.hung && b.zoneGuard != nil && b.zoneGuard.TrialPartInFlight(part.node) {
		return
	}
	if other := b.chooseNode(search, part); other < 0 || b.lag(&b.nodes[other]) > moveMaxLagShare*age {
		return
	}
	part.movedAway = true
	b.movesInFlight++
	// The loss of a connection that was dropped unnoticed while it was unused is no sign of a failed zone.
	if node.answeredAt < part.sentAt && part.idleIndex == 0 {
		b.reportFailureToZoneGuard(part.node, true)
	}
	node.removeAwaited(part)
	b.host.Cancel(search, part.index, part.attempts-1)
	// The connection may be broken, and because its parts are moved away none of them becomes late enough to prove
	// that.
	b.host.CloseConnections(part.node, silentConnectionTargetShare*class.latencyTarget)
}
