package faultcheck

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// recorder is where stand-in nodes and clients write a History. Its lock also guards other state of a scenario that waitUntil looks at.
type recorder struct {
	// mu guards history, inspectedAt, and the fields of brokerProcess from killedAt on.
	mu sync.Mutex
	// changed wakes the goroutines that wait in waitUntil, each time that update has changed what is recorded.
	changed *sync.Cond
	// history is what has been recorded so far.
	history History
	// inspectedAt holds, by attempt index, when the attempt's node looked at the sockets of other connections to learn whether earlier
	// attempts of the part had ended.
	inspectedAt map[int]time.Time
}

// newRecorder returns the recorder of a scenario whose brokers start with the contract c.
func newRecorder(c Contract) *recorder {
	r := &recorder{history: History{Contract: c, ListedGroups: map[string][]int{}}, inspectedAt: map[int]time.Time{}}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// update calls a function that changes the history, under the lock, and wakes all goroutines that wait in waitUntil.
func (r *recorder) update(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.history)
	r.changed.Broadcast()
}

// waitUntil waits, at most for the timeout, until a condition holds, and reports whether it does. The condition may look at all that is
// changed within update.
func (r *recorder) waitUntil(timeout time.Duration, condition func(h *History) bool) bool {
	wake := time.AfterFunc(timeout, func() { r.update(func(*History) {}) })
	defer wake.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for end := time.Now().Add(timeout); !condition(&r.history); r.changed.Wait() {
		if !time.Now().Before(end) {
			return false
		}
	}
	return true
}

// attemptArrived records an attempt and returns its index, and how many attempts of its part were recorded before it.
func (r *recorder) attemptArrived(attempt Attempt) (attemptIndex, earlierOfPart int) {
	r.update(func(history *History) {
		for i := range history.Attempts {
			if before := &history.Attempts[i]; before.Search == attempt.Search && before.Shard == attempt.Shard && before.SecondStep == attempt.SecondStep {
				earlierOfPart++
			}
		}
		attempt.Index = len(history.Attempts)
		attemptIndex, history.Attempts = attempt.Index, append(history.Attempts, attempt)
	})
	return attemptIndex, earlierOfPart
}

// beforeOtherAttempts returns a time just before the first attempt of the requested part that arrived between since and now, or now if none
// arrived in that time (see nodeConnection.arrivalInOrder).
func (r *recorder) beforeOtherAttempts(request partRequest, since, now time.Time) time.Time {
	r.update(func(h *History) {
		for i := range h.Attempts {
			a := &h.Attempts[i]
			if a.Search == request.search && a.Shard == request.shard && a.SecondStep == request.secondStep && a.ArrivedAt.After(since) && a.ArrivedAt.Before(now) {
				now = a.ArrivedAt.Add(-time.Nanosecond)
			}
		}
	})
	return now
}

// afterOtherEnds returns the latest time between now and until at which an attempt of the requested part ended, or now if none ended in
// that time (see nodeConnection.arrivalInOrder).
func (r *recorder) afterOtherEnds(request partRequest, now, until time.Time) time.Time {
	r.update(func(h *History) {
		for i := range h.Attempts {
			a := &h.Attempts[i]
			if a.Search == request.search && a.Shard == request.shard && a.SecondStep == request.secondStep && a.Outcome != Pending &&
				a.EndedAt.After(now) && a.EndedAt.Before(until) {
				now = a.EndedAt
			}
		}
	})
	return now
}

// attemptEnded records when and how an attempt ended, with the answer's text as value if the outcome is Hit. ran says whether the node
// executed the part. Only the first end of an attempt is recorded.
func (r *recorder) attemptEnded(attemptIndex int, at time.Time, outcome Outcome, value string, ran bool) {
	r.update(func(h *History) {
		attempt := &h.Attempts[attemptIndex]
		attempt.Ran = attempt.Ran || ran
		// An end that carries no timestamp is dated earlier by the measured scheduling lag, and so may be dated before the arrival.
		if at.Before(attempt.ArrivedAt) {
			at = attempt.ArrivedAt
		}
		if attempt.Outcome == Pending {
			attempt.Outcome, attempt.EndedAt, attempt.Value = outcome, at, value
		}
	})
}

// attemptGivenUpBefore records that the broker had given an attempt up before its node ended it, if at is earlier than the recorded end. A
// give-up follows its attempt on the connection, so if measurement errors date it before the attempt's arrival, it gets the arrival's time.
func (r *recorder) attemptGivenUpBefore(attemptIndex int, at time.Time) {
	r.update(func(h *History) {
		a := &h.Attempts[attemptIndex]
		if at.Before(a.ArrivedAt) {
			at = a.ArrivedAt
		}
		if at.Before(a.EndedAt) {
			a.Outcome, a.EndedAt, a.Value = GivenUp, at, ""
		}
	})
}

// noteInspection records in inspectedAt the time at which an attempt's node looked at the sockets of other connections to learn whether
// earlier attempts of the part had ended.
func (r *recorder) noteInspection(attemptIndex int, at time.Time) {
	r.update(func(*History) { r.inspectedAt[attemptIndex] = at })
}

// orderAfterGiveUps sets OverlapsFrom of attempts. When an attempt has arrived, its node looks at the sockets of other connections for
// give-ups of earlier attempts of the part (inspectedAt); if one had come by then, OverlapsFrom gets the time of that give-up. The system
// keeps only the timestamp of the last byte for data that is unread together, so a give-up that is read late may have arrived at any time
// before the node looked, and nothing proves that it came after the attempt. Ends caused by nodes are dated exactly. ArrivedAt stays as
// it is: the attempt's own bytes had arrived by then, whenever the give-up was read.
func (r *recorder) orderAfterGiveUps(attempts []Attempt) {
	recorded := slices.Clone(attempts)
	for index, inspected := range r.inspectedAt {
		a := &attempts[index]
		for i := range recorded {
			e := &recorded[i]
			earlier := e.part() == a.part() && e.ArrivedAt.Before(recorded[index].ArrivedAt)
			if earlier && e.Outcome == GivenUp && e.EndedAt.After(a.overlapsFrom()) && e.EndedAt.Before(inspected.Add(crossingTolerance)) {
				a.OverlapsFrom = e.EndedAt
			}
		}
	}
}

// nodesListed adds to History.ListedGroups the replica groups of the nodes in a list that discovery is about to give out.
func (r *recorder) nodesListed(nodes []listedNode) {
	r.update(func(h *History) {
		for _, n := range nodes {
			if !slices.Contains(h.ListedGroups[n.Host], n.Group) {
				h.ListedGroups[n.Host] = append(h.ListedGroups[n.Host], n.Group)
			}
		}
	})
}

// deliveryBegan records a delivery that begins and returns its index.
func (r *recorder) deliveryBegan(d Delivery) (deliveryIndex int) {
	r.update(func(h *History) {
		deliveryIndex = len(h.Deliveries)
		d.Index = deliveryIndex
		h.Deliveries = append(h.Deliveries, d)
	})
	return deliveryIndex
}

// updateDelivery calls a function that changes a recorded delivery, under the lock, and wakes all goroutines that wait in waitUntil.
func (r *recorder) updateDelivery(deliveryIndex int, change func(d *Delivery)) {
	r.update(func(h *History) { change(&h.Deliveries[deliveryIndex]) })
}

// snapshot returns a copy of the history as it stands, with its attempts dated by orderAfterGiveUps.
func (r *recorder) snapshot() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.history
	history.Deliveries = append([]Delivery(nil), history.Deliveries...)
	history.Attempts = append([]Attempt(nil), history.Attempts...)
	r.orderAfterGiveUps(history.Attempts)
	history.Pauses = append([]Pause(nil), history.Pauses...)
	history.ContractChanges = append([]ContractChange(nil), history.ContractChanges...)
	history.Terminations = append([]Termination(nil), history.Terminations...)
	history.ListedGroups = maps.Clone(history.ListedGroups)
	return &history
}
