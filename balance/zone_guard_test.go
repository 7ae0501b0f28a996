package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"brackenfront/random"
	"brackenfront/zones"
)

// zoneGuardSettings returns the configuration of the zone guard that the tests use.
func zoneGuardSettings() *zones.Config {
	return &zones.Config{
		SpilloverShare:       0.5,
		InitialShare:         0.2,
		WarmupSeconds:        10,
		RetryDelaySeconds:    2,
		MaxRetryDelaySeconds: 60,
		LossMemorySeconds:    60,
		ProbesAllowed:        true,
	}
}

// newThreeZoneSimulation returns a simulation with four shards, each with one holder in each of three zones: zone 0 has
// the nodes 0 to 3, zone 1 has 4 to 7 and zone 2 has 8 to 11. config configures the zone guard; nil for none.
func newThreeZoneSimulation(t testing.TB, config *zones.Config) *simulation {
	settings, _ := defaultSettings()
	settings.Groups = 4
	settings.Shards = 4
	settings.ZoneGuard = config
	var nodes []NodeEntry
	for i := range 12 {
		nodes = append(nodes, NodeEntry{Node: i, Group: i % 4, Zone: i / 4})
	}
	return newSimulation(t, settings, nodes)
}

// playRandomSearches runs searches of class 0, each with a part for each of the shards 0 to 3, at random intervals,
// with replies after random times, for a number of seconds; seed seeds the random numbers. Attempts at nodes for which
// lost returns true end as ConnectionLost, and probes of them fail. It returns each answer as a string of the virtual
// time in seconds, the shard and the node, separated by spaces, in order of time.
func (sim *simulation) playRandomSearches(seed uint64, seconds float64, lost func(node int) bool) (answers []string) {
	var source random.Source
	source.Seed(seed)
	// A reply is the end of an attempt that is to be reported.
	type reply struct {
		// at is the virtual time in seconds of the report.
		at float64
		// search is the search that the attempt belongs to.
		search *simulatedSearch
		// partIndex is the index of the attempt's part in the search.
		partIndex int
	}
	var due []reply
	for end := sim.now + seconds; sim.now < end; {
		known := len(sim.searches)
		sim.startSearch(0, 4, 0, 1, 2, 3)
		search := sim.searches[known]
		next := sim.now + 0.05 + 0.1*source.Float64()
		for i := range search.parts {
			due = append(due, reply{sim.now + 0.02 + 0.05*source.Float64(), search, i})
		}
		for sim.now < next {
			slices.SortFunc(due, func(one, other reply) int { return int(math.Copysign(1, one.at-other.at)) })
			if len(due) == 0 || due[0].at > next {
				sim.advance(next - sim.now)
				break
			}
			first := due[0]
			due = due[1:]
			sim.advance(max(first.at-sim.now, 0))
			part := first.search.parts[first.partIndex]
			switch {
			case !part.inFlight:
			case part.cancelled:
				sim.endAttempt(first.search, first.partIndex, Cancelled)
			case lost(part.node):
				sim.endAttempt(first.search, first.partIndex, ConnectionLost)
				due = append(due, reply{sim.now + 0.05, first.search, first.partIndex})
			default:
				answers = append(answers, fmt.Sprintf("%.4f %d %d", sim.now, part.shard, part.node))
				sim.endAttempt(first.search, first.partIndex, OK)
			}
		}
		for _, node := range sim.probesRequested {
			sim.runTurn(func() { sim.broker.ProbeEnded(node, !lost(node)) })
		}
		sim.probesRequested = nil
	}
	return answers
}

// TestZoneGuardChangesNothingWhileNoZoneIsLost checks that the zone guard changes nothing while no zone has failed as a
// whole: the same random searches bring the same answers, from the same nodes at the same times, with it and without
// it.
func TestZoneGuardChangesNothingWhileNoZoneIsLost(t *testing.T) {
	for seed := range uint64(20) {
		// noneLost and oneLost return whether a node fails all attempts.
		noneLost := func(int) bool { return false }
		// One lost node is not a lost zone.
		oneLost := func(node int) bool { return node == int(seed)%12 }
		for _, lost := range []func(int) bool{noneLost, oneLost} {
			with := newThreeZoneSimulation(t, zoneGuardSettings()).playRandomSearches(seed, 20, lost)
			without := newThreeZoneSimulation(t, nil).playRandomSearches(seed, 20, lost)
			if len(with) < 400 || !slices.Equal(with, without) {
				t.Fatalf("seed %d: %d answers with the guard, %d without, or they differ", seed, len(with), len(without))
			}
		}
	}
}

// newSimulationWithLostZone returns a simulation whose third zone, nodes 8 to 11, has failed all attempts for the last
// three seconds. isLost returns whether a node fails its attempts now; no node does once *down is set to false.
func newSimulationWithLostZone(t testing.TB) (sim *simulation, down *bool, isLost func(node int) bool) {
	sim = newThreeZoneSimulation(t, zoneGuardSettings())
	down = new(bool)
	isLost = func(node int) bool { return *down && node >= 8 }
	sim.playRandomSearches(1, 15, isLost)
	*down = true
	sim.playRandomSearches(2, 3, isLost)
	return sim, down, isLost
}

// sendsToThirdZone returns the number of parts that have been sent to the nodes of the third zone, 8 to 11.
func (sim *simulation) sendsToThirdZone() (sends int) {
	for node := 8; node < 12; node++ {
		sends += len(sim.sendTimes[node])
	}
	return sends
}

// leaveShardThreeToThirdZone makes all holders of shard 3 depart but the one in the third zone.
func (sim *simulation) leaveShardThreeToThirdZone() {
	for i := range sim.nodes {
		if sim.nodes[i].Group == 3 && sim.nodes[i].Zone != 2 {
			sim.nodes[i].Status = Departed
		}
	}
	sim.runTurn(func() { sim.broker.UpdateNodes(true, sim.nodes) })
}

// TestLostZoneIsAvoidedAndComesBack checks that no part is sent to a lost zone, one that the zone guard takes to have
// failed as a whole, until probes of its nodes succeed, and that its nodes count as cold when they answer again.
func TestLostZoneIsAvoidedAndComesBack(t *testing.T) {
	sim, down, isLost := newSimulationWithLostZone(t)
	if status := sim.broker.zoneGuard.Status(2); status.Stage == zones.Healthy || !sim.broker.zoneGuard.CapsActive() {
		t.Fatalf("the zone counts as %v", status.Stage)
	}
	sendsBefore := sim.sendsToThirdZone()
	sim.playRandomSearches(3, 8, isLost)
	if sends := sim.sendsToThirdZone() - sendsBefore; sends > 0 {
		t.Fatalf("%d parts went to a lost zone whose probes fail", sends)
	}
	*down = false
	sim.playRandomSearches(4, 16, isLost)
	for node := 8; node < 12; node++ {
		if sim.broker.nodes[node].startedAt < 0 {
			t.Errorf("node %d came back and does not count as cold", node)
		}
	}
	if status := sim.broker.zoneGuard.Status(2); status.Stage != zones.RampingUp && status.Stage != zones.Healthy {
		t.Errorf("the zone counts as %v, 16 s after it came back", status.Stage)
	}
}

// TestSearchIsRejectedIfOnlyHolderIsInLostZone checks that a search is rejected at once, and none of its parts is sent,
// if it needs a shard whose only active holder is in a lost zone, one that the zone guard takes to have failed as a
// whole.
func TestSearchIsRejectedIfOnlyHolderIsInLostZone(t *testing.T) {
	sim, _, _ := newSimulationWithLostZone(t)
	sim.leaveShardThreeToThirdZone()
	sendsBefore := sim.sendCount
	rejectsBefore := sim.rejectCount
	search := sim.startSearch(0, 4, 0, 1, 2, 3)
	if !search.ended || sim.rejectCount != rejectsBefore+1 || sim.sendCount != sendsBefore {
		t.Fatalf("ended %v, %d rejected, %d sent: want it rejected at once", search.ended, sim.rejectCount-rejectsBefore,
			sim.sendCount-sendsBefore)
	}
	search = sim.startSearch(0, 4, 0, 1)
	if search.ended {
		t.Fatal("a search of other shards has ended, too")
	}
}

// TestPartFailingInLostZoneEndsItsSearch checks that a search ends at once, and not at its latency target, if a part
// fails whose only holder is in a zone that the zone guard found lost, that is failed as a whole, while the part was in
// flight.
func TestPartFailingInLostZoneEndsItsSearch(t *testing.T) {
	sim := newThreeZoneSimulation(t, zoneGuardSettings())
	down := false
	// isLost returns whether a node fails its attempts now.
	isLost := func(node int) bool { return down && node >= 8 }
	sim.playRandomSearches(1, 15, isLost)
	sim.leaveShardThreeToThirdZone()
	search := sim.startSearch(0, 4, 3)
	if search.ended || !search.parts[0].inFlight {
		t.Fatal("the part is not sent")
	}
	for node := 8; node < 11; node++ {
		sim.broker.zoneGuard.RecordFailure(node)
	}
	sim.broker.zoneGuard.RecordSuccess(0, 0.05, 1)
	for node := 8; node < 11; node++ {
		sim.broker.zoneGuard.RecordFailure(node)
	}
	if stage := sim.broker.zoneGuard.Status(2).Stage; stage != zones.Lost {
		t.Fatalf("the zone counts as %v", stage)
	}
	sim.endAttempt(search, 0, ConnectionLost)
	if !search.ended {
		t.Fatal("the search has not ended")
	}
}

// TestLowUtilityIsShedFirstWhileZoneIsLost checks which searches are shed while a zone is lost, that is failed as a
// whole, and the other zones cannot take over all of its load: searches of lower utility are shed more often than
// others, and every shed search is rejected at once.
func TestLowUtilityIsShedFirstWhileZoneIsLost(t *testing.T) {
	config := zoneGuardSettings()
	config.SpilloverShare = 0
	settings, _ := defaultSettings()
	settings.Groups = 4
	settings.Shards = 4
	settings.ZoneGuard = config
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[1].Utility = 20
	settings.Classes[1].Name = "high utility"
	var nodes []NodeEntry
	for i := range 12 {
		nodes = append(nodes, NodeEntry{Node: i, Group: i % 4, Zone: i / 4})
	}
	sim := newSimulation(t, settings, nodes)
	var shed, counted [2]int
	down := false
	for i := 0; sim.now < 1060; i++ {
		down = sim.now > 1020
		class := i % 2
		rejectsBefore := sim.rejectCount
		search := sim.startSearch(class, 4, 0, 1, 2, 3)
		if sim.now > 1025 {
			counted[class]++
			shed[class] += sim.rejectCount - rejectsBefore
			if sim.rejectCount > rejectsBefore && !search.ended {
				t.Fatal("a search is rejected, but not at once")
			}
		}
		sim.advance(0.05)
		for j, part := range search.parts {
			for part.inFlight {
				outcome := OK
				if part.cancelled {
					outcome = Cancelled
				} else if down && part.node >= 8 {
					outcome = ConnectionLost
				}
				sim.endAttempt(search, j, outcome)
			}
		}
		sim.advance(0.05)
		for _, node := range sim.probesRequested {
			sim.runTurn(func() { sim.broker.ProbeEnded(node, !(down && node >= 8)) })
		}
		sim.probesRequested = nil
	}
	lowShare := float64(shed[0]) / float64(counted[0])
	highShare := float64(shed[1]) / float64(counted[1])
	if lowShare < 0.25 || highShare > lowShare/2 || lowShare > 0.9 {
		t.Fatalf("%.2f of the searches of low utility and %.2f of those of high utility were rejected", lowShare, highShare)
	}
}
