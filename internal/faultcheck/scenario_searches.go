package faultcheck

import (
	"fmt"
	"strings"
	"time"
)

// makeSearch returns the search with the given number; each run of the case makes the same search for a number.
func (r *scenarioRun) makeSearch(number int) search {
	random := r.random("query", number)
	s := search{
		id:      fmt.Sprintf("%08x%08x", uint32(r.Seed), number),
		text:    fmt.Sprintf("query \"%d\" <é>", number) + strings.Repeat("x", r.setting.ExtraTextBytes),
		timeout: r.setting.Deadline - 100*time.Millisecond,
	}
	s.class = []string{ClassWhole, ClassPartial, ClassTwoStep}[random.IntN(3)]
	s.shards = random.Perm(r.setting.Shards)[:1+random.IntN(r.setting.Shards)]
	return s
}

// deliverSearch delivers the search with the given number to a random broker. If some faults have a deliver function, one of these is used
// half of the time.
func (r *scenarioRun) deliverSearch(number int) {
	random := r.random("deliver", number)
	b := r.brokers[random.IntN(len(r.brokers))]
	var delivering []InjectedFault
	for _, f := range r.faults {
		if f.deliver != nil {
			delivering = append(delivering, f)
		}
	}
	if len(delivering) == 0 || random.IntN(2) == 0 {
		r.deliverNormally(b, r.makeSearch(number))
		return
	}
	r.countInjection()
	delivering[random.IntN(len(delivering))].deliver(r, random, r.makeSearch(number), b)
}

// deliverNormally delivers a search as a well-behaved client does: a request that the broker cannot have read, although the connection was
// established, is sent a second time.
func (r *scenarioRun) deliverNormally(b *broker, s search) Delivery {
	d := r.client.deliver(b, s, deliveryOptions{})
	if d.Unread && d.Connected {
		d = r.client.deliver(b, s, deliveryOptions{fault: "again, as it was not read"})
	}
	return d
}

// awaitAttemptEnd returns once no attempt of the part with the given id is pending on any connection to a node, or else after
// crossingTolerance. c is the connection on which a further attempt of the part has arrived; its socket is inspected while it waits, so
// that what arrives on it meanwhile gets its time of arrival.
func (r *scenarioRun) awaitAttemptEnd(c *nodeConnection, id string) {
	for end := time.Now().Add(crossingTolerance); r.isPendingAnywhere(id) && time.Now().Before(end); {
		c.inspectSocket()
		time.Sleep(crossingTolerance / 20)
	}
}

// isPendingAnywhere reports whether an attempt of the part with the given id is pending on any connection to a node, and inspects the
// socket of each connection on which one is.
func (r *scenarioRun) isPendingAnywhere(id string) (pending bool) {
	for _, n := range r.nodes {
		for _, c := range n.connections() {
			if c.hasPending(id) {
				c.inspectSocket()
				pending = true
			}
		}
	}
	return pending
}

// otherPendingID returns the part's id of an attempt that is pending on another connection than the given one and for which its broker
// certainly still waits; "" if there is none. An attempt whose broker may have stopped waiting is left out, because its part may have been
// sent again on the given connection.
func (r *scenarioRun) otherPendingID(connection *nodeConnection) string {
	brokerWaits := map[int]bool{}
	r.recorder.update(func(h *History) {
		for i := range h.Attempts {
			a := &h.Attempts[i]
			brokerWaits[i] = a.ArrivedAt.Add(a.BrokerWait - socketSlack).After(time.Now())
		}
	})
	own := map[string]bool{}
	connection.mu.Lock()
	for _, id := range connection.pending {
		own[id] = true
	}
	connection.mu.Unlock()
	for _, n := range r.nodes {
		for _, other := range n.connections() {
			if other == connection {
				continue
			}
			other.mu.Lock()
			for attempt, id := range other.pending {
				if !own[id] && brokerWaits[attempt] {
					other.mu.Unlock()
					return id
				}
			}
			other.mu.Unlock()
		}
	}
	return ""
}

// reactionTo returns what node n does with an attempt: the reaction of the first fault that has one, and otherwise a hit after a random time
// of up to maxWorkTime. earlierOfPart is how many attempts of the part came to any node before.
func (r *scenarioRun) reactionTo(n *node, request partRequest, earlierOfPart int) reaction {
	random := r.random("react", request.id, earlierOfPart)
	for _, f := range r.faults {
		if f.react == nil {
			continue
		}
		if planned, ok := f.react(r, random, n, request, earlierOfPart); ok {
			r.countInjection()
			return planned
		}
	}
	return reaction{delay: time.Duration(random.Int64N(int64(maxWorkTime)))}
}

// planConnection returns whether and how node n ends a connection that it has accepted; acceptedBefore is how many it accepted before.
func (r *scenarioRun) planConnection(n *node, acceptedBefore int) connectionPlan {
	for _, f := range r.faults {
		if f.planConnection != nil {
			if plan := f.planConnection(r, r.random("plan", n.name, acceptedBefore), n); plan.cut {
				r.countInjection()
				return plan
			}
		}
	}
	return connectionPlan{}
}
