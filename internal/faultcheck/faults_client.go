package faultcheck

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// requestBytePositions is the length, in bytes, of the longest request, which names every shard. A client's close is injected after each of
// these bytes.
const requestBytePositions = 517

// clientFaults returns the faults of clients, and of the links between clients and brokers.
func clientFaults() []InjectedFault {
	faults := []InjectedFault{
		clientFault("same-id-in-hand", "the same id to the same broker while the first is in flight", repeatWhileInFlight(sameBroker)),
		clientFault("same-id-in-hand-elsewhere", "the same id to another broker while the first is in flight", repeatWhileInFlight(otherBroker)),
		repeatAfterEndFault("same-id-after-end", "the same id to the same broker, just after its search ended", "", sameBroker),
		repeatAfterEndFault("same-id-after-end-elsewhere", "the same id to another broker, just after its search ended", "", otherBroker),
		repeatAfterEndFault("same-id-after-failure", "the same id, just after its search failed as nodes answered nothing", "silence", sameBroker),
		repeatAfterEndFault("same-id-after-fault", "the same id, just after its search failed by nodes' errors", "fault", sameBroker),
		repeatAfterEndFault("same-id-after-refusal", "the same id, just after its search was refused as all nodes were overloaded", "overload", sameBroker),
		clientFault("pipelined-twice", "the same bytes twice on one connection, one behind the other",
			func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
				r.client.deliver(b, s, deliveryOptions{fault: "pipelined twice", pipelined: []search{s}})
			}),
		clientFault("pipelined", "three searches on one connection, one behind the other",
			func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
				second, third := s, s
				second.id, third.id = s.id+"-2", s.id+"-3"
				r.client.deliver(b, s, deliveryOptions{fault: "pipelined", pipelined: []search{second, third}})
			}),
		clientFault("second-try", "a further try with an id of its own and X-Second-Try",
			func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
				r.client.deliver(b, s, deliveryOptions{})
				s.id, s.repeated = s.id+"-2", true
				r.client.deliver(b, s, deliveryOptions{fault: "second try"})
			}),
		clientFault("second-try-same-id", "the same id again with X-Second-Try",
			func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
				r.client.deliver(b, s, deliveryOptions{})
				s.repeated = true
				r.client.deliver(b, s, deliveryOptions{fault: "second try, same id"})
			}),
		repeatAfterEndFault("same-id-other-query", "the same id with another text, just after its search ended", "", sameBroker),
		closeForGoodFault(),
		closeWhilePausedFault(),
		repeatAcrossWindowFault(),
		clientFault("close-while-out", "the connection closed once a node has the search, and the same bytes on a new one",
			closeWhileInFlight(actionClose, sameBroker)),
		clientFault("reset-while-out", "the connection reset once a node has the search, and the same bytes on a new one",
			closeWhileInFlight(actionReset, sameBroker)),
		clientFault("close-while-out-elsewhere", "the connection closed once a node has the search, and the same bytes to another broker",
			closeWhileInFlight(actionClose, otherBroker)),
		clientFault("half-close", "the client's side closed behind the request, which is again sent on a new connection",
			closeWhileInFlight(actionHalfClose, sameBroker)),
		clientFault("cut-answer", "the answer cut after some bytes, and the same bytes on a new connection",
			func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
				r.client.deliver(b, s, deliveryOptions{fault: "answer cut", answerBytesRead: 1 + random.IntN(60)})
				r.client.deliver(b, s, deliveryOptions{fault: "again after a cut answer"})
			}),
		clientFault("slow-request", "the request a byte at a time", func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
			r.client.deliver(b, s, deliveryOptions{fault: "slow", byteByByte: true})
		}),
		clientFault("slow-reader", "the answer read late", func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
			r.client.deliver(b, s, deliveryOptions{fault: "reads late", readDelay: 50 * time.Millisecond})
		}),
	}
	faults = append(faults, endAtByteFaults()...)
	return append(faults, ambiguousFaults()...)
}

// endAtByteFaults returns the faults in which a client ends its side of the connection after each byte of a request: by a close, a reset or a
// half-close, and then sends the same bytes on a new connection.
func endAtByteFaults() (faults []InjectedFault) {
	for _, end := range []struct {
		name       string
		afterWrite afterWriteAction
	}{{"close", actionClose}, {"reset", actionReset}, {"half-close", actionHalfClose}} {
		fault := clientFault("client-"+end.name+"-at-byte", "a "+end.name+" after each byte of the request, and the same bytes on a new connection",
			func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
				s.shards = shardsUpTo(r.setting.Shards)
				position := r.nextBytePosition(requestBytePositions)
				written := min(1+position, len(s.usualBytes()))
				r.client.deliver(b, s, deliveryOptions{
					fault:              fmt.Sprintf("%s after %d bytes", end.name, written),
					truncateAfterBytes: written,
					afterWrite:         end.afterWrite,
				})
				r.noteByteReached(written - 1)
				r.client.deliver(b, s, deliveryOptions{fault: "again after a " + end.name})
			})
		fault.BytePositions = requestBytePositions
		fault.adjustSetting = func(s *Setting) { s.Shards = maxShards }
		faults = append(faults, fault)
	}
	return faults
}

// shardsUpTo returns the numbers of the shards from 0 up to but excluding number, in ascending order.
func shardsUpTo(number int) (shards []int) {
	for shard := range number {
		shards = append(shards, shard)
	}
	return shards
}

// clientFault returns a fault of SideClient; deliver replaces the normal delivery of searches.
func clientFault(name, description string, deliver func(r *scenarioRun, random *rand.Rand, s search, b *broker)) InjectedFault {
	return InjectedFault{Name: name, Side: SideClient, Description: description, deliver: deliver}
}

// brokerChoice chooses the broker that a request is sent to again, given the one that it was sent to first.
type brokerChoice func(r *scenarioRun, random *rand.Rand, first *broker) *broker

// sameBroker is the brokerChoice that chooses the first broker again.
func sameBroker(_ *scenarioRun, _ *rand.Rand, first *broker) *broker { return first }

// otherBroker is the brokerChoice that chooses a random other broker.
func otherBroker(r *scenarioRun, random *rand.Rand, first *broker) *broker {
	for {
		if other := r.brokers[random.IntN(len(r.brokers))]; other != first {
			return other
		}
	}
}

// repeatWhileInFlight returns a deliver function that sends the same bytes twice, the second time once an attempt of the search has
// arrived at a node, to the broker that choose returns.
func repeatWhileInFlight(choose brokerChoice) func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
	return func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
		firstDone := make(chan struct{})
		go func() {
			defer close(firstDone)
			r.client.deliver(b, s, deliveryOptions{fault: "first of two"})
		}()
		r.recorder.waitUntil(eventTimeout, hasArrived(s))
		r.client.deliver(choose(r, random, b), s, deliveryOptions{fault: "again while in flight"})
		<-firstDone
	}
}

// repeatAfterEndFault returns a fault that delivers the same bytes again, to the broker that choose returns, once the search has ended. The
// fault named "same-id-other-query" changes the search's text before the second delivery.
//
// If nodeFailure is not empty, all nodes fail in that way on the first delivery: they answer nothing for "silence", an error for "fault",
// and an overload for "overload".
func repeatAfterEndFault(name, description, nodeFailure string, choose brokerChoice) InjectedFault {
	fault := clientFault(name, description, func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
		if nodeFailure != "" {
			r.setNodeFailure(s.id, nodeFailure)
		}
		r.client.deliver(b, s, deliveryOptions{fault: "first of two, " + nodeFailure})
		r.setNodeFailure(s.id, "")
		if name == "same-id-other-query" {
			s.text += " of another kind"
		}
		r.client.deliver(choose(r, random, b), s, deliveryOptions{fault: "again after the end"})
	})
	fault.react = func(r *scenarioRun, random *rand.Rand, _ *node, request partRequest, _ int) (reaction, bool) {
		kind, ok := map[string]reactionKind{"silence": reactSilence, "fault": reactFault, "overload": reactOverload}[r.nodeFailureOf(request.search)]
		return reaction{kind: kind, workDone: kind != reactOverload}, ok
	}
	return fault
}

// closeWhileInFlight returns a deliver function that ends the client's side of the connection as afterWrite says once an attempt of the
// search has arrived at a node, and then sends the same bytes to the broker that choose returns.
func closeWhileInFlight(afterWrite afterWriteAction, choose brokerChoice) func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
	return func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
		r.client.deliver(b, s, deliveryOptions{fault: "closes while in flight", afterWrite: afterWrite, afterWriteCondition: hasArrived(s)})
		r.client.deliver(choose(r, random, b), s, deliveryOptions{fault: "again after its client closed"})
	}
}

// afterWindowMargin is how long after the end of an idempotency key's window (Class.Window plus Contract.Slack) nodes let the attempts fail
// that are in flight.
const afterWindowMargin = 20 * time.Millisecond

// repeatAcrossWindowFault returns a fault that delivers an idempotency-keyed search three times: first so that its attempts fail at once,
// then again within the key's window, with attempts that fail only after the window, and once more after that. The failures give the broker
// reasons for attempts that it must not send past the window.
func repeatAcrossWindowFault() InjectedFault {
	fault := clientFault("same-id-across-window", "the same id again within its window, whose attempts fail only past it, and then once more",
		func(r *scenarioRun, _ *rand.Rand, s search, b *broker) {
			r.setNodeFailure(s.id, "fault")
			r.client.deliver(b, s, deliveryOptions{fault: "first of three, which fails at once"})
			first, ran := r.firstAttemptTime(s)
			if !ran {
				return
			}
			r.setNodeFailure(s.id, "fault past the window")
			passed := milestone{milestoneWindowPassed, s.id}
			timer := time.AfterFunc(time.Until(first.Add(r.setting.Window+socketSlack+afterWindowMargin)), func() { r.reachMilestone(passed) })
			defer timer.Stop()
			r.client.deliver(b, s, deliveryOptions{fault: "again within the window"})
			<-r.milestoneChannel(passed)
			r.client.deliver(b, s, deliveryOptions{fault: "again past the window"})
		})
	fault.adjustSetting = func(s *Setting) { s.MaxAttempts = 4 }
	fault.react = func(r *scenarioRun, _ *rand.Rand, _ *node, request partRequest, _ int) (reaction, bool) {
		switch r.nodeFailureOf(request.search) {
		case "fault":
			return reaction{kind: reactFault, workDone: true}, true
		case "fault past the window":
			return reaction{
				kind:     reactFault,
				workDone: true,
				waitFor:  r.milestoneChannel(milestone{milestoneWindowPassed, request.search}),
			}, true
		}
		return reaction{}, false
	}
	fault.unreachable = needsWindow
	return fault
}

// needsWindow returns the reason why a fault that depends on Class.Window, within which a repeat is safe, cannot occur in a class with
// the effect e: only IdempotencyKey has a window. It returns "" if the fault can occur.
func needsWindow(e Effect) string {
	if e != IdempotencyKey {
		return "no other effect has a window"
	}
	return ""
}

// firstAttemptTime returns when the first attempt of the search that may have run arrived at a node; ran is false if there is none.
func (r *scenarioRun) firstAttemptTime(s search) (first time.Time, ran bool) {
	r.recorder.update(func(h *History) {
		for i := range h.Attempts {
			if a := &h.Attempts[i]; a.Search == s.id && !a.neverRan() && (!ran || a.ArrivedAt.Before(first)) {
				first, ran = a.ArrivedAt, true
			}
		}
	})
	return first, ran
}
