package balance

import (
	"testing"
)

// TestQuickFailuresShedNothing checks that failures which were reported at once do not make nodes look late, so that no
// search is shed for them.
func TestQuickFailuresShedNothing(t *testing.T) {
	sim := newDefaultSimulation(t, 4)
	for range 2 {
		search := sim.startSearch(0, 4, 0, 1)
		for i, part := range search.parts {
			sim.endAttempt(search, i, Failed)
			for part.inFlight {
				sim.endAttempt(search, i, OK)
			}
		}
	}
	for range 20 {
		if search := sim.startSearch(0, 4, 0, 1); sim.rejectCount > 0 {
			t.Fatal("a search is shed though nothing is in flight and all attempts ended at once")
		} else {
			sim.endAttempt(search, 0, OK)
			sim.endAttempt(search, 1, OK)
		}
	}
}

// TestSearchThatNeedsManyRoundsThroughTheLimitIsShed checks that a search is shed if the concurrency limit would only
// let its parts be sent after many other parts have ended, too late for its latency target.
func TestSearchThatNeedsManyRoundsThroughTheLimitIsShed(t *testing.T) {
	for _, limit := range []float64{1, 100} {
		sim := newDefaultSimulation(t, 4)
		sim.broker.concurrencyLimit = limit
		sim.broker.classes[0].partWork = 0.3
		sim.runTurn(func() {
			handle := sim.broker.AddSearch(0, -1, 4, 0)
			for shard := range 4 {
				handle.AddPart(shard, 0.25)
			}
			// Twelve parts of other searches are in flight. AddPart has raised a limit of 1 to the four parts of this
			// one.
			sim.broker.partsInFlight = 12
			if broker := sim.broker; broker.shouldShed(handle, broker.classes[0]) != (limit == 1) {
				t.Fatalf("wrong decision for four parts behind twelve, 0.3 s each, under a limit of %g", limit)
			}
			sim.broker.partsInFlight = 0
			handle.ClientLeft()
		})
	}
}

// TestLimitAdmitsTheWidestSearchAfterACut checks that a search with more parts than the lowered concurrency limit
// allows is not shed for that: all of its parts are sent at once.
func TestLimitAdmitsTheWidestSearchAfterACut(t *testing.T) {
	sim := newDefaultSimulation(t, 4)
	// A cut leaves this limit where all searches so far had one part.
	sim.broker.concurrencyLimit = 1
	sim.startSearch(0, 4, 0, 1, 2, 3)
	if sim.sendCount != 4 || sim.rejectCount != 0 {
		t.Fatalf("%d parts of a search of four were sent and %d searches shed, want all and none", sim.sendCount, sim.rejectCount)
	}
}

// TestSearchesOverManyShardsAreNotShedAtRest checks that searches with many parts are not shed for the number of their
// parts while the nodes are idle.
func TestSearchesOverManyShardsAreNotShedAtRest(t *testing.T) {
	settings, _ := defaultSettings()
	settings.Groups = 100
	settings.Shards = 100
	settings.Brokers = 40
	settings.Classes = []SearchClass{
		{Name: "wide", LatencyTarget: 1.2, Timeout: 3, Utility: 2, CompleteShare: 0.6, MinShare: 0.6},
		{Name: "narrow", LatencyTarget: 2, Timeout: 4, Utility: 2, CompleteShare: 1, MinShare: 0.5, PartialUtility: 0.8},
	}
	var nodes []NodeEntry
	for i := range 200 {
		nodes = append(nodes, NodeEntry{Node: i, Group: i % 100})
	}
	sim := newSimulation(t, settings, nodes)
	sim.partWork = 0.14
	sim.nodeCapacity = 10
	sim.broker.classes[0].partWork = 0.12
	sim.broker.classes[1].partWork = 0.12
	for i := range 60 {
		wide := i%3 == 0
		shardCount := 4
		if wide {
			shardCount = 60
		}
		var shards []int
		for j := range shardCount {
			shards = append(shards, (7*i+j)%100)
		}
		class := 0
		if wide {
			class = 1
		}
		search := sim.startSearch(class, sim.settings.Classes[class].Timeout, shards...)
		sim.advance(0.15)
		for j := range search.parts {
			if search.parts[j].inFlight {
				sim.endAttempt(search, j, OK)
			}
		}
		sim.advance(0.5)
	}
	if sim.rejectCount > 0 {
		t.Fatalf("%d of 60 searches shed on an idle fleet", sim.rejectCount)
	}
}

// TestLostPartsDoNotCountAsOverload checks that a lost part, at a node that goes on answering, neither counts as late
// for the concurrency limit nor lowers the shed scale, by which more searches would be shed.
func TestLostPartsDoNotCountAsOverload(t *testing.T) {
	// Each shard has one holder, so that the part cannot move.
	sim := newDefaultSimulation(t, 2)
	lost := sim.startSearch(0, 4, 0)
	for !lost.ended {
		search := sim.startSearch(0, 4, 0)
		scaleBefore := sim.broker.shedScale
		sim.advance(0.05)
		sim.endAttempt(search, 0, OK)
		if sim.broker.shedScale < 0.97*scaleBefore {
			t.Fatalf("searches are shed earlier for a lost part: shed scale %.2f after %.2f", sim.broker.shedScale, scaleBefore)
		}
	}
	sim.endAttempt(lost, 0, Cancelled)
	if sim.broker.lateShare > 0 {
		t.Fatal("a lost part counts as late for the concurrency limit")
	}
}
