package balance

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// provesNeverRan says for every outcome whether it proves that its attempt never ran, as the protocol's documentation
// has it.
var provesNeverRan = map[Outcome]bool{OK: false, Failed: false, Overloaded: true, TimedOut: false, Unreachable: true, ConnectionLost: false,
	Cancelled: false, NotSent: true}

// TestOutcomeNeverRan compares Outcome.NeverRan with provesNeverRan, so that no part that may have run counts as one
// that never ran.
func TestOutcomeNeverRan(t *testing.T) {
	for outcome, never := range provesNeverRan {
		if outcome.NeverRan() != never {
			t.Errorf("outcome %d: proves that it never ran: %v, expected %v", outcome, !never, never)
		}
	}
}

// TestExecutionIsNeverForgotten checks that an Execution that says "may have run" keeps saying so, with the time of the
// earliest such attempt, whatever else is recorded or merged, in whatever order.
func TestExecutionIsNeverForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var execution Execution
		firstSent := math.Inf(1)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if at := rapid.Float64Range(0, 100).Draw(t, "sent"); rapid.Bool().Draw(t, "alone") {
				execution.recordAttempt(at)
				firstSent = min(firstSent, at)
			} else {
				other := Execution{}
				if rapid.Bool().Draw(t, "ran") {
					other.recordAttempt(at)
					firstSent = min(firstSent, at)
				}
				execution.merge(other)
			}
			if execution.MayHaveRun() == math.IsInf(firstSent, 1) || execution.MayHaveRun() && execution.FirstSentAt() != firstSent {
				t.Fatalf("%+v, expected the first attempt at %g", execution, firstSent)
			}
		}
	})
}

// TestEffectMayRepeat checks, for each effect, whether a part may be sent again at some time (Effect.mayRepeat) and
// whether a client may be assured that repeating its search does no harm (Effect.mayPromiseSafeRetry).
func TestEffectMayRepeat(t *testing.T) {
	// The time when the earlier attempt was sent, and the class's repeat window, both in seconds.
	const sent, window = 10.0, 5.0
	ran := Execution{}
	ran.recordAttempt(sent)
	for _, testCase := range []struct {
		// effect is the effect of the part's class.
		effect Effect
		// execution is what is known of the part's earlier attempts.
		execution Execution
		// at is the time in seconds when the part is to be sent again.
		at float64
		// mayRepeat says that the part may be sent again.
		mayRepeat bool
		// mayPromise says that a client may be told that repeating its search does no harm.
		mayPromise bool
	}{
		{Idempotent, Execution{}, 99, true, true}, {Idempotent, ran, 99, true, true},
		{IdempotencyKeyed, Execution{}, 99, true, true}, {IdempotencyKeyed, ran, sent + window - 0.001, true, true},
		{IdempotencyKeyed, ran, sent + window, false, true}, {IdempotencyKeyed, ran, 99, false, true},
		{NonIdempotent, Execution{}, 99, true, true}, {NonIdempotent, ran, sent, false, false},
	} {
		if testCase.effect.mayRepeat(testCase.execution, window, testCase.at) != testCase.mayRepeat ||
			testCase.effect.mayPromiseSafeRetry(testCase.execution) != testCase.mayPromise {
			t.Errorf("effect %d, %+v, at %g: expected %v and %v", testCase.effect, testCase.execution, testCase.at, testCase.mayRepeat, testCase.mayPromise)
		}
	}
}

// TestRedeliveredSearch checks searches whose request is delivered a second time under the same id, after a search that
// may have run at the nodes. The stricter effect of the two searches decides whether the second one may run; it may run
// until the repeat window (SearchClass.RepeatWindow), counted from the earlier search's first attempt, is over; and
// what PastSearch remembers of it still has the time of that attempt.
func TestRedeliveredSearch(t *testing.T) {
	settings, nodes := defaultSettings()
	settings.Classes[0].Effect = IdempotencyKeyed
	settings.Classes[0].RepeatWindow = 2
	settings.Classes = append(settings.Classes, settings.Classes[0], settings.Classes[0])
	settings.Classes[1].Effect = Idempotent
	settings.Classes[2].Effect = NonIdempotent
	settings.Classes[1].Name = "idempotent"
	settings.Classes[2].Name = "non-idempotent"
	sim := newSimulation(t, settings, nodes)
	started := sim.now
	earlier := sim.startSearch(0, 4, 0)
	past, remember := earlier.handle.PastSearch(Execution{})
	if !remember || past.FirstSentAt() != started || past.Effect != IdempotencyKeyed {
		t.Fatalf("remembered %+v, %v", past, remember)
	}
	sim.now += 1
	for class, may := range []bool{true, true, false} {
		if until, ok := sim.broker.RedeliveryDeadline(class, past); ok != may || ok && until != started+2 {
			t.Errorf("class %d: until %g, %v", class, until, ok)
		}
	}
	redelivered := sim.startSearch(0, 4, 1)
	redelivered.handle.LimitDeadline(started + 2)
	if second, _ := redelivered.handle.PastSearch(past.Execution); second.FirstSentAt() != started {
		t.Errorf("remembered from %g, not from the earlier search's first attempt", second.FirstSentAt())
	}
	// No node answers.
	sim.advance(1.2)
	if !redelivered.ended {
		t.Error("the search is in progress past its redelivery deadline")
	}
	if _, ok := sim.broker.RedeliveryDeadline(0, past); ok {
		t.Error("the search may run past the repeat window of the earlier one")
	}
	nonIdempotent := sim.startSearch(2, 4, 0)
	if past, remember := nonIdempotent.handle.PastSearch(Execution{}); !remember || past.Effect != NonIdempotent {
		t.Errorf("remembered %+v, %v", past, remember)
	}
	if _, remember := sim.startSearch(1, 4, 0).handle.PastSearch(Execution{}); remember {
		t.Error("an idempotent search is remembered")
	}
}
