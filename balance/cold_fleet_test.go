package balance

import (
	"cmp"
	"math"
	"sort"

	"brackenfront/internal/virtualtime"
	"brackenfront/random"
)

// This file simulates a fleet of brokers over nodes of which some start cold, with a checker outside of the brokers.

const (
	// coldStartShare is the share of its capacity that a simulated node has when it starts; it grows evenly to 1 over
	// coldWarmupTime.
	coldStartShare = 0.16
	// coldWarmupTime is the time in seconds after its start during which a simulated node is cold.
	coldWarmupTime = 15.0
	// coldOverloadWindow is the length in seconds of the overload window, in which the work sent to a cold node is
	// summed up.
	coldOverloadWindow = 3.0
	// coldOverloadMultiple is the work that a cold node can take in one coldOverloadWindow, as a multiple of what its
	// current capacity can process in that time.
	coldOverloadMultiple = 3.0
	// coldMeanWork is the mean work of an attempt, in seconds of one core.
	coldMeanWork = 0.1
	// coldLightWork is the work of an attempt of the first class, as a multiple of coldMeanWork.
	coldLightWork = 0.8
	// coldHeavyWork is the work of an attempt of the second class, as a multiple of coldMeanWork.
	coldHeavyWork = 1.2
	// coldFailureTime is the time in seconds that a node works on an attempt in coldScenario.failingAfterStart, at whose
	// end it answers with an error.
	coldFailureTime = 0.001
	// coldFirstStart is the virtual time in seconds when the first cold nodes start.
	coldFirstStart = 12.0
	// coldStartSpread is the time in seconds, from coldFirstStart on, within which all cold nodes start.
	coldStartSpread = 3.0
	// coldDownTime is the time in seconds that a cold node was down before its start.
	coldDownTime = 3.0
	// coldLateNotice is the delay in seconds with which the brokers of coldScenario.lateShare learn of the start of a
	// node.
	coldLateNotice = 5.0
	// coldBurstTime is the time in seconds, from coldFirstStart on, for which the load is raised by
	// coldScenario.burstFactor.
	coldBurstTime = 10.0
	// coldNetworkDelay is the time in seconds that a message takes from broker to node, or back.
	coldNetworkDelay = 0.001
	// coldSimulationEnd is the virtual time in seconds when a simulation ends.
	coldSimulationEnd = coldFirstStart + coldStartSpread + coldWarmupTime
)

// coldScenario describes a simulated fleet and its faults. A fault whose field is zero does not occur.
type coldScenario struct {
	// name is the scenario's name in tables and flags.
	name string
	// brokerCount is the number of brokers that run, as opposed to the number in their settings (configuredShare).
	brokerCount int
	// configuredShare is the number of brokers that the settings name, as a multiple of brokerCount, to simulate wrong
	// settings; 0 stands for 1.
	configuredShare float64
	// loadShare is the load as a share of the capacity of all nodes, without the factor burstFactor; 0 stands for 0.5.
	loadShare float64
	// cores is the number of cores of each node; 0 stands for 2.
	cores float64
	// burstFactor is the factor on the load in the coldBurstTime seconds from coldFirstStart on; 0 stands for 1.
	burstFactor float64
	// shardsPerSearch is the number of shards of a search, each of which gets one part; 0 stands for 4.
	shardsPerSearch int
	// adjacent says that the cold nodes follow one another in the order of the nodes, so that all replicas of some
	// shards are on cold nodes.
	adjacent bool
	// coldEvery is the number of nodes for each cold one: one node in coldEvery starts cold; 0 stands for 6.
	coldEvery int
	// lateShare is the share of the brokers that learn coldLateNotice seconds late that a node has restarted: until
	// then they take it for a warm one.
	lateShare float64
	// restartShare is the share of the brokers that restart while nodes warm up, all at the time coldFirstStart +
	// coldStartSpread unless restartsSpread is set.
	restartShare float64
	// firstBrokerShare is the share of the traffic that goes to the first broker in addition to an even part of the
	// rest.
	firstBrokerShare float64
	// zipfTraffic says that the n-th broker has 1/n of the first one's traffic.
	zipfTraffic bool
	// lostShare is the share of the answers that is lost: the attempt ends with ConnectionLost after the node has
	// worked on it.
	lostShare float64
	// warmAtOnce says that the nodes that the brokers take for cold have their full capacity at once, so that only the
	// slow start limits the attempts sent to them.
	warmAtOnce bool
	// slowStartOff says that the brokers limit nothing that is sent to cold nodes: they have no slow start.
	slowStartOff bool
	// neighboursRefuse says that both nodes beside each cold one refuse all connections, though the list names them.
	neighboursRefuse bool
	// failingShare is the share of errors among the answers of all nodes, from coldFirstStart on.
	failingShare float64
	// restartsSpread says that each broker restarts at a random time within twice coldStartSpread from coldFirstStart
	// on, instead of all in one moment.
	restartsSpread bool
	// unevenSizes says that the work of attempts is multiplied by random factors, of which the largest is sixteen times
	// the smallest.
	unevenSizes bool
	// maxPartsPerCall is the most parts that may share one call to a node; 0 stands for 1.
	maxPartsPerCall int
	// maxDialTime is the longest time in seconds until a broker's first connection to a cold node opens; the time is
	// drawn evenly from 0 to it. 0 means that connections open at once.
	maxDialTime float64
	// restartsPerBroker is the number of restarts of each broker that restarts; 0 stands for 1.
	restartsPerBroker int
	// failingAfterStart is the time in seconds after its start for which a cold node answers all attempts with errors.
	failingAfterStart float64
	// swingPeriod is the time in seconds for which all traffic goes to one half of the brokers before it goes to the
	// other half, in turn; 0 if it goes to all.
	swingPeriod float64
}

// simulatedNode is a node that works off a queue. While it is cold, all that reaches it is counted.
type simulatedNode struct {
	// up says that the node runs. A node that starts cold is down for coldDownTime before startedAt.
	up bool
	// warmAtOnce says that the node has its full capacity from its start on (coldScenario.warmAtOnce).
	warmAtOnce bool
	// overloaded says that the work that the node received in some overload window was above the overload limit, which
	// coldFleet.worstWorkPerOverloadLimit describes. The windows that count there also count here.
	overloaded bool
	// refusesAll says that the node refuses all connections.
	refusesAll bool
	// startedAt is the virtual time in seconds at which the node starts again and is cold from then on. It is +Inf for a
	// node that never does so in the simulation, and is warm throughout.
	startedAt float64
	// cores is the number of cores, which work together on one attempt after the other.
	cores float64
	// idleAt is the virtual time in seconds when the node will have worked off its queue.
	idleAt float64
	// windowArrivals are those of coldArrivals that lie within the overload window that ends with the newest one.
	windowArrivals []coldArrival
	// coldArrivals are all attempts and probes that arrived while the node was cold, in order of time.
	coldArrivals []coldArrival
}

// coldArrival is an attempt or a probe that arrived at a cold node. A probe counts as an attempt of mean work.
type coldArrival struct {
	// at is the virtual time of the arrival, in seconds.
	at float64
	// work is the work of the attempt or probe, as a multiple of the mean work of an attempt (coldMeanWork).
	work float64
	// unnoticedWork is work if the broker that sent it had not learned of the node's start yet, else 0. Only
	// simulatedNode.windowArrivals has it.
	unnoticedWork float64
}

// capacityShare returns the share of its full capacity that a node has at the virtual time now, in seconds, according
// to coldStartShare and coldWarmupTime: 1 while it is warm, and also before its start.
func (n *simulatedNode) capacityShare(now float64) float64 {
	if now < n.startedAt || now >= n.startedAt+coldWarmupTime {
		return 1
	}
	return coldStartShare + (1-coldStartShare)*(now-n.startedAt)/coldWarmupTime
}

// coldFleet is a simulation of brokers over nodes of which some start cold. It checks, apart from the brokers, what is
// sent to these.
type coldFleet struct {
	// coldScenario is the scenario that is simulated.
	coldScenario
	// clock is the simulation's clock and its queue of scheduled events.
	clock virtualtime.Clock
	// random draws all random numbers of the simulation, except for those that the brokers draw.
	random random.Source
	// settings are the settings of all brokers, but for the seed, which each process gets at random.
	settings Settings
	// nodes are the simulated nodes, by the index that the brokers know them by.
	nodes []simulatedNode
	// brokers are the fleet's brokers, in ascending order of cumulativeTraffic, so that scheduleSearches can find the
	// broker for a random number by bisection.
	brokers []*simulatedBroker
	// worstWorkPerAllowed is the most work that any cold node received in an overload window, divided by the work that
	// the settings allow it. A window only counts if over two thirds of its work came from brokers that had learned of
	// the node's start.
	worstWorkPerAllowed float64
	// worstWorkPerOverloadLimit is the most work that any cold node received in an overload window, divided by the
	// overload limit, above which the node counts as overloaded: what the settings allow, a, plus 2*sqrt(a) + 2 for
	// random variation, all as multiples of coldMeanWork. The same windows count as for worstWorkPerAllowed.
	worstWorkPerOverloadLimit float64
	// overloadedNodes is the number of nodes that are simulatedNode.overloaded.
	overloadedNodes int
	// coldWorkReceived is the work that all nodes that start cold received together in the coldWarmupTime after their
	// start, probes included, as a multiple of coldMeanWork.
	coldWorkReceived float64
}

// runColdFleet simulates a scenario with a number of brokers until coldSimulationEnd and returns the fleet with its
// measurements. The fleet has 24 nodes, or 48 with 60 brokers or more; each node is a replica group of its own, and
// each shard has three holders. seed seeds the random numbers.
func runColdFleet(scenario coldScenario, brokerCount int, seed uint64) *coldFleet {
	scenario.brokerCount = brokerCount
	fleet := &coldFleet{coldScenario: scenario, nodes: make([]simulatedNode, min(24*max(brokerCount/30, 1), 48))}
	fleet.random.Seed(seed)
	fleet.settings = Settings{
		Brokers:           max(int(cmp.Or(scenario.configuredShare, 1)*float64(brokerCount)), 1),
		Tick:              0.05,
		Groups:            len(fleet.nodes),
		GroupsPerShard:    3,
		Shards:            len(fleet.nodes),
		MaxPartsPerCall:   scenario.maxPartsPerCall,
		MaxAttempts:       4,
		CanCancel:         true,
		CanProbe:          true,
		WarmupTime:        coldWarmupTime,
		WarmupStartShare:  coldStartShare,
		OverloadWindow:    coldOverloadWindow,
		OverloadMultiple:  coldOverloadMultiple,
		RetryBudgetMin:    20,
		RetryBudgetShare:  0.2,
		RetryBudgetWindow: 10,
		Classes: []SearchClass{
			{Name: "urgent", LatencyTarget: 1.2, Timeout: 4, Utility: 2, CompleteShare: 1, MinShare: 1},
			{Name: "usual", LatencyTarget: 2, Timeout: 4, Utility: 1, LateUtility: 0.1, CompleteShare: 1, MinShare: 1},
		},
	}
	if scenario.slowStartOff {
		fleet.settings.WarmupTime = 0
	}
	for i := range fleet.nodes {
		node := &fleet.nodes[i]
		node.up = true
		node.warmAtOnce = scenario.warmAtOnce
		node.cores = cmp.Or(scenario.cores, 2)
		node.startedAt = math.Inf(1)
		coldEvery := cmp.Or(scenario.coldEvery, 6)
		if scenario.adjacent && i < len(fleet.nodes)/coldEvery || !scenario.adjacent && i%coldEvery == 0 {
			node.startedAt = coldFirstStart + coldStartSpread*fleet.random.Float64()
			fleet.clock.After(node.startedAt-coldDownTime, func() { node.up = false })
			fleet.clock.After(node.startedAt, func() { node.up = true })
		}
	}
	for i := range fleet.nodes {
		// isCold returns whether the node j places after node i, counted around the fleet, starts cold.
		isCold := func(j int) bool { return !math.IsInf(fleet.nodes[(i+j)%len(fleet.nodes)].startedAt, 1) }
		fleet.nodes[i].refusesAll = scenario.neighboursRefuse && !isCold(0) && (isCold(1) || isCold(len(fleet.nodes)-1))
	}
	fleet.startBrokers()
	fleet.clock.After(0, fleet.scheduleSearches)
	for fleet.clock.Step(coldSimulationEnd) {
	}
	return fleet
}

// startBrokers starts all brokers. For each it schedules when it learns from the node list that nodes stop and start,
// and, for those that the scenario restarts, the restarts of its process.
func (f *coldFleet) startBrokers() {
	traffic := 0.0
	for i := range f.brokerCount {
		traffic++
		if f.zipfTraffic {
			traffic += 1/float64(i+1) - 1
		} else if i == 0 {
			traffic += float64(f.brokerCount) * f.firstBrokerShare / (1 - f.firstBrokerShare)
		}
		broker := &simulatedBroker{fleet: f, noticedLate: f.random.Float64() < f.lateShare, cumulativeTraffic: traffic}
		f.brokers = append(f.brokers, broker)
		broker.startProcess()
		for nodeIndex, node := range f.nodes {
			// update passes the node's present entry of the node list to the broker.
			update := func() { broker.runTurn(func() { broker.UpdateNodes(false, []NodeEntry{f.nodeEntry(nodeIndex)}) }) }
			if !broker.noticedLate {
				f.clock.After(node.startedAt-coldDownTime, update)
				f.clock.After(node.startedAt, update)
			}
			f.clock.After(node.startedAt+coldLateNotice, update)
		}
		if f.random.Float64() < f.restartShare {
			for range max(f.restartsPerBroker, 1) {
				at := coldFirstStart + coldStartSpread
				if f.restartsSpread {
					at = coldFirstStart + 2*coldStartSpread*f.random.Float64()
				}
				f.clock.After(at, broker.startProcess)
			}
		}
	}
}

// nodeEntry returns the entry that the node list has now for a node.
func (f *coldFleet) nodeEntry(nodeIndex int) NodeEntry {
	node := &f.nodes[nodeIndex]
	entry := NodeEntry{Node: nodeIndex, Group: nodeIndex}
	if !node.up {
		entry.Status = Departed
	} else if f.clock.Now >= node.startedAt {
		entry.StartedAt = node.startedAt
	}
	return entry
}

// evenNodeRate returns how many attempts of mean work (coldMeanWork) a node would get per second if all nodes got the
// same number. It leaves out coldScenario.burstFactor, which raises the load for a time.
func (f *coldFleet) evenNodeRate() float64 {
	return cmp.Or(f.loadShare, 0.5) * f.nodes[0].cores / coldMeanWork
}

// scheduleSearches starts one search at a random broker and schedules its own next call after a random delay, so that
// searches arrive at random, at the rate that the scenario's load requires.
func (f *coldFleet) scheduleSearches() {
	rate := f.evenNodeRate() * float64(len(f.nodes)) / float64(cmp.Or(f.shardsPerSearch, 4))
	if f.clock.Now >= coldFirstStart && f.clock.Now < coldFirstStart+coldBurstTime {
		rate *= cmp.Or(f.burstFactor, 1)
	}
	f.clock.After(-math.Log(1-f.random.Float64())/rate, f.scheduleSearches)
	traffic := f.brokers[f.brokerCount-1].cumulativeTraffic
	at := f.random.Float64() * traffic
	if f.swingPeriod > 0 {
		at = (at + traffic*math.Mod(math.Floor(f.clock.Now/f.swingPeriod), 2)) / 2
	}
	broker := f.brokers[sort.Search(f.brokerCount-1, func(i int) bool { return f.brokers[i].cumulativeTraffic > at })]
	class := int(2 * f.random.Float64())
	firstShard := int(f.random.Float64() * float64(len(f.nodes)))
	shards := cmp.Or(f.shardsPerSearch, 4)
	broker.runTurn(func() {
		search := broker.AddSearch(class, -1, f.settings.Classes[class].Timeout, 0)
		for j := range shards {
			search.AddPart((firstShard+j)%len(f.nodes), 1/float64(shards))
		}
	})
}

// recordArrival is called for each attempt or probe that reaches a node. It measures whether cold nodes are overloaded:
// it compares the work that reached a cold node within the last overload window with what the settings allow it now,
// and updates the largest ratios and the count of overloaded nodes. broker is the one that sent the attempt or probe,
// amount its work as a multiple of coldMeanWork.
func (f *coldFleet) recordArrival(broker *simulatedBroker, node *simulatedNode, amount float64) {
	now := f.clock.Now
	if node.capacityShare(now) == 1 {
		return
	}
	f.coldWorkReceived += amount
	node.coldArrivals = append(node.coldArrivals, coldArrival{at: now, work: amount})
	node.windowArrivals = append(node.windowArrivals, coldArrival{at: now, work: amount})
	if broker.noticedLate && now < node.startedAt+coldLateNotice {
		node.windowArrivals[len(node.windowArrivals)-1].unnoticedWork = amount
	}
	for node.windowArrivals[0].at <= now-coldOverloadWindow {
		node.windowArrivals = node.windowArrivals[1:]
	}
	all := 0.0
	unnoticed := 0.0
	for _, arrival := range node.windowArrivals {
		all += arrival.work
		unnoticed += arrival.unnoticedWork
	}
	// Only windows count in which over two thirds came from brokers that had learned of the start.
	if 3*unnoticed >= all {
		return
	}
	allowed := coldOverloadMultiple * node.capacityShare(now) * node.cores * coldOverloadWindow / coldMeanWork
	overloadLimit := allowed + 2*math.Sqrt(allowed) + 2
	f.worstWorkPerAllowed = max(f.worstWorkPerAllowed, all/allowed)
	f.worstWorkPerOverloadLimit = max(f.worstWorkPerOverloadLimit, all/overloadLimit)
	if all > overloadLimit && !node.overloaded {
		node.overloaded = true
		f.overloadedNodes++
	}
}

// coldWorkShare returns the work that cold nodes received while they warmed up, as a share of what they would have
// received if all nodes had got the same; 1 means as much as the others. By it TestColdNodes notices a slow start that
// keeps nearly all work from cold nodes.
func (f *coldFleet) coldWorkShare() float64 {
	seconds := coldWarmupTime + coldBurstTime*(cmp.Or(f.burstFactor, 1)-1)
	return f.coldWorkReceived / (f.evenNodeRate() * float64(len(f.nodes)/cmp.Or(f.coldEvery, 6)) * seconds)
}
