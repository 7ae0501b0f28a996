package faultcheck

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// isRefused reports whether the client can conclude that no part of its search ran: from the status (429 or 503), or because the connection
// on which it had written the complete request ended without a byte of an answer. Such an end is no refusal if the client, an injected link
// cut or a kill caused it, or if the broker cannot have read the request.
//
// For an incompletely written request it is not known which other deliveries the broker had received by then, so such a refusal isn't
// checked.
func (d *Delivery) isRefused() bool {
	if d.WrittenAt.IsZero() {
		return false
	}
	if d.Status == 0 {
		return !d.EndedAt.IsZero() && d.ClientClosedAt.IsZero() && d.LinkCutAt.IsZero() && !d.Unread && d.BrokerKilledAt.IsZero()
	}
	return d.Status == http.StatusTooManyRequests || d.Status == http.StatusServiceUnavailable
}

// checkRefusal checks that, if the delivery with this index belongs to a non-idempotent search and was refused, no part of the search may
// have run (RuleRefused).
func (c *checker) checkRefusal(deliveryIndex int) {
	delivery := &c.Deliveries[deliveryIndex]
	if !delivery.isRefused() {
		return
	}
	// If only the head of the answer came, the client knew of the refusal at WrittenAt at the earliest.
	toldAt := delivery.WrittenAt
	if delivery.EndedAt.After(toldAt) {
		toldAt = delivery.EndedAt
	}
	if c.termsAt(delivery, toldAt).effect != NonIdempotent {
		return
	}
	blamed, sameProcess := -1, false
	for _, i := range c.attemptsBySearch[delivery.Search] {
		if sameProcess || !c.contradictsRefusal(i, deliveryIndex) {
			continue
		}
		processes := c.processesOf(c.origins[i])
		if same := len(processes) == 1 && processes[0] == c.processes[deliveryIndex]; same || blamed < 0 {
			blamed, sameProcess = i, same
		}
	}
	if blamed < 0 {
		return
	}
	c.report(Violation{
		Rule: RuleRefused, Attempts: []int{blamed}, OtherBroker: !sameProcess,
		Detail: fmt.Sprintf("delivery %d ended with status %d, and %s may have run", deliveryIndex, delivery.Status, c.describe(blamed)),
	})
}

// contradictsRefusal reports whether an attempt proves a delivery's refusal wrong. It does if two things hold:
//   - The attempt may have run, or its node had not yet rejected it when the client read the refusal.
//   - It was caused by the delivery itself, or by one that was completely written before it. An attempt that a later delivery can have caused
//     proves nothing: the broker may have refused at any time after the request was completely written, and the client may have sent the
//     search again. A delivery that was answered by 409 causes no attempts.
func (c *checker) contradictsRefusal(attemptIndex, deliveryIndex int) bool {
	a, delivery := &c.Attempts[attemptIndex], &c.Deliveries[deliveryIndex]
	provenLate := a.neverRan() && !a.ArrivedAt.After(delivery.EndedAt) && a.EndedAt.After(delivery.EndedAt)
	if len(c.origins[attemptIndex]) == 0 || a.neverRan() && !provenLate {
		return false
	}
	return !slices.ContainsFunc(c.origins[attemptIndex], func(origin int) bool {
		other := &c.Deliveries[origin]
		return origin != deliveryIndex && other.Status != http.StatusConflict && other.WrittenAt.After(delivery.WrittenAt)
	})
}

// checkUnanswered checks that the delivery with this index was answered in time if the broker can have read the request (RuleUnanswered). A
// client that closed, a link that was cut, or a kill is an excuse only if it came before that time.
func (c *checker) checkUnanswered(deliveryIndex int) {
	delivery := &c.Deliveries[deliveryIndex]
	if delivery.WrittenAt.IsZero() || !delivery.Connected || delivery.Unread {
		return
	}
	limit := c.extendByPauses(delivery.Broker, delivery.deadline(), delivery.deadline().Add(c.Slack+schedulingAllowance))
	if kill := c.allowedKillTime(delivery); !kill.IsZero() && kill.Before(limit) {
		limit = kill
	}
	for _, excuse := range []time.Time{delivery.ClientClosedAt, delivery.LinkCutAt, delivery.BrokerKilledAt} {
		if !excuse.IsZero() && !excuse.After(limit) {
			return
		}
	}
	if delivery.Status != 0 && delivery.Complete && !delivery.EndedAt.IsZero() && !delivery.EndedAt.After(limit) {
		return
	}
	detail := fmt.Sprintf("delivery %d, status %d, complete %t", deliveryIndex, delivery.Status, delivery.Complete)
	if !delivery.EndedAt.IsZero() {
		detail += fmt.Sprintf(", ended %v after the request", delivery.EndedAt.Sub(delivery.WrittenAt))
	}
	c.reportDelivery(RuleUnanswered, deliveryIndex, detail)
}

// allowedKillTime returns the earliest time at which SIGKILL may be sent to the broker of a delivery after SIGTERM; zero if SIGTERM was
// not sent. The broker need not answer what is still unanswered then.
func (c *checker) allowedKillTime(d *Delivery) time.Time {
	for _, termination := range c.Terminations {
		if termination.Broker == d.Broker {
			return termination.At.Add(min(c.longestDeadline(d), maxDeadlineAtKill) + killDelay)
		}
	}
	return time.Time{}
}

// longestDeadline returns the longest deadline that the settings of a delivery's broker give any class.
func (c *checker) longestDeadline(d *Delivery) time.Duration {
	longest := time.Duration(0)
	for _, contract := range c.contractsAt(d.Broker, d.WrittenAt) {
		longest = max(longest, contract.LongestDeadline)
	}
	return longest
}

// extendByPauses returns limit, the latest time for the answer to a request, extended by the time after due for which the broker's process
// was stopped by SIGSTOP, in pauses that began by the limit. due is the deadline of the request, from which on the answer is late.
func (c *checker) extendByPauses(broker string, due, limit time.Time) time.Time {
	for _, pause := range c.Pauses {
		if pause.Broker != broker || pause.From.After(limit) || !pause.Until.After(due) {
			continue
		}
		from := pause.From
		if from.Before(due) {
			from = due
		}
		limit = limit.Add(pause.Until.Sub(from))
	}
	return limit
}

// reportDelivery reports a violation of a rule by a delivery as a whole, with Shard -1; detail describes it.
func (c *checker) reportDelivery(rule Rule, deliveryIndex int, detail string) {
	c.report(Violation{Rule: rule, Search: c.Deliveries[deliveryIndex].Search, Shard: -1, Detail: detail})
}

// checkAnswer checks the answer to the delivery with this index, if it was completely read and has status 200: its values (RuleValue), and
// whether they come from enough of the shards (RulePartial).
func (c *checker) checkAnswer(deliveryIndex int) {
	delivery := &c.Deliveries[deliveryIndex]
	if delivery.Status != http.StatusOK || !delivery.Complete {
		return
	}
	terms := c.answerTerms(delivery)
	if !c.checkValues(deliveryIndex, terms) {
		return
	}
	enough := terms.oneStep && c.firstStepSuffices(delivery, terms) || terms.fetchParts > 0 && c.secondStepSuffices(deliveryIndex, terms)
	if !enough {
		detail := fmt.Sprintf("delivery %d, marked whole %t, has shards %v", deliveryIndex, delivery.MarkedWhole, delivery.answeredShards())
		c.reportDelivery(RulePartial, deliveryIndex, detail)
	}
}

// checkValues checks the values in the answer to the delivery with this index: each must have been returned by a node, belong to a shard that
// the request names, and be the only one of its shard. terms say in which steps of the search values can have been returned. It reports the
// first value for which this is not so as a violation of RuleValue, and returns whether all values were right.
func (c *checker) checkValues(deliveryIndex int, terms terms) bool {
	delivery := &c.Deliveries[deliveryIndex]
	seen := map[int]bool{}
	for _, value := range delivery.Values {
		why := ""
		switch {
		case !delivery.requestsShard(value.Shard):
			why = "is of a shard that the request doesn't name"
		case seen[value.Shard]:
			why = "is the second one of its shard"
		case !(terms.oneStep && c.givenByNode(delivery, value, false)) && !(terms.fetchParts > 0 && c.givenByNode(delivery, value, true)):
			why = "was given by no node"
		}
		if why != "" {
			detail := fmt.Sprintf("delivery %d: value %q %s", deliveryIndex, value.Item, why)
			c.report(Violation{Rule: RuleValue, Search: delivery.Search, Shard: value.Shard, Detail: detail})
			return false
		}
		seen[value.Shard] = true
	}
	return true
}

// givenByNode reports whether an attempt of the delivery's search had returned the value before the delivery's answer ended: an attempt of
// the second step if secondStep is set, else of the first.
func (c *checker) givenByNode(d *Delivery, value Value, secondStep bool) bool {
	return len(c.attemptsGiving(d, value, secondStep)) > 0
}

// attemptsGiving returns the indices of the attempts of the delivery's search that returned the value before the delivery's answer ended:
// those of the second step if secondStep is set, else those of the first.
func (c *checker) attemptsGiving(d *Delivery, value Value, secondStep bool) []int {
	var attempts []int
	for _, i := range c.attemptsByPart[part{d.Search, value.Shard, secondStep}] {
		if a := &c.Attempts[i]; a.hitBy(d.EndedAt) && a.Value == value.Item {
			attempts = append(attempts, i)
		}
	}
	return attempts
}

// answeredShards returns the shards whose values are in an answer.
func (d *Delivery) answeredShards() []int {
	var shards []int
	for _, value := range d.Values {
		shards = append(shards, value.Shard)
	}
	return shards
}

// totalShare returns the sum of the shares, each from 0 to 1, that the given shards have of the delivery's whole answer. Shards that the
// request does not name have none.
func (d *Delivery) totalShare(shards []int) float64 {
	share := 0.0
	for _, shard := range shards {
		share += max(0, d.shareOf(shard))
	}
	return share
}

// firstStepSuffices reports whether the answer, which is made from the search's first step alone, comes from enough of the shards: together
// these must have at least the share terms.minShare of the whole answer, and for an answer marked whole also terms.wholeShare.
func (c *checker) firstStepSuffices(d *Delivery, terms terms) bool {
	share := d.totalShare(d.answeredShards())
	return share >= terms.minShare-shareAllowance && (!d.MarkedWhole || share >= terms.wholeShare-shareAllowance)
}

// secondStepSuffices reports whether the answer to the delivery with this index, of a search with two steps, comes from enough of the
// shards. It looks at two shares:
//   - firstStep, the share of the whole answer that belongs to the shards whose first-step answers the broker had. Of the shares that the
//     attempts behind the answer's values state, it is the largest.
//   - secondStep, the number of shards with a value in the answer, divided by the number of shards that the second step requested. A shard
//     counts as requested if it was certainly requested for this delivery or has a value in its answer.
//
// For an answer marked whole, firstStep must be at least terms.wholeShare, and every requested shard must have a value. For any other answer
// both shares must be at least terms.minShare.
func (c *checker) secondStepSuffices(deliveryIndex int, terms terms) bool {
	delivery := &c.Deliveries[deliveryIndex]
	requested := c.secondStepShardsOf(deliveryIndex)
	firstStep := 0.0
	for _, value := range delivery.Values {
		if !slices.Contains(requested, value.Shard) {
			requested = append(requested, value.Shard)
		}
		for _, i := range c.attemptsGiving(delivery, value, true) {
			firstStep = max(firstStep, delivery.totalShare(c.Attempts[i].FirstStepShards))
		}
	}
	secondStep := float64(len(delivery.Values)) / float64(max(1, len(requested)))
	if delivery.MarkedWhole {
		return firstStep >= terms.wholeShare-shareAllowance && len(delivery.Values) == len(requested)
	}
	return min(firstStep, secondStep) >= terms.minShare-shareAllowance
}

// secondStepShardsOf returns the shards, each once, of second-step attempts that arrived before the end of the answer to the delivery with
// this index and which no other delivery can have caused.
func (c *checker) secondStepShardsOf(deliveryIndex int) []int {
	d := &c.Deliveries[deliveryIndex]
	var shards []int
	for _, i := range c.attemptsBySearch[d.Search] {
		a := &c.Attempts[i]
		onlyOrigin := len(c.origins[i]) == 1 && c.origins[i][0] == deliveryIndex
		if onlyOrigin && a.SecondStep && !a.ArrivedAt.After(d.EndedAt) && !slices.Contains(shards, a.Shard) {
			shards = append(shards, a.Shard)
		}
	}
	return shards
}
