package balance

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the random tests, so that the result in CI does not vary from run to run, and keeps
// them from writing files of failed cases. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// TestRulesUnderRandomEvents runs random sequences of searches, outcomes, and changes of nodes and of settings against
// a broker. The simulation checks at every call that the broker keeps its rules, such as one attempt at a time, the
// retry budget, and one outcome for every search.
func TestRulesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		settings := drawSettings(rapidT)
		var nodes []NodeEntry
		for i := range 3 * settings.Groups {
			nodes = append(nodes, NodeEntry{Node: i, Group: i % settings.Groups, Zone: i % 2, ZoneRank: i % 2})
		}
		sim := newSimulation(t, settings, nodes)
		sim.rapidT = rapidT
		for range rapid.IntRange(20, 150).Draw(rapidT, "steps") {
			switch rapid.IntRange(0, 10).Draw(rapidT, "step") {
			case 0, 1, 2:
				sim.startRandomSearch()
			case 3, 4, 5, 6:
				sim.endRandomAttempts()
			case 7:
				sim.advance(rapid.Float64Range(0.001, 0.6).Draw(rapidT, "seconds"))
			case 10:
				sim.applyRandomSettings()
			case 8:
				sim.changeRandomNode()
			default:
				sim.leaveAndEndProbesAtRandom()
			}
		}
		sim.advance(5)
		for _, search := range sim.searches {
			if !search.ended {
				rapidT.Fatal("a search has no outcome at the end")
			}
		}
	})
}

// drawSettings returns random settings, with five classes that differ in their effects, steps and partial answers.
func drawSettings(rapidT *rapid.T) Settings {
	settings, _ := defaultSettings()
	settings.Seed = rapid.Uint64().Draw(rapidT, "seed")
	settings.Groups = rapid.SampledFrom([]int{2, 3, 5, 100}).Draw(rapidT, "groups")
	settings.Shards = 2 * settings.Groups
	settings.GroupsPerShard = rapid.IntRange(1, 2).Draw(rapidT, "groups per shard")
	settings.MaxPartsPerCall = rapid.IntRange(1, 4).Draw(rapidT, "parts per call")
	settings.CanCancel = rapid.Bool().Draw(rapidT, "can cancel")
	settings.CanProbe = rapid.Bool().Draw(rapidT, "can probe")
	settings.Brokers = rapid.SampledFrom([]int{1, 3, 140}).Draw(rapidT, "brokers")
	if rapid.Bool().Draw(rapidT, "budget") {
		settings.RetryBudgetMin = 2
		settings.RetryBudgetShare = 0.2
		settings.RetryBudgetWindow = 2
	}
	if rapid.Bool().Draw(rapidT, "zone guard") {
		settings.ZoneGuard = zoneGuardSettings()
	}
	settings.Classes = []SearchClass{
		{Name: "short", LatencyTarget: 0.5, Timeout: 2, Utility: 1, CompleteShare: 1, MinShare: 1, RepeatWindow: 0.5},
		{Name: "any of", LatencyTarget: 0.8, Timeout: 2, Utility: 2, CompleteShare: 0.6, MinShare: 0.6, RepeatWindow: 0.5,
			LateUtility: 0.1},
		{Name: "keyed", LatencyTarget: 1, Timeout: 3, Utility: 1, CompleteShare: 0.8, MinShare: 0.4, PartialUtility: 0.9,
			RepeatWindow: 0.5, Effect: IdempotencyKeyed},
		{Name: "once", LatencyTarget: 1, Timeout: 3, Utility: 1, CompleteShare: 1, MinShare: 1, RepeatWindow: 0.5,
			Effect: NonIdempotent, FetchParts: 2},
		{Name: "two steps", LatencyTarget: 1, Timeout: 3, Utility: 1, CompleteShare: 0.5, MinShare: 0.5, RepeatWindow: 0.5,
			FetchParts: 2},
	}
	return settings
}

// startRandomSearch starts a search of a random class over two to five shards that follow one another, with a random
// time left.
func (sim *simulation) startRandomSearch() {
	settings := sim.settings
	first := rapid.IntRange(0, settings.Shards-1).Draw(sim.rapidT, "first shard")
	var shards []int
	for i := range rapid.IntRange(2, min(5, settings.Shards)).Draw(sim.rapidT, "parts") {
		shards = append(shards, (first+i)%settings.Shards)
	}
	class := rapid.IntRange(0, len(settings.Classes)-1).Draw(sim.rapidT, "class")
	timeLeft := rapid.Float64Range(0.05, settings.Classes[class].Timeout).Draw(sim.rapidT, "time left")
	sim.startSearch(class, timeLeft, shards...)
}

// endRandomAttempts ends some of the attempts in flight of the eight newest searches, with random outcomes. An attempt
// that the broker has cancelled may end as cancelled.
func (sim *simulation) endRandomAttempts() {
	for _, search := range sim.searches[max(0, len(sim.searches)-8):] {
		for i, part := range search.parts {
			if !part.inFlight || rapid.IntRange(0, 2).Draw(sim.rapidT, "waits") == 0 {
				continue
			}
			outcome := rapid.SampledFrom([]Outcome{OK, OK, OK, OK, Failed, Overloaded, TimedOut, Unreachable,
				ConnectionLost, NotSent}).Draw(sim.rapidT, "outcome")
			if part.cancelled && rapid.Bool().Draw(sim.rapidT, "reported as cancelled") {
				outcome = Cancelled
			}
			// A node answers no more than its capacity allows.
			answers := 1 + countAfter(sim.answerTimes[part.node], sim.now-sim.settings.OverloadWindow)
			if outcome == OK && float64(answers)*sim.partWork > sim.nodeCapacity {
				continue
			}
			sim.endAttempt(search, i, outcome)
		}
	}
}

// applyRandomSettings applies settings with another maximum of attempts, another retry budget and an overload window
// that is at least as long as before.
func (sim *simulation) applyRandomSettings() {
	settings := sim.settings
	settings.MaxAttempts = rapid.IntRange(2, 4).Draw(sim.rapidT, "attempts")
	settings.RetryBudgetMin = float64(rapid.IntRange(2, 3).Draw(sim.rapidT, "retry budget minimum"))
	settings.RetryBudgetShare = 0.2
	settings.RetryBudgetWindow = rapid.Float64Range(1, 4).Draw(sim.rapidT, "retry budget window")
	settings.OverloadWindow = max(settings.OverloadWindow, rapid.Float64Range(1, 1.5).Draw(sim.rapidT, "overload window"))
	sim.applySettings(settings)
}

// changeRandomNode gives a random node a random status and reports that to the broker. If the new status is Active, the
// node may also be reported as started at the present virtual time.
func (sim *simulation) changeRandomNode() {
	nodes := sim.nodes
	i := rapid.IntRange(0, len(nodes)-1).Draw(sim.rapidT, "node")
	nodes[i].Status = rapid.SampledFrom([]NodeStatus{Active, Draining, Departed}).Draw(sim.rapidT, "status")
	if nodes[i].Status == Active && rapid.Bool().Draw(sim.rapidT, "restarted") {
		nodes[i].StartedAt = sim.now
	}
	sim.runTurn(func() { sim.broker.UpdateNodes(false, nodes[i:i+1]) })
}

// leaveAndEndProbesAtRandom may make the client of the newest search leave, and reports a random result for each probe
// that the broker asked for.
func (sim *simulation) leaveAndEndProbesAtRandom() {
	if len(sim.searches) > 0 && rapid.Bool().Draw(sim.rapidT, "client leaves") {
		search := sim.searches[len(sim.searches)-1]
		// A client may also leave after the end of its search, while attempts are in flight.
		if !search.ended || sim.findSearch(search.handle) == search && search.handle.attemptsInFlight > 0 {
			search.ended = true
			sim.runTurn(search.handle.ClientLeft)
		}
	}
	for _, node := range sim.probesRequested {
		ok := rapid.Bool().Draw(sim.rapidT, "probe succeeds")
		sim.runTurn(func() { sim.broker.ProbeEnded(node, ok) })
	}
	sim.probesRequested = nil
}
