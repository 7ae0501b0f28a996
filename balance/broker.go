package balance

import (
	"math"

	"brackenfront/random"
	"brackenfront/zones"
)

// This file has the broker's state, and the beginning and the end of a turn.

const (
	// sweepTicks is the number of ticks (Settings.Tick) between two sweeps.
	sweepTicks = 4
	// wakeToleranceDivisor is the sweep interval divided by the tolerance for early turns: a turn that comes earlier
	// than requested (Host.WakeAt) by at most this tolerance counts as the requested one, and the broker requests the
	// next one.
	wakeToleranceDivisor = 8
)

// Broker decides, for one process of the router, to which nodes the parts of its searches are sent, which parts are
// sent again, and when each search is answered, rejected or failed. It is not safe for concurrent use: all calls on it
// and on its searches come from one goroutine.
type Broker struct {
	// host carries out what the broker decides: it sends, cancels, answers and probes.
	host Host
	// now is the time, in seconds of the caller's clock, at which the current turn (BeginTurn to EndTurn) began.
	now float64
	// turn is the number of turns so far. Parts that are sent to a node in the same turn may share a call.
	turn int
	// random is the broker's source of random numbers from 0 to below 1.
	random random.Source
	// classes are the search classes in force, in the order of Settings.Classes.
	classes []*classState
	// nodes are all nodes that the node list of discovery has ever named, by index.
	nodes []nodeState
	// layout says which nodes hold which shards, according to the newest node list and settings. Changes of the node
	// list change it in place; settings with other shards or groups bring a new one.
	layout *shardLayout

	// oldestSearch is the head of the list of searches in progress, which Search.next links in order of arrival; nil
	// for none.
	oldestSearch *Search
	// newestSearch is the tail of the list of searches in progress, which Search.next links in order of arrival; nil
	// for none.
	newestSearch *Search
	// freeSearches are searches that have ended, with no attempt in flight, whose memory and slots are reused for the
	// next ones.
	freeSearches []*Search
	// slotCount is the number of different slots handed out so far, and the next new one. The slots of ended searches
	// are handed out again first.
	slotCount int
	// searchCount is the number of searches in progress.
	searchCount int
	// partsOfCall is, by the index searchPart.call, the number of parts in flight of each call.
	partsOfCall []int
	// freeCalls are the indices in partsOfCall whose calls have no part in flight any more, to be reused for the next
	// calls.
	freeCalls []int

	// maxPartsPerCall is the most parts that may share a call to a node (Settings.MaxPartsPerCall, at least 1).
	maxPartsPerCall int
	// canCancel says whether the host can cancel attempts in flight (Settings.CanCancel).
	canCancel bool
	// canProbe says whether the host can probe nodes (Settings.CanProbe).
	canProbe bool
	// maxRetryAfter is the longest delay, in seconds, that a rejected client is advised to wait
	// (Settings.MaxRetryAfter); 0 for no advice.
	maxRetryAfter float64

	// warmupTime is the time in seconds that a node counts as cold after its start; 0 if no node counts as cold
	// (Settings.WarmupTime).
	warmupTime float64
	// warmupStartShare is the share of its full capacity that a node has when it starts (Settings.WarmupStartShare).
	warmupStartShare float64
	// overloadWindow is the length in seconds of the sliding window in which the parts sent to a cold node are counted,
	// to limit them to what overloadMultiple allows (Settings.OverloadWindow).
	overloadWindow float64
	// overloadMultiple is the work that a cold node can take within one overloadWindow, as a multiple of what its
	// current capacity can process in that time (Settings.OverloadMultiple).
	overloadMultiple float64
	// warmCapacity is the estimated number of parts that one warm node can process for this broker in one
	// overloadWindow: the running mean, over the reviews, of the number that each warm and healthy node answered in it
	// on average, times capacityHeadroom. Reviews with few such nodes leave it as it is (warmNodesDivisor).
	warmCapacity float64

	// requests counts the searches and parts taken in within the retry budget's window: one for each call of AddSearch
	// and of AddPart. The budget allows retryBudgetMin retries plus retryBudgetShare for each request.
	requests slidingSum
	// retries counts the retries within the retry budget's window. Where new settings made the window longer,
	// retryBudgetMin was added to it once.
	retries slidingSum
	// movesInFlight counts the attempts that were cancelled to move their parts, and whose end has not been reported
	// yet. One retry of the retry budget is kept free for each.
	movesInFlight int
	// retryBudgetMin is the number of retries allowed within one retryBudgetWindow, in addition to those of
	// retryBudgetShare.
	retryBudgetMin float64
	// retryBudgetShare is the number of retries allowed for each search and each part taken in within one
	// retryBudgetWindow (requests), in addition to retryBudgetMin.
	retryBudgetShare float64
	// retryBudgetWindow is the length in seconds of the retry budget's sliding window, within which requests and
	// retries are counted.
	retryBudgetWindow float64

	// fleetQuotas are the dealers' quotas of all brokers together, in searches per second, by dealer (Settings.Quotas).
	fleetQuotas []float64
	// quotas are this broker's portions of the dealers' quotas, in searches per second, by dealer.
	quotas []float64
	// quotaTokens is, by dealer, the number of searches that the dealer could still request within its quota at the
	// time quotaTokensAt.
	quotaTokens []float64
	// quotaTokensAt is, by dealer, the time in seconds as of which quotaTokens holds.
	quotaTokensAt []float64
	// overQuotaUtility is the factor, 0 to 1, on the utility of a search beyond its dealer's quota.
	overQuotaUtility float64

	// meanUtility is the running mean of the utility of the searches for which shouldShed has computed a probability,
	// whether it shed them or not. The lower a search's utility is against it, the sooner the search is shed.
	meanUtility float64
	// meanUtilityCount is the number of searches in meanUtility, at most meanUtilityMaxCount; one divided by it is the
	// weight of the newest search.
	meanUtilityCount float64
	// shedScale is a factor on shedStartShare and shedAllShare, so that the lower it is, the more is shed. Missed
	// latency targets lower it, answers in time raise it, and each review moves it towards 1.
	shedScale float64

	// partsInFlight counts the parts in flight that are not hung. The concurrency limit bounds it.
	partsInFlight int
	// concurrencyLimit is the most that partsInFlight may be; waiting parts beyond it wait on. It need not be a whole
	// number, and is infinite until it is first lowered. adjustConcurrencyLimit raises and lowers it.
	concurrencyLimit float64
	// maxSearchParts is the largest number of parts that any search of this broker has had, in both steps together; the
	// concurrency limit stays at or above it, so that such a search can be sent at once.
	maxSearchParts float64
	// lateShare is the running share of late attempts among the ended ones that adjustConcurrencyLimit counts. Late are
	// those that took more than lateReplyTargetShare of their class's latency target or were refused by a full queue.
	// While it is above limitCutLateShare, late attempts lower the concurrency limit.
	lateShare float64
	// limitCutAt is the time in seconds when the concurrency limit was last lowered; minus infinity if it never was.
	limitCutAt float64

	// activeNodes is the number of nodes that were active in the node list at the last review; 0 before the first.
	activeNodes int
	// zoneFailureShares is, by zone, the running share of failures among the answers and failures of the zone's nodes.
	// Further failures of a node that has just failed do not count, and each review lowers the share.
	zoneFailureShares []float64
	// minZoneFailureShare is the smallest of zoneFailureShares at the last review. chooseNode avoids zones whose share
	// is well above it (zoneFailureMargin), so that failures that all zones have alike count against none.
	minZoneFailureShare float64
	// zoneGuard is the zone guard; nil if the settings have none.
	zoneGuard *zones.Guard
	// outcomesSinceReview counts the attempts that ended, and the parts of searches that were shed, since the last
	// review.
	outcomesSinceReview float64
	// outcomeRate is the running mean, over the reviews, of the number of outcomes (outcomesSinceReview) per second and
	// active node. The half-life follows from it.
	outcomeRate float64
	// reviewCount is the number of reviews of which outcomeRate is the mean, at most 1/outcomeRateWeight; one divided
	// by it is the weight of the newest review.
	reviewCount float64
	// halfLife is the time in seconds in which earlier observations of a node lose half of their weight; from
	// minHalfLife to maxHalfLife. Each review sets it; it is longer where attempts end less often
	// (outcomesPerHalfLife).
	halfLife float64
	// overdueShare is the running share of the parts that became overdue, among those that were answered or became
	// overdue. Index 1 is for parts sent over idle connections, index 0 for all others (searchPart.idleIndex): from the
	// difference the broker learns whether idle connections were dropped unnoticed (idleLossMargin).
	overdueShare [2]float64
	// medianFailureShare is the median of the active nodes' failure shares at the last review. A node well above it
	// (unhealthyMargin) becomes unhealthy.
	medianFailureShare float64
	// fleetPace is the running mean of the pace over the replies of all nodes, in seconds per part; 0 before the first.
	// Parts sent to nodes with few parts in flight (maxIdleParts) do not count.
	fleetPace float64
	// patience is the number of mean deviations (classState.replyTimeDeviation) beyond the usual reply time after which
	// an overdue part may be moved; from minPatience to maxPatience. Larger means that parts are moved later.
	patience float64

	// effectiveBrokers is 1 divided by this broker's share of what all brokers together may send to cold nodes: the
	// number of brokers that there would be if all had the same share. It is set by SetAllowance, and is
	// configuredBrokers without an allowance. It also divides the lower bound of the concurrency limit
	// (minPartsPerNode).
	effectiveBrokers float64
	// configuredBrokers is the number of brokers of the fleet (Settings.Brokers).
	configuredBrokers float64

	// shortestTarget is the shortest latency target of all classes, in seconds.
	shortestTarget float64
	// deadlineMargin is how many seconds before its client's deadline a search is ended.
	deadlineMargin float64
	// sweepInterval is the time in seconds between two sweeps.
	sweepInterval float64
	// nextSweepAt is the time of the next sweep, in seconds.
	nextSweepAt float64
	// nextReviewAt is the time in seconds of the next review.
	nextReviewAt float64
	// stalledFor is how many seconds after the requested time (wakeAt) the current turn began, if that was more than a
	// sweep interval, because the process stalled; 0 for other turns.
	stalledFor float64
	// wakeAt is the time, in seconds of the caller's clock, for which the host was last asked to run a turn
	// (Host.WakeAt).
	wakeAt float64

	// nodeListOnRequest says that the host only delivers the node list of discovery after Host.WatchNodeList was called
	// (Settings.NodeListOnRequest).
	nodeListOnRequest bool
	// watching says that the broker has subscribed to the node list (Host.WatchNodeList) and has not been told of a
	// failure of the subscription since (NodeListFailed).
	watching bool
	// nextWatchAt is the earliest time in seconds at which the broker subscribes to the node list again after its last
	// subscription failed.
	nextWatchAt float64
	// watchPause is the last delay, in seconds and before random variation, between a failure of the subscription to
	// the node list and the next subscription. It is not shortened again after a success.
	watchPause float64

	// scratch is a buffer that reviewNodes and shouldShed each fill with numbers of their own and sort, so that they
	// allocate no memory. Its content has no meaning after they return.
	scratch []float64
	// nodeCountedAt is, by node, the value of offsetsTried when chooseReplicaOffset last added the node's calls in
	// flight to a cost; 0 before the first. By it a node that several parts of a search would go to is added only once
	// for one offset.
	nodeCountedAt []int
	// offsetsTried is the number of replica offsets for which chooseReplicaOffset has computed a cost so far, the
	// present one included, for all searches together.
	offsetsTried int
}

// New makes a broker that acts through host, from the settings of its deployment. It returns an error if the
// settings, or those of the zone guard, are not valid.
func New(host Host, settings Settings) (*Broker, error) {
	broker := &Broker{
		host:              host,
		concurrencyLimit:  math.Inf(1),
		limitCutAt:        math.Inf(-1),
		shedScale:         1,
		halfLife:          1,
		retryBudgetWindow: math.Inf(1),
		overloadWindow:    settings.OverloadWindow,
		patience:          (minPatience + maxPatience) / 2,
		nodeListOnRequest: settings.NodeListOnRequest,
		layout:            &shardLayout{},
	}
	broker.sweepInterval = sweepTicks * settings.Tick
	broker.deadlineMargin = broker.sweepInterval + deadlineMarginTicks*settings.Tick
	broker.random.Seed(settings.Seed)
	if err := broker.ApplySettings(settings); err != nil {
		return nil, err
	}
	if settings.ZoneGuard != nil {
		config := *settings.ZoneGuard
		var err error
		// With the same seed the broker and the zone guard would draw the same numbers.
		config.Seed = settings.Seed ^ 1
		if broker.zoneGuard, err = zones.New(config); err != nil {
			return nil, err
		}
	}
	return broker, nil
}

// BeginTurn opens a turn: the caller then reports everything that has happened, and closes the turn with EndTurn. now
// is the current time, in seconds of the caller's clock.
func (b *Broker) BeginTurn(now float64) {
	b.turn++
	b.stalledFor = 0
	// A stall of this process, or of its machine, must not count as slowness of every node: replies had arrived, and
	// were not read.
	if b.now > 0 && now > b.wakeAt+b.sweepInterval {
		b.stalledFor = now - b.wakeAt
	}
	b.now = now
	if b.zoneGuard != nil {
		b.zoneGuard.RefillAllowances(now)
	}
}

// EndTurn closes a turn: it subscribes to the node list if that is due, runs the review of the nodes and the sweep if
// these are due, sends the waiting parts that may be sent, those of the oldest search first, and asks the host for the
// next turn, unless one is still to come.
func (b *Broker) EndTurn() {
	if b.nodeListOnRequest && !b.watching && b.now >= b.nextWatchAt {
		b.watching = true
		b.host.WatchNodeList()
	}
	if b.now >= b.nextReviewAt {
		b.reviewNodes()
	}
	if b.now >= b.nextSweepAt {
		b.sweep()
	}
	for search := b.oldestSearch; search != nil; {
		next := search.next
		if search.partsWaiting > 0 && !b.sendParts(search) {
			break
		}
		search = next
	}
	if b.wakeAt <= b.now+b.sweepInterval/wakeToleranceDivisor {
		b.wakeAt = b.now + b.sweepInterval
		b.host.WakeAt(b.wakeAt)
	}
}
