package balance

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"brackenfront/zones"
)

// This file has what the deployment configures of a broker, its validation, and the change to other settings while
// searches are in progress.

// initialWorkTargetShare is the first estimate of the work of a part, as a share of its class's latency target; replies
// then change the estimate.
const initialWorkTargetShare = 0.08

// SearchClass is what the deployment configures of one class of searches: their latency target and timeout, what an
// answer is worth, which answers count as complete, and whether parts may run twice.
type SearchClass struct {
	// Name identifies the class: a class of later settings with the same name is the same class, also if settings
	// between them did not have it. It is unique within Settings.Classes.
	Name string
	// LatencyTarget is the time in seconds after a request's arrival beyond which the utility of its answer is
	// multiplied by LateUtility.
	LatencyTarget float64
	// Timeout is the time in seconds that a client of this class waits for its answer. Searches end by the time left
	// that AddSearch is given; Timeout only serves to compute how much of its latency target a repeat has left.
	Timeout float64
	// RepeatWindow is the time in seconds after the first send within which nodes recognise the repeat of an attempt by
	// its idempotency key. It is only used with the effect IdempotencyKeyed.
	RepeatWindow float64
	// Utility is what a complete answer within the latency target is worth, in any unit that all classes share: only
	// the ratios between classes matter.
	Utility float64
	// LateUtility is the factor, 0 to 1, on the utility of an answer after the latency target; 0 if a late answer is
	// worth nothing.
	LateUtility float64
	// Effect says whether a part of this class may run twice without harm.
	Effect Effect
	// CompleteShare is the share of the weight of a search's first or only step that must be answered for the step's
	// answer to be complete. A second step is complete only once all of its parts are answered.
	CompleteShare float64
	// MinShare is the least share of the weight of a search's last step that must be answered for a partial answer, one
	// that is not complete. Partial answers are given only if it is below CompleteShare.
	MinShare float64
	// PartialUtility is the factor, 0 to 1, on the utility of an answer that is not marked complete.
	PartialUtility float64
	// FetchParts is the number of parts of the second step; 0 if there is none.
	FetchParts int
}

// Settings is what the deployment configures of a broker: the search classes, the quotas and limits, and which nodes
// hold which shards.
type Settings struct {
	// Seed seeds the broker's random numbers.
	Seed uint64
	// Brokers is the number of brokers of the fleet. The dealers' quotas, and what cold nodes can process, are divided
	// among them.
	Brokers int
	// Tick is a time in seconds from which the broker derives its intervals: four ticks from one sweep to the next, and
	// three more as a margin before a client's deadline.
	Tick float64
	// Classes are the search classes; a class's index in this list stands for it elsewhere, as in AddSearch, until other
	// settings are applied.
	Classes []SearchClass
	// Quotas are the dealers' quotas of all brokers together, in searches per second, by dealer. Dealers are the customers
	// that searches are made for.
	Quotas []float64
	// OverQuotaUtility is the factor, 0 to 1, on the utility of a search beyond its dealer's quota.
	OverQuotaUtility float64
	// Groups is the number of replica groups; the nodes of one group hold the same shards.
	Groups int
	// GroupsPerShard is the number of consecutive replica groups whose nodes hold a shard: shard s is held by the
	// groups s, s+1 and so on, counted modulo Groups.
	GroupsPerShard int
	// Shards is the number of shards, the pieces into which the searched data is divided.
	Shards int
	// MaxPartsPerCall is the most parts that may share a call to a node; further ones go into another call. Values
	// below 1 count as 1.
	MaxPartsPerCall int
	// MaxAttempts is the most attempts of a part, the first one included. A part whose last one ends without an answer
	// has failed.
	MaxAttempts int
	// CanCancel says whether the host can cancel attempts in flight (Host.Cancel). If not, overdue parts are not moved,
	// and the attempts of idempotent and idempotency-keyed classes have a timeout instead (attemptTargetShare).
	CanCancel bool
	// CanProbe says whether the host can test a node with a health probe (Host.Probe). If not, an unhealthy node is
	// sent a trial part without a probe before it.
	CanProbe bool
	// MaxRetryAfter is the longest time in seconds that a rejected client is advised to wait before it repeats its
	// request; the advice is a random time from half of it on. 0 for no advice.
	MaxRetryAfter float64
	// NodeListOnRequest says that the host only delivers the node list of discovery after the broker has called
	// Host.WatchNodeList.
	NodeListOnRequest bool
	// WarmupTime is the time in seconds that a node counts as cold after its start; 0 if no node counts as cold.
	WarmupTime float64
	// WarmupStartShare is the share of its full capacity that a node has when it starts. The share grows evenly to 1
	// over WarmupTime.
	WarmupStartShare float64
	// OverloadWindow is the length in seconds of the sliding window in which the parts sent to a cold node are counted.
	OverloadWindow float64
	// OverloadMultiple is the work that a cold node can take within one OverloadWindow, as a multiple of what its
	// current capacity can process in that time.
	OverloadMultiple float64
	// RetryBudgetMin is the number of retries allowed within RetryBudgetWindow in addition to those of
	// RetryBudgetShare.
	RetryBudgetMin float64
	// RetryBudgetShare is the number of retries allowed for each search and each part taken in within
	// RetryBudgetWindow. One budget holds for the whole broker; a retry beyond it waits until the budget allows it or
	// its search ends.
	RetryBudgetShare float64
	// RetryBudgetWindow is the length in seconds of the sliding window in which the retry budget counts the searches
	// and parts taken in and the retries; 0 if no budget is configured, in which case the broker uses the constants
	// defaultRetryMin, defaultRetryShare and defaultRetryWindow.
	RetryBudgetWindow float64
	// ZoneGuard configures the zone guard; nil for none.
	ZoneGuard *zones.Config
}

// classState is what the broker keeps of one search class: its settings, and what it learned from replies.
type classState struct {
	// name identifies the class across settings (SearchClass.Name).
	name string
	// latencyTarget is the time in seconds after a request's arrival beyond which its answer is late
	// (SearchClass.LatencyTarget).
	latencyTarget float64
	// repeatWindow is the time in seconds within which nodes recognise a repeated attempt: SearchClass.RepeatWindow, or
	// the shorter one of later settings. It only counts with the effect IdempotencyKeyed.
	repeatWindow float64
	// utility is what a complete answer within the latency target is worth (SearchClass.Utility).
	utility float64
	// lateUtility is the factor, 0 to 1, on the utility of an answer after the latency target
	// (SearchClass.LateUtility).
	lateUtility float64
	// completeShare is the share of the weight of a search's first or only step that must be answered for the step's
	// answer to be complete (SearchClass.CompleteShare).
	completeShare float64
	// minShare is the least share of the weight of a search's last step that must be answered for a partial answer
	// (SearchClass.MinShare).
	minShare float64
	// partialUtility is the factor, 0 to 1, on the utility of an answer that is not complete
	// (SearchClass.PartialUtility).
	partialUtility float64
	// timeAfterTarget is the time in seconds between the latency target and the client's timeout (SearchClass.Timeout
	// minus SearchClass.LatencyTarget).
	timeAfterTarget float64
	// firstRequestTimeLeft is the time in seconds that is usually left to a client's deadline when it requests a search
	// of this class for the first time. AddSearch learns it as the most frequent time left among all requests, and
	// takes a request with less time left for a repeat.
	firstRequestTimeLeft float64
	// firstRequestVotes is the counter of the majority vote that finds firstRequestTimeLeft: each request with about
	// that time left adds 1, each other one subtracts 1, and below 0 the time left of the newest request takes its
	// place.
	firstRequestVotes float64
	// fetchParts is the number of parts of the second step; 0 if there is none (SearchClass.FetchParts).
	fetchParts int
	// maxAttempts is the most attempts that a part may have, the first one included: Settings.MaxAttempts, or that of
	// later settings, if lower, that were applied while searches of the class were in progress.
	maxAttempts int
	// effect says whether a part may run twice without harm: SearchClass.Effect, or the stricter one of later settings.
	effect Effect
	// partWork is the estimated work of a part of this class, in seconds and without waits: a low quantile of the reply
	// times. It begins at initialWorkTargetShare of the latency target, and each reply changes it (workRise, workFall).
	partWork float64
	// usualReplyTime is the usual reply time of this class, in seconds; 0 before the first answer.
	usualReplyTime float64
	// replyTimeDeviation is the mean deviation from usualReplyTime, in seconds; 0 before the first answer.
	replyTimeDeviation float64
}

// Validate checks the settings. It returns an error that says what is missing or contradictory, or nil.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("no search classes")
	case s.Groups < 1 || s.Shards < 1 || s.GroupsPerShard < 1 || s.GroupsPerShard > s.Groups:
		return errors.New("cells, reach and shards do not make a layout")
	case s.Brokers < 1 || s.MaxAttempts < 1:
		return errors.New("brokers and tries must be at least 1")
	case s.WarmupTime > 0 &&
		(s.WarmupStartShare <= 0 || s.WarmupStartShare > 1 || s.OverloadWindow <= 0 || s.OverloadMultiple <= 0):
		return errors.New("the settings for cold nodes contradict each other")
	}
	names := map[string]bool{}
	for _, class := range s.Classes {
		if names[class.Name] {
			return fmt.Errorf("two search classes have the name %q", class.Name)
		}
		names[class.Name] = true
		if class.LatencyTarget <= 0 || class.Timeout <= 0 || class.CompleteShare <= 0 || class.CompleteShare > 1 ||
			class.MinShare > class.CompleteShare {
			return errors.New("a search class's latency target, timeout or shares make no sense")
		}
	}
	return nil
}

// ApplySettings replaces the settings in force, or returns an error and changes nothing if the new ones are not valid.
// Searches in progress keep the settings that were in force when they arrived, and the nodes that held their shards
// then, except where new settings allow fewer attempts or repeats. What was learned of the reply times and work of a
// class is kept if the settings before had a class of its name. The dealers' quotas begin anew, and an allowance ends
// (SetAllowance). Seed, Tick, NodeListOnRequest and ZoneGuard stay as they were given to New. If the layout differs, a
// call of UpdateNodes has to follow.
func (b *Broker) ApplySettings(settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	b.restrictSearchesInProgress(settings)
	b.applyClasses(settings)
	b.maxPartsPerCall = max(settings.MaxPartsPerCall, 1)
	b.canCancel = settings.CanCancel
	b.canProbe = settings.CanProbe
	b.maxRetryAfter = settings.MaxRetryAfter
	b.overQuotaUtility = settings.OverQuotaUtility
	b.effectiveBrokers = float64(settings.Brokers)
	b.warmupTime = settings.WarmupTime
	b.warmupStartShare = settings.WarmupStartShare
	b.overloadMultiple = settings.OverloadMultiple
	b.configuredBrokers = b.effectiveBrokers
	b.applyQuotas(settings)
	b.applyRetryBudget(settings)
	b.applyOverloadWindow(settings.OverloadWindow)
	if layout := b.layout; len(layout.holders) != settings.Shards || len(layout.groupMembers) != settings.Groups ||
		layout.groupsPerShard != settings.GroupsPerShard {
		b.layout = &shardLayout{
			holders:        make([][]int, settings.Shards),
			groupMembers:   make([][]int, settings.Groups),
			groupsPerShard: settings.GroupsPerShard,
		}
		b.fillLayout()
	}
	return nil
}

// applyClasses replaces the search classes in force by those of the settings. What was learned of reply times and work
// is copied from the class in force that has the same name, if there is one.
func (b *Broker) applyClasses(settings Settings) {
	var classes []*classState
	shortestTarget := math.Inf(1)
	for _, configured := range settings.Classes {
		class := &classState{
			name:            configured.Name,
			latencyTarget:   configured.LatencyTarget,
			repeatWindow:    configured.RepeatWindow,
			utility:         configured.Utility,
			lateUtility:     configured.LateUtility,
			timeAfterTarget: configured.Timeout - configured.LatencyTarget,
			completeShare:   configured.CompleteShare,
			minShare:        configured.MinShare,
			partialUtility:  configured.PartialUtility,
			fetchParts:      configured.FetchParts,
			maxAttempts:     settings.MaxAttempts,
			effect:          configured.Effect,
			partWork:        initialWorkTargetShare * configured.LatencyTarget,
		}
		sameName := func(previous *classState) bool { return previous.name == class.name }
		if i := slices.IndexFunc(b.classes, sameName); i >= 0 {
			previous := b.classes[i]
			class.partWork = previous.partWork
			class.usualReplyTime = previous.usualReplyTime
			class.replyTimeDeviation = previous.replyTimeDeviation
		}
		classes = append(classes, class)
		shortestTarget = min(shortestTarget, configured.LatencyTarget)
	}
	b.classes = classes
	b.shortestTarget = shortestTarget
}

// restrictSearchesInProgress makes the searches in progress keep to new settings where these allow fewer attempts or
// fewer repeats than the ones they came under. A class is found by its name, so that new settings also hold for searches
// of a class that earlier ones did not have.
func (b *Broker) restrictSearchesInProgress(settings Settings) {
	done := map[*classState]bool{}
	for search := b.oldestSearch; search != nil; search = search.next {
		class := search.class
		if done[class] {
			continue
		}
		done[class] = true
		class.maxAttempts = min(class.maxAttempts, settings.MaxAttempts)
		sameName := func(configured SearchClass) bool { return configured.Name == class.name }
		if i := slices.IndexFunc(settings.Classes, sameName); i >= 0 {
			class.restrict(settings.Classes[i].Effect, settings.Classes[i].RepeatWindow)
		}
	}
}

// restrict applies the effect, and the repeat window in seconds, of later settings to a class, where they are stricter
// than its own. A part that may have run while a repeat was configured as harmless is not repeated once the settings
// say otherwise; settings that allow more change nothing.
func (c *classState) restrict(effect Effect, repeatWindow float64) {
	if effect == IdempotencyKeyed &&
		(c.effect == Idempotent || c.effect == IdempotencyKeyed && repeatWindow < c.repeatWindow) {
		c.repeatWindow = repeatWindow
	}
	c.effect = max(c.effect, effect)
}
