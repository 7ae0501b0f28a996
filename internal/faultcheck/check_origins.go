package faultcheck

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Attempts carry their search's id and nothing of the delivery that caused them. The checker concludes only what holds in any case:
//
//   - An attempt is caused by a delivery of its search that was completely written before the attempt arrived, and that requested the
//     same shard with the same text.
//   - A delivery that had ended before the attempt arrived, or was answered by 409, caused it only if no other delivery can have.
//   - A delivery goes to one process of its broker: a broker that is killed and started again is another process.
//   - All attempts on one connection come from one process. An attempt that only one process can have caused therefore shows the process
//     of all of them.
//
// Two attempts are of the same process if they share a connection or if one process alone can have caused both. In all other
// cases they may be of two processes that know nothing of one another, and a violation is marked OtherBroker.

// processID identifies one process of a broker by the number of times that the broker was killed before the process started.
type processID struct {
	// broker is the broker's name, as in Delivery.Broker.
	broker string
	// earlierKills is how often the broker had been killed before the process started.
	earlierKills int
}

// processesOfDeliveries returns, by delivery index, the process that received the delivery.
func processesOfDeliveries(h *History) []processID {
	kills := killTimes(h)
	processes := make([]processID, len(h.Deliveries))
	for i := range h.Deliveries {
		d := &h.Deliveries[i]
		processes[i].broker = d.Broker
		for _, kill := range kills[d.Broker] {
			// A delivery that a kill left unanswered went to the killed process, even if the client still wrote for a moment after the kill.
			if !d.BrokerKilledAt.IsZero() && kill.Before(d.BrokerKilledAt) || d.BrokerKilledAt.IsZero() && !kill.After(d.WrittenAt) {
				processes[i].earlierKills++
			}
		}
	}
	return processes
}

// killTimes returns, by the broker's name, the times at which its processes were killed. A kill may be listed twice; this does no harm,
// because both entries divide the broker's deliveries between its processes in the same way.
func killTimes(history *History) map[string][]time.Time {
	kills := map[string][]time.Time{}
	add := func(broker string, at time.Time) {
		if !at.IsZero() {
			kills[broker] = append(kills[broker], at)
		}
	}
	for _, kill := range history.Kills {
		add(kill.Broker, kill.At)
	}
	for i := range history.Deliveries {
		add(history.Deliveries[i].Broker, history.Deliveries[i].BrokerKilledAt)
	}
	return kills
}

// findOrigins returns, by attempt index, the indices of the deliveries that may have caused the attempt.
func (c *checker) findOrigins() [][]int {
	origins := make([][]int, len(c.Attempts))
	// possibleOwners holds, by connection, the processes that can have sent every attempt on it.
	possibleOwners := map[string][]processID{}
	for i := range c.Attempts {
		origins[i] = c.matchingDeliveries(i)
		connection := c.Attempts[i].Connection
		if len(origins[i]) == 0 || connection == "" {
			continue
		}
		possible := c.processesOf(origins[i])
		if known, ok := possibleOwners[connection]; ok {
			possible = slices.DeleteFunc(possible, func(p processID) bool { return !slices.Contains(known, p) })
		}
		possibleOwners[connection] = possible
	}
	for i := range origins {
		known := possibleOwners[c.Attempts[i].Connection]
		if len(known) == 0 {
			continue
		}
		origins[i] = slices.DeleteFunc(origins[i], func(d int) bool { return !slices.Contains(known, c.processes[d]) })
	}
	for i := range origins {
		origins[i] = c.activeDeliveries(origins[i], c.Attempts[i].ArrivedAt)
	}
	return origins
}

// activeDeliveries returns those of the deliveries, given by their indices, that can still cause attempts at the given time, or all of them
// if none can. A delivery that has ended, or whose search the broker rejected by 409, can cause none.
func (c *checker) activeDeliveries(deliveries []int, at time.Time) []int {
	var active []int
	for _, d := range deliveries {
		limit, _ := c.lastAttemptTime(&c.Deliveries[d])
		if c.Deliveries[d].Status != http.StatusConflict && (limit.IsZero() || !at.After(limit)) {
			active = append(active, d)
		}
	}
	if len(active) == 0 {
		return deliveries
	}
	return active
}

// processesOf returns the processes that received the deliveries with the given indices, each process once.
func (c *checker) processesOf(deliveries []int) []processID {
	var processes []processID
	for _, d := range deliveries {
		if !slices.Contains(processes, c.processes[d]) {
			processes = append(processes, c.processes[d])
		}
	}
	return processes
}

// matchingDeliveries returns the indices of the deliveries that requested the part that an attempt is for.
func (c *checker) matchingDeliveries(attemptIndex int) []int {
	var deliveries []int
	for _, d := range c.deliveriesBySearch[c.Attempts[attemptIndex].Search] {
		if c.mismatch(attemptIndex, d) == "" {
			deliveries = append(deliveries, d)
		}
	}
	return deliveries
}

// mismatch returns, as text for a violation's Detail, why a delivery cannot have caused an attempt; "" if it can.
func (c *checker) mismatch(attemptIndex, deliveryIndex int) string {
	attempt, delivery := &c.Attempts[attemptIndex], &c.Deliveries[deliveryIndex]
	switch {
	case delivery.WrittenAt.IsZero():
		return "the request was never written whole"
	case delivery.Ambiguous:
		return "the request can be read in two ways"
	case delivery.WrittenAt.After(attempt.ArrivedAt):
		return fmt.Sprintf("the request was whole %v later", delivery.WrittenAt.Sub(attempt.ArrivedAt))
	case delivery.Text != attempt.Text:
		return fmt.Sprintf("text %q of the request is %q", delivery.Text, attempt.Text)
	case attempt.SecondStep:
		return c.secondStepMismatch(attempt, delivery)
	case !delivery.requestsShard(attempt.Shard):
		return "the request doesn't name the shard"
	}
	return ""
}

// secondStepMismatch returns, as text for a violation's Detail, why a delivery cannot have caused an attempt of the second step; "" if it
// can.
func (c *checker) secondStepMismatch(attempt *Attempt, delivery *Delivery) string {
	fetch := c.termsAt(delivery, attempt.ArrivedAt).fetchParts
	if fetch == 0 {
		return "the class has no second step"
	}
	if !slices.Contains(attempt.FirstStepShards, attempt.Shard) {
		return "the shard isn't among those that answered the first step"
	}
	for _, shard := range attempt.FirstStepShards {
		if !delivery.requestsShard(shard) || !c.hasHit(part{attempt.Search, shard, false}, attempt.ArrivedAt) {
			return fmt.Sprintf("shard %d, said to have answered the first step, gave no hit", shard)
		}
	}
	if better := c.shardsScoringAbove(attempt); len(better) >= fetch {
		return fmt.Sprintf("shards %v, which answered the first step, scored higher", better)
	}
	return ""
}

// shardsScoringAbove returns those shards of the attempt's FirstStepShards whose lowest score is above the highest score of the attempt's
// own shard.
func (c *checker) shardsScoringAbove(a *Attempt) (better []int) {
	_, own := c.scoreRange(part{a.Search, a.Shard, false}, a.ArrivedAt)
	for _, shard := range a.FirstStepShards {
		if least, _ := c.scoreRange(part{a.Search, shard, false}, a.ArrivedAt); least > own {
			better = append(better, shard)
		}
	}
	return better
}

// scoreRange returns the lowest and the highest score that nodes had given by t in hits for a part; both are 0 if there was no hit.
func (c *checker) scoreRange(p part, t time.Time) (lowest, highest int) {
	first := true
	for _, i := range c.attemptsByPart[p] {
		attempt := &c.Attempts[i]
		if !attempt.hitBy(t) {
			continue
		}
		if first || attempt.Score < lowest {
			lowest = attempt.Score
		}
		if first || attempt.Score > highest {
			highest = attempt.Score
		}
		first = false
	}
	return lowest, highest
}

// requestsShard reports whether the delivery's request names the shard.
func (d *Delivery) requestsShard(shard int) bool { return d.shareOf(shard) >= 0 }

// shareOf returns a shard's share of the whole answer, from 0 to 1; -1 if the request doesn't name the shard.
func (d *Delivery) shareOf(shard int) float64 {
	for _, s := range d.Shards {
		if s.Shard == shard {
			return s.Share
		}
	}
	return -1
}

// hasHit reports whether an attempt of the part had ended with the outcome Hit by t.
func (c *checker) hasHit(p part, t time.Time) bool {
	return slices.ContainsFunc(c.attemptsByPart[p], func(i int) bool { return c.Attempts[i].hitBy(t) })
}

// hitBy reports whether the attempt had ended with the outcome Hit by t.
func (a *Attempt) hitBy(t time.Time) bool { return a.Outcome == Hit && !a.EndedAt.After(t) }

// whyUnrequested returns, for a violation's Detail, why no delivery can have caused the attempt.
func (c *checker) whyUnrequested(attemptIndex int) string {
	why := c.describe(attemptIndex)
	deliveries := c.deliveriesBySearch[c.Attempts[attemptIndex].Search]
	if len(deliveries) == 0 {
		return why + ": no client sent the search"
	}
	for _, d := range deliveries {
		why += fmt.Sprintf("; delivery %d: %s", d, c.mismatch(attemptIndex, d))
	}
	return why
}

// sameProcess reports whether two attempts certainly come from the same broker process.
func (c *checker) sameProcess(attemptIndex, otherIndex int) bool {
	connection := c.Attempts[attemptIndex].Connection
	return connection != "" && connection == c.Attempts[otherIndex].Connection || len(c.processesOf(c.originsOfAll([]int{attemptIndex, otherIndex}))) == 1
}

// originsOfAll returns the indices of the deliveries that may have caused at least one of the attempts with the given indices, in ascending
// order and each once. An attempt that no client requested counts as possibly caused by any delivery of its search.
func (c *checker) originsOfAll(attempts []int) []int {
	var deliveries []int
	for _, i := range attempts {
		origins := c.origins[i]
		if len(origins) == 0 {
			origins = c.deliveriesBySearch[c.Attempts[i].Search]
		}
		deliveries = append(deliveries, origins...)
	}
	slices.Sort(deliveries)
	return slices.Compact(deliveries)
}
