package faultcheck

import (
	"fmt"
	"slices"
	"time"
)

// checkAttempt checks one attempt that a client requested by all rules for single attempts: repeats, overlap and number of attempts of its
// part, arrival after the search's end, stated wait, and placement.
func (c *checker) checkAttempt(attemptIndex int) {
	c.checkRepeat(attemptIndex)
	c.checkConcurrentAttempts(attemptIndex)
	c.checkCount(attemptIndex)
	c.checkAfterEnd(attemptIndex)
	c.checkDeadline(attemptIndex)
	c.checkPlacement(attemptIndex)
}

// checkRepeat checks that no earlier attempt of a non-idempotent part may have run (RuleRepeated), and for an idempotency-keyed class, that
// no earlier attempt that may have run arrived longer ago than the window plus Contract.Slack (RuleKeyWindow).
func (c *checker) checkRepeat(attemptIndex int) {
	arrived, terms := c.Attempts[attemptIndex].ArrivedAt, c.attemptTerms(attemptIndex)
	mayHaveRun := func(earlier *Attempt) bool { return !earlier.provenNotRunBy(arrived) }
	switch terms.effect {
	case NonIdempotent:
		c.reportEarlier(RuleRepeated, attemptIndex, mayHaveRun)
	case IdempotencyKey:
		limit := terms.window + c.Slack
		c.reportEarlier(RuleKeyWindow, attemptIndex, func(earlier *Attempt) bool {
			return mayHaveRun(earlier) && arrived.Sub(earlier.ArrivedAt) > limit
		})
	}
}

// checkConcurrentAttempts checks that no earlier attempt of the same part is still in flight when the attempt arrives, unless the settings
// allow second copies (RuleConcurrentAttempts). Where an attempt's arrival is not dated exactly, it reports what holds for every time at
// which the attempt may have arrived.
func (c *checker) checkConcurrentAttempts(attemptIndex int) {
	if c.attemptTerms(attemptIndex).secondCopies {
		return
	}
	attempt := &c.Attempts[attemptIndex]
	from := attempt.overlapsFrom()
	c.reportEarlier(RuleConcurrentAttempts, attemptIndex, func(earlier *Attempt) bool {
		return earlier.inFlightAt(from, c.Slack) && !attempt.mayHaveEndedBefore(earlier, c.Slack)
	})
}

// reportEarlier reports a violation by the attempt together with an earlier attempt of its part for which breaks returns true, if there
// is one. Of several it names the first that certainly comes from the same process, or the first of all if there is none.
func (c *checker) reportEarlier(rule Rule, attemptIndex int, breaks func(earlier *Attempt) bool) {
	blamed, sameProcess := -1, false
	for _, earlier := range c.earlierAttempts[attemptIndex] {
		if !breaks(&c.Attempts[earlier]) || sameProcess {
			continue
		}
		if same := c.sameProcess(earlier, attemptIndex); same || blamed < 0 {
			blamed, sameProcess = earlier, same
		}
	}
	if blamed < 0 {
		return
	}
	after := c.Attempts[attemptIndex].ArrivedAt.Sub(c.Attempts[blamed].ArrivedAt)
	c.report(Violation{
		Rule: rule, Attempts: []int{blamed, attemptIndex}, OtherBroker: !sameProcess,
		Detail: fmt.Sprintf("%s arrived %v after %s", c.describe(attemptIndex), after, c.describe(blamed)),
	})
}

// checkCount checks that there are no more attempts of a part, up to this one, than the settings allow for all deliveries together that may
// have caused them (RuleAttempts).
func (c *checker) checkCount(attemptIndex int) {
	attempts := append(slices.Clone(c.earlierAttempts[attemptIndex]), attemptIndex)
	deliveries := len(c.originsOfAll(attempts))
	allowed := c.attemptTerms(attemptIndex).maxAttempts * deliveries
	if len(attempts) > allowed {
		c.report(Violation{
			Rule: RuleAttempts, Attempts: attempts,
			Detail: fmt.Sprintf("%d attempts, %d allowed to %d deliveries", len(attempts), allowed, deliveries),
		})
	}
}

// checkAfterEnd checks that the attempt arrived while at least one delivery that may have caused it was still waiting for its answer: not
// after the time that lastAttemptTime returns for the delivery (RuleAfterAnswer, RuleAfterClientClosed).
func (c *checker) checkAfterEnd(attemptIndex int) {
	arrived := c.Attempts[attemptIndex].ArrivedAt
	var last time.Time
	var broken Rule
	for _, d := range c.origins[attemptIndex] {
		limit, rule := c.lastAttemptTime(&c.Deliveries[d])
		if limit.IsZero() || !arrived.After(limit) {
			return
		}
		if limit.After(last) {
			last, broken = limit, rule
		}
	}
	c.report(Violation{
		Rule: broken, Attempts: []int{attemptIndex},
		Detail: fmt.Sprintf("%s arrived %v after the last moment at which one may", c.describe(attemptIndex), arrived.Sub(last)),
	})
}

// lastAttemptTime returns the latest time at which an attempt of a delivery may arrive, and the rule that a later one breaks. limit is
// zero, and broken empty, while the client waits. A client's close, or the connection's end, is as final as an answer.
func (c *checker) lastAttemptTime(d *Delivery) (limit time.Time, broken Rule) {
	if !d.ClientClosedAt.IsZero() {
		limit, broken = d.ClientClosedAt.Add(clientClosedAllowance), RuleAfterClientClosed
	}
	if ended := d.EndedAt.Add(c.Slack); !d.EndedAt.IsZero() && (limit.IsZero() || ended.Before(limit)) {
		limit, broken = ended, RuleAfterAnswer
	}
	return limit, broken
}

// checkPlacement checks that the attempt went to a node that holds its shard, by any contract that was in force since the search's
// delivery, and any replica group that discovery has listed the node with (RulePlacement).
func (c *checker) checkPlacement(attemptIndex int) {
	attempt := &c.Attempts[attemptIndex]
	for _, d := range c.origins[attemptIndex] {
		for _, contract := range c.contractsBetween(c.Deliveries[d].Broker, c.Deliveries[d].WrittenAt, attempt.ArrivedAt) {
			if slices.ContainsFunc(c.ListedGroups[attempt.Node], func(group int) bool { return contract.groupHolds(group, attempt.Shard) }) {
				return
			}
		}
	}
	c.report(Violation{
		Rule: RulePlacement, Attempts: []int{attemptIndex},
		Detail: fmt.Sprintf("%s, which was listed with the replica groups %v", c.describe(attemptIndex), c.ListedGroups[attempt.Node]),
	})
}

// groupHolds reports whether the nodes of a replica group hold a shard; both are given by their numbers (see Contract.Groups).
func (c *Contract) groupHolds(group, shard int) bool {
	for offset := range c.GroupsPerShard {
		if (shard+offset)%c.Groups == group {
			return true
		}
	}
	return false
}

// checkDeadline checks that the wait which the attempt states to its node exceeds the time left to the client with the latest deadline by
// no more than deadlineAllowance (RuleDeadline).
func (c *checker) checkDeadline(attemptIndex int) {
	attempt := &c.Attempts[attemptIndex]
	var deadline time.Time
	for _, d := range c.origins[attemptIndex] {
		if candidate := c.Deliveries[d].deadline(); candidate.After(deadline) {
			deadline = candidate
		}
	}
	if left := deadline.Sub(attempt.ArrivedAt); attempt.BrokerWait > left+deadlineAllowance {
		c.report(Violation{
			Rule: RuleDeadline, Attempts: []int{attemptIndex},
			Detail: fmt.Sprintf("%s states a wait of %v where the client has %v left", c.describe(attemptIndex), attempt.BrokerWait, left),
		})
	}
}

// deadline returns the time at which the client stops waiting: Timeout after the request was completely written.
func (d *Delivery) deadline() time.Time { return d.WrittenAt.Add(d.Timeout) }

// checkSecondSteps checks that the second step of each search requests no more shards than the FetchParts of its class allow to all
// deliveries together that may have caused it (RuleUnrequested).
func (c *checker) checkSecondSteps() {
	// firstAttempts holds, by search id, the index of the first second-step attempt at each shard.
	firstAttempts := map[string][]int{}
	for _, i := range c.attemptsByArrival() {
		attempt := &c.Attempts[i]
		if !attempt.SecondStep || len(c.origins[i]) == 0 || slices.ContainsFunc(firstAttempts[attempt.Search], c.isForShard(attempt.Shard)) {
			continue
		}
		firstAttempts[attempt.Search] = append(firstAttempts[attempt.Search], i)
		allowed := c.attemptTerms(i).fetchParts * len(c.originsOfAll(firstAttempts[attempt.Search]))
		if shards := len(firstAttempts[attempt.Search]); shards > allowed {
			c.report(Violation{
				Rule: RuleUnrequested, Attempts: slices.Clone(firstAttempts[attempt.Search]),
				Detail: fmt.Sprintf("%d shards asked in the second step, %d allowed", shards, allowed),
			})
		}
	}
}

// isForShard returns a function that reports whether the attempt with the given index is for the shard.
func (c *checker) isForShard(shard int) func(attemptIndex int) bool {
	return func(attemptIndex int) bool { return c.Attempts[attemptIndex].Shard == shard }
}
