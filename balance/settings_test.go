package balance

import (
	"testing"
)

// TestNewSettingsKeepSearchesInProgress checks ApplySettings: invalid settings change nothing; after valid ones a
// search in progress still ends by the settings that it came under, a new search ends by the new ones, and what was
// learned of a class is kept.
func TestNewSettingsKeepSearchesInProgress(t *testing.T) {
	settings, nodes := defaultSettings()
	sim := newSimulation(t, settings, nodes)
	search := sim.startSearch(0, 4, 0, 1, 2, 3)
	nodeBefore := sim.broker.nodes[0]
	invalid := settings
	invalid.MaxAttempts = 0
	if err := sim.broker.ApplySettings(invalid); err == nil ||
		sim.broker.classes[0].maxAttempts != settings.MaxAttempts {
		t.Fatal("invalid settings are put in force")
	}
	// From now on half of the parts make a complete answer, and the layout has other shards. The old class is the
	// second one now.
	next := settings
	next.Groups = 4
	next.Shards = 8
	next.GroupsPerShard = 2
	next.Classes = []SearchClass{{Name: "other", LatencyTarget: 1, Timeout: 4, Utility: 3, CompleteShare: 0.5, MinShare: 0.5},
		settings.Classes[0]}
	sim.broker.classes[0].partWork = 0.123
	sim.runTurn(func() {
		if err := sim.broker.ApplySettings(next); err != nil {
			t.Fatal(err)
		}
		for i := range nodes {
			nodes[i].Group = i
		}
		sim.broker.UpdateNodes(true, nodes)
	})
	if nodeAfter := sim.broker.nodes[0]; nodeAfter.partsInFlight != nodeBefore.partsInFlight ||
		sim.broker.classes[1].partWork != 0.123 || sim.broker.classes[0].partWork == 0.123 {
		t.Fatal("what was learned or sent is forgotten, or goes to another class")
	}
	sim.endAttempt(search, 0, OK)
	sim.endAttempt(search, 1, OK)
	if sim.answerCount != 0 {
		t.Fatal("a search is answered by settings that were applied after it came")
	}
	sim.endAttempt(search, 2, OK)
	sim.endAttempt(search, 3, OK)
	if sim.answerCount != 1 {
		t.Fatal("a search in progress is not answered")
	}
	sim.settings = next
	// The simulation checks the sends against the new layout.
	later := sim.startSearch(0, 4, 4, 5, 6, 7)
	sim.endAttempt(later, 0, OK)
	sim.endAttempt(later, 1, OK)
	if sim.answerCount != 2 {
		t.Fatal("a search is not answered by the settings in force")
	}
}

// configuredEffect is a class of settings under test: its name and effect.
type configuredEffect struct {
	name   string
	effect Effect
}

// TestNewSettingsOnlyTightenEffects checks what ApplySettings changes for searches in progress: if their class gets a
// stricter effect, by which a repeat may do harm, it holds for them at once, also over several changes, if the classes
// change their order, and if settings in between did not have the class; a less strict effect does not.
func TestNewSettingsOnlyTightenEffects(t *testing.T) {
	settings, nodes := defaultSettings()
	original := settings.Classes[0]
	// withClasses returns the settings with these classes, which differ in name and effect only.
	withClasses := func(classes []configuredEffect) Settings {
		next := settings
		next.Classes = nil
		for _, class := range classes {
			configured := original
			configured.Name = class.name
			configured.Effect = class.effect
			next.Classes = append(next.Classes, configured)
		}
		return next
	}
	for _, testCase := range []struct {
		// name is the case's name in error messages.
		name string
		// configured are the classes of each of the settings that are put in force in order.
		configured [][]configuredEffect
		// effects are those that hold in the end for the searches in progress of the classes a, b and c, which were
		// Idempotent when the searches came.
		effects [3]Effect
	}{
		{"stricter", [][]configuredEffect{{{"a", NonIdempotent}, {"b", IdempotencyKeyed}, {"c", Idempotent}}},
			[3]Effect{NonIdempotent, IdempotencyKeyed, Idempotent}},
		{"looser", [][]configuredEffect{
			{{"a", IdempotencyKeyed}, {"b", NonIdempotent}, {"c", IdempotencyKeyed}},
			{{"a", Idempotent}, {"b", Idempotent}, {"c", Idempotent}},
		}, [3]Effect{IdempotencyKeyed, NonIdempotent, IdempotencyKeyed}},
		{"in another order, twice", [][]configuredEffect{
			{{"c", Idempotent}, {"a", Idempotent}, {"b", Idempotent}},
			{{"a", NonIdempotent}, {"b", Idempotent}, {"c", IdempotencyKeyed}},
		}, [3]Effect{NonIdempotent, Idempotent, IdempotencyKeyed}},
		{"removed, and others added", [][]configuredEffect{
			{{"d", NonIdempotent}, {"b", Idempotent}, {"c", Idempotent}},
			{{"d", NonIdempotent}, {"e", NonIdempotent}, {"c", Idempotent}},
		}, [3]Effect{Idempotent, Idempotent, Idempotent}},
		{"removed, and stricter when it is there again", [][]configuredEffect{
			{{"b", Idempotent}, {"c", Idempotent}},
			{{"c", Idempotent}},
			{{"b", IdempotencyKeyed}, {"a", NonIdempotent}, {"c", Idempotent}},
		}, [3]Effect{NonIdempotent, IdempotencyKeyed, Idempotent}},
	} {
		sim := newSimulation(t, withClasses([]configuredEffect{{"a", Idempotent}, {"b", Idempotent}, {"c", Idempotent}}), nodes)
		var inProgress []*simulatedSearch
		for class := range testCase.effects {
			inProgress = append(inProgress, sim.startSearch(class, 4, 0))
		}
		for _, classes := range testCase.configured {
			if err := sim.broker.ApplySettings(withClasses(classes)); err != nil {
				t.Fatal(err)
			}
		}
		for class, search := range inProgress {
			if got := search.handle.class.effect; got != testCase.effects[class] {
				t.Errorf("%s: class %d: effect %d, expected %d", testCase.name, class, got, testCase.effects[class])
			}
		}
	}
}

// TestClassNamesAreUnique checks that settings with two classes of one name are invalid, as searches in progress could
// follow either.
func TestClassNamesAreUnique(t *testing.T) {
	settings, _ := defaultSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	if settings.Validate() == nil {
		t.Error("two classes have the same name")
	}
}

// TestRestrictRepeatWindow checks classState.restrict: of two repeat windows the shorter one holds, and a class that
// was Idempotent before takes the new window.
func TestRestrictRepeatWindow(t *testing.T) {
	for _, testCase := range []struct {
		// oldEffect is the class's own effect, newEffect that of later settings.
		oldEffect, newEffect Effect
		// oldWindow is the class's own repeat window, newWindow that of later settings, in seconds.
		oldWindow, newWindow float64
		// window is the repeat window that holds in the end, in seconds.
		window float64
	}{
		{IdempotencyKeyed, IdempotencyKeyed, 5, 3, 3},
		{IdempotencyKeyed, IdempotencyKeyed, 3, 5, 3},
		{Idempotent, IdempotencyKeyed, 0, 4, 4},
		{Idempotent, IdempotencyKeyed, 9, 4, 4},
		{IdempotencyKeyed, Idempotent, 5, 0, 5},
	} {
		class := &classState{effect: testCase.oldEffect, repeatWindow: testCase.oldWindow}
		class.restrict(testCase.newEffect, testCase.newWindow)
		if class.repeatWindow != testCase.window || class.effect != max(testCase.oldEffect, testCase.newEffect) {
			t.Errorf("%+v: effect %d, window %g", testCase, class.effect, class.repeatWindow)
		}
	}
}

// TestNewSettingsOnlyLowerMaxAttempts checks that a part of a search in progress gets no more attempts than the least
// Settings.MaxAttempts that was in force since the search came.
func TestNewSettingsOnlyLowerMaxAttempts(t *testing.T) {
	settings, nodes := defaultSettings()
	for _, testCase := range []struct {
		// configured are the values of MaxAttempts in the settings that are put in force in order.
		configured []int
		// mayRetry says that a second attempt is allowed after the first.
		mayRetry bool
	}{{[]int{4, 4}, true}, {[]int{1, 4}, false}, {[]int{4, 1}, false}, {[]int{4, 1, 4}, false}, {[]int{2, 4, 2}, true}} {
		settings.MaxAttempts = testCase.configured[0]
		sim := newSimulation(t, settings, nodes)
		part := sim.startSearch(0, 4, 0).handle.parts[0]
		for _, maxAttempts := range testCase.configured[1:] {
			next := settings
			next.MaxAttempts = maxAttempts
			if err := sim.broker.ApplySettings(next); err != nil {
				t.Fatal(err)
			}
		}
		part.attempts = 1
		if got := sim.broker.mayRetry(part); got != testCase.mayRetry {
			t.Errorf("configured %v: a second attempt is allowed: %t, expected %t", testCase.configured, got, testCase.mayRetry)
		}
	}
}
