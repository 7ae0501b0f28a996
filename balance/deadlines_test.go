package balance

import (
	"math"
	"testing"
)

// TestEnoughRepliesAnswerAndTheRestIsCancelled checks that a search is answered as soon as the replies make a
// complete answer, and that its other attempts are cancelled then.
func TestEnoughRepliesAnswerAndTheRestIsCancelled(t *testing.T) {
	settings, nodes := defaultSettings()
	settings.Classes[0].CompleteShare = 0.5
	settings.Classes[0].MinShare = 0.5
	sim := newSimulation(t, settings, nodes)
	search := sim.startSearch(0, 4, 0, 1, 2, 3)
	if sim.sendCount != 4 {
		t.Fatalf("%d parts sent, want all 4", sim.sendCount)
	}
	sim.endAttempt(search, 0, OK)
	sim.endAttempt(search, 1, OK)
	if sim.answerCount != 1 || sim.cancelCount != 2 {
		t.Fatalf("%d answers and %d cancels, want 1 and 2", sim.answerCount, sim.cancelCount)
	}
}

// TestRoundedWeightsMakeACompleteAnswer guards against a search that waits for its deadline though all of its parts are
// answered: its weights are rounded to four decimals, so that they sum up to 0.9999, and its class needs all parts.
func TestRoundedWeightsMakeACompleteAnswer(t *testing.T) {
	sim := newDefaultSimulation(t, 4)
	search := &simulatedSearch{class: 0, deadline: sim.now + 4}
	sim.searches = append(sim.searches, search)
	sim.runTurn(func() {
		search.handle = sim.broker.AddSearch(0, -1, 4, 0)
		for shard := range 3 {
			search.parts = append(search.parts, &simulatedPart{shard: shard, weight: 0.3333, mayHaveRunSince: -1})
			search.handle.AddPart(shard, 0.3333)
		}
	})
	for partIndex := range search.parts {
		if search.ended {
			t.Fatalf("the search is answered after %d of 3 parts", partIndex)
		}
		sim.endAttempt(search, partIndex, OK)
	}
	if !search.ended || !search.complete {
		t.Fatalf("all parts are answered: ended %t, complete %t", search.ended, search.complete)
	}
}

// TestSearchWithTooLittleTimeEndsAtOnce checks that a search whose deadline is too near ends in the turn that it
// comes in, not at the next regular sweep.
func TestSearchWithTooLittleTimeEndsAtOnce(t *testing.T) {
	sim := newDefaultSimulation(t, 4)
	// The part of the first search takes up the whole concurrency limit, which AddPart raises to 1, so that the second
	// search can only end by its deadline.
	sim.broker.concurrencyLimit = 0
	sim.startSearch(0, 4, 0)
	if search := sim.startSearch(0, 0.011, 0); !search.ended {
		t.Fatal("a search with 11 ms left waits for the next sweep")
	}
}

// TestIdempotencyKeyedPartPastItsWindowEndsItsSearch guards against a search that stays in progress though it cannot be
// answered any more: a part that it needs failed, and waited until the class's repeat window (SearchClass.RepeatWindow)
// was over, so that it may not be sent again.
func TestIdempotencyKeyedPartPastItsWindowEndsItsSearch(t *testing.T) {
	settings, nodes := defaultSettings()
	settings.Classes[0].Effect = IdempotencyKeyed
	settings.Classes[0].RepeatWindow = 0.3
	// Each shard has one holder, so that the part cannot move.
	sim := newSimulation(t, settings, nodes[:2])
	search := sim.startSearch(0, 4, 0)
	sim.advance(0.1)
	sim.endAttempt(search, 0, Failed)
	sim.advance(0.3)
	if !search.ended {
		t.Fatal("a search that cannot be answered any more has not ended")
	}
}

// TestRepeatKeepsTheFirstRequestTarget checks that a search whose client has less time left than clients usually have
// is taken for a repeat of an earlier request: its latency target counts from the time of that first request, and if
// that time is over already, its utility is that of a late answer.
func TestRepeatKeepsTheFirstRequestTarget(t *testing.T) {
	sim := newDefaultSimulation(t, 4)
	for range 3 {
		sim.startSearch(0, 4, 0)
	}
	if handle := sim.startSearch(0, 3.4, 0).handle; math.Abs(handle.targetAt-sim.now-0.4) > 1e-9 {
		t.Fatalf("the search of a client that has waited 0.6 s has %.2f s to the target, want 0.4", handle.targetAt-sim.now)
	}
	if handle := sim.startSearch(0, 2.5, 0).handle; handle.utility != 0 {
		t.Fatal("a repeat past its target counts at full utility")
	}
}

// TestLongerRepeatIsNotAFirstRequest guards against an error in what counts as a first request: a client that was
// rejected at once and repeats with slightly more time left than usual must not change the usual time, or all first
// requests after it would count as repeats.
func TestLongerRepeatIsNotAFirstRequest(t *testing.T) {
	sim := newDefaultSimulation(t, 4)
	for range 5 {
		sim.startSearch(0, 3.4, 0)
	}
	if handle := sim.startSearch(0, 3.5, 0).handle; math.Abs(handle.targetAt-sim.now-0.5) > 1e-9 {
		t.Fatalf("the search of a client that has waited 0.5 s has %.2f s to the target, want 0.5", handle.targetAt-sim.now)
	}
	if handle := sim.startSearch(0, 3.4, 0).handle; math.Abs(handle.targetAt-sim.now-1) > 1e-9 {
		t.Fatalf("a first request has %.2f s to its target, want 1", handle.targetAt-sim.now)
	}
}

// TestRequestReadLateIsNotARepeat guards against taking a client's first request for a repeat. A repeat is recognized
// by the little time that its client has left, and a request that waited a while before the broker read it has little
// left, too. The test checks as well that the latency target counts from the time when the request came.
func TestRequestReadLateIsNotARepeat(t *testing.T) {
	// All in seconds. Clients wait less for their first requests than the class's timeout.
	const timeout, target, givenTime = 4.0, 1.0, 3.2
	sim := newDefaultSimulation(t, 4)
	for range 10 {
		sim.runTurn(func() { sim.broker.AddSearch(0, -1, givenTime, 0) })
	}
	for _, waited := range []float64{0, 0.3, 0.9} {
		var handle *Search
		sim.runTurn(func() { handle = sim.broker.AddSearch(0, -1, givenTime-waited, waited) })
		if got, expected := handle.targetAt-sim.now, target-waited; math.Abs(got-expected) > 1e-9 || handle.utility != 1 {
			t.Errorf("read after %g s: target in %g s, utility %g; expected %g s and 1",
				waited, got, handle.utility, expected)
		}
	}
	var late, repeat *Search
	sim.runTurn(func() {
		late = sim.broker.AddSearch(0, -1, givenTime-1.1, 1.1)
		repeat = sim.broker.AddSearch(0, -1, timeout-target, 0)
	})
	if late.utility != 0 || late.targetAt <= sim.now {
		t.Errorf("read after its latency target: utility %g, target in %g s; expected 0, and a target ahead",
			late.utility, late.targetAt-sim.now)
	}
	if repeat.utility != 0 {
		t.Errorf("a repeat with as much time as is left after the target: utility %g, expected 0", repeat.utility)
	}
}
