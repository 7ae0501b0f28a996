package balance

import (
	"testing"
)

// TestSendingResumesAfterNodesWereSilent guards against a broker that goes on shedding all searches after nodes were
// silent for some seconds: it then receives no newer replies, and the fewer outcomes it sees, the more slowly its
// records of failures decay. The test checks that the longest time without any send is at most the time after which
// parts of the class with the longest latency target count as hung and leave the concurrency limit, plus the shortest
// latency target, the interval between searches and the interval between sweeps.
func TestSendingResumesAfterNodesWereSilent(t *testing.T) {
	// The latency targets of the two classes, in seconds.
	const shortest, longest = 0.5, 5.0
	for _, scenario := range []struct {
		// silence is how many seconds the nodes are silent.
		silence float64
		// searchesPerSecond is the rate at which searches arrive, per second.
		searchesPerSecond float64
		// silentNodes is the number of nodes, from the first on, that are silent.
		silentNodes int
	}{{2, 8, 3}, {4, 8, 3}, {8, 8, 4}, {8, 16, 4}, {8, 4, 4}, {8, 1, 4}} {
		settings, nodes := defaultSettings()
		settings.Brokers = 30
		settings.Classes = []SearchClass{
			{Name: "shortest", LatencyTarget: shortest, Timeout: 2, Utility: 1, CompleteShare: 1, MinShare: 1, RepeatWindow: 1},
			{Name: "longest", LatencyTarget: longest, Timeout: 3 * longest, Utility: 1, CompleteShare: 1, MinShare: 1, RepeatWindow: 1},
		}
		sim := newSimulation(t, settings, nodes)
		silentFrom := sim.now + 40
		silentTo := sim.now + 40 + scenario.silence
		searchInterval := 1 / scenario.searchesPerSecond
		bound := hungTargetShare*longest + shortest + searchInterval + sim.broker.sweepInterval
		// lost returns whether a part was sent to a node while that was silent.
		lost := func(part *simulatedPart) bool {
			return part.node < scenario.silentNodes && part.sentAt >= silentFrom && part.sentAt < silentTo
		}
		nextSearchAt := sim.now
		// attempts and rejected are the numbers of attempts and of rejected searches at lastAttemptAt, when the last
		// attempt was sent. longestGap is the longest time in seconds without an attempt so far, and rejectedInGap the
		// number of searches that were rejected in it.
		lastAttemptAt := sim.now
		longestGap := 0.0
		attempts := 0
		rejected := 0
		rejectedInGap := 0
		for searches := 0; sim.now < silentTo+60; {
			sim.advance(0.01)
			sim.answerAfter(0.1, lost)
			if sim.now >= nextSearchAt {
				class := searches % len(settings.Classes)
				sim.startSearch(class, settings.Classes[class].Timeout, 0, 1)
				searches++
				nextSearchAt += searchInterval
			}
			if gap := sim.now - lastAttemptAt; gap > longestGap {
				longestGap = gap
				rejectedInGap = sim.rejectCount - rejected
			}
			if sim.sendCount > attempts {
				attempts = sim.sendCount
				lastAttemptAt = sim.now
				rejected = sim.rejectCount
			}
		}
		if longestGap > bound {
			t.Errorf("%d nodes silent for %g s, %g searches a second: no attempt for %.1f s, in which %d searches were rejected; expected at most %.1f s",
				scenario.silentNodes, scenario.silence, scenario.searchesPerSecond, longestGap, rejectedInGap, bound)
		}
	}
}

// answerAfter ends those attempts in flight that are due. One that the broker has cancelled ends as cancelled, and so
// does one whose part is lost (lost returns true) once its search has ended; any other part that is not lost is
// answered once replyTime seconds have passed since it was sent. It then drops from searches those that have ended and
// have no attempt in flight.
func (sim *simulation) answerAfter(replyTime float64, lost func(*simulatedPart) bool) {
	waiting := sim.searches[:0]
	for _, search := range sim.searches {
		keep := !search.ended
		for i, part := range search.parts {
			switch {
			case part.inFlight && part.cancelled || part.inFlight && search.ended && lost(part):
				sim.endAttempt(search, i, Cancelled)
			case part.inFlight && sim.now >= part.sentAt+replyTime && !lost(part):
				sim.endAttempt(search, i, OK)
			}
			keep = keep || part.inFlight
		}
		if keep {
			waiting = append(waiting, search)
		}
	}
	sim.searches = waiting
}
