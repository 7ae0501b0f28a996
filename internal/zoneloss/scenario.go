// Package zoneloss runs scenarios in which zones of nodes are lost and come back: stand-in workers that model capacity, warm-up
// and failure under overload, several broker processes of the program, clients that send searches whatever the answers, and an
// evaluation of what was sent over the sockets. Everything runs on loopback, and all figures hold for these stand-ins only.
//
// Terms of this package:
//   - A zone is a group of workers that fail together, such as one hall of a data centre.
//   - A worker is a stand-in for a node: a server that runs the parts of searches.
//   - A replica group is a set of workers that serve the same shard, one in each zone. Shards and replica groups have the same numbers.
//   - The loss is the time span from Scenario.LossStart to Scenario.LossEnd, in which the affected workers are in the condition
//     Scenario.Fault.
//   - The affected workers are those of Scenario.LostZones (or a half of them), or those that Scenario.HalfOfEveryZone names.
//   - A cold worker has started again after a fault within the last 12 s and has less capacity; it fails if it gets too much load. It is
//     warm after that, and at the start of the scenario.
//   - The guard is the broker's protection of healthy zones against too much load when other zones are lost.
//   - The cap of a zone is the highest load that the guard lets it have during a loss: its usual load and Scenario.SpillPercent of that.
//   - The utility of a search is what its answer is worth; the service is the utility of the searches answered in time, as a share of the
//     utility of all that were sent (see Result).
//   - The discovery service sends the list of nodes to the brokers; a watch is a request whose answer goes on with each change of it.
package zoneloss

import (
	"time"

	"brackenfront/internal/standin"
)

const (
	// groupCount is the number of replica groups; each has one worker in each zone.
	groupCount = 4
	// brokerCount is the number of broker processes.
	brokerCount = 4
)

// Zones are the names of the zones.
var Zones = []string{"east", "north", "south"}

// WorkerStrength is the capacity of each worker: 50 parts a second, two at once. A cold worker (one that has just started) begins with
// a tenth of that, so that the load from before a loss would make it fail.
var WorkerStrength = standin.CapacityModel{
	PartDuration:      40 * time.Millisecond,
	Concurrency:       2,
	WarmupTime:        12 * time.Second,
	ColdCapacityShare: 0.1,
	CrashLoadFactor:   1.2,
	CrashLoadWindow:   2 * time.Second,
}

// Policy determines how the worker for a part is chosen. Its value is the name in the table of results.
type Policy string

const (
	// Guarded is the program with the setting halls.guard, its protection against the loss of zones.
	Guarded Policy = "guard"
	// WithoutGuard is the program without the setting halls.guard.
	WithoutGuard Policy = "before"
	// RandomWorker is a baseline without a broker: each part goes to a random worker of its replica group, with no retry.
	RandomWorker Policy = "random"
)

// Scenario describes one run in which zones are lost. Times are in seconds from the start of the run. The field tags keep the names in
// files of results.
type Scenario struct {
	// Name is the scenario's name in the table of results.
	Name string
	// Policy determines how the worker for a part is chosen.
	Policy Policy
	// Load is the rate of parts that the clients' searches cause, as a share of the capacity of all workers, from 0 to 1.
	Load float64
	// SpillPercent is the cap on the load that a zone takes over from lost zones, in percent of its own usual load. It is the brokers'
	// setting halls.spill_percent.
	SpillPercent int `json:"Spill"`
	// Fault is the condition that the affected workers are in during the loss, such as down or slow.
	Fault standin.Condition `json:"Trouble"`
	// LostZones are the indices in Zones of the zones whose workers are affected.
	LostZones []int `json:"Halls"`
	// HalfOfZone restricts the fault to every other worker of the affected zones.
	HalfOfZone bool `json:"Half"`
	// HalfOfEveryZone applies the fault to the workers of replica groups 0 and 1, two of the four groups, in every zone.
	HalfOfEveryZone bool `json:"Every"`
	// FirstZoneOnly makes the node list of discovery say in the whole scenario that the workers of replica groups 0 and 1, two of the four
	// groups, have left in all zones but the first, so that these groups have one worker each.
	FirstZoneOnly bool `json:"Only"`
	// ShardsPerSearch is the number of shards that each search asks for.
	ShardsPerSearch int `json:"Ask"`
	// LossStart is when the loss begins, in seconds from the start of the scenario.
	LossStart float64 `json:"From"`
	// LossEnd is when the loss ends, in seconds from the start of the scenario.
	LossEnd float64 `json:"To"`
	// FlapSeconds is the length of each outage and of each recovery, in seconds, where the zones fail and come back repeatedly;
	// 0 for a single loss.
	FlapSeconds float64 `json:"Beat"`
	// ReturnInterval is the time between the returns of single workers, in seconds; 0 for all at once.
	ReturnInterval float64 `json:"OneByOne"`
	// Announced makes the node list of discovery say that the affected workers have left when the loss begins, and that they are active
	// again when they return. Without it and StaleList the list does not change.
	Announced bool `json:"Told"`
	// StaleList makes the node list of discovery say during the loss that the affected workers have left, although they work on as before:
	// Fault is not injected.
	StaleList bool `json:"Stale"`
	// LateBroker makes the first broker start three seconds after the start of the loss instead of before the scenario.
	LateBroker bool `json:"Late"`
	// PausedBroker stops the second broker's process with SIGSTOP from one second before the start of the loss until half a second after
	// its end.
	PausedBroker bool `json:"Stopped"`
	// UnevenLoad gives the brokers loads in the proportions 1, 2, 3 and 4 in place of equal ones.
	UnevenLoad bool `json:"Uneven"`
	// BurstFactor multiplies the load in the three seconds after the end of the loss; a value up to 1 means no burst.
	BurstFactor float64 `json:"Burst"`
	// Length is the duration of the scenario, in seconds.
	Length float64
	// Binary is the path of the broker's program.
	Binary string
	// Number tells the scenarios of one process apart, from 0 to 250: each has a loopback address of its own.
	Number int
	// Dir is the folder in which the scenario creates its own folder; empty for the system's temporary folder.
	Dir string
}

// Scenarios returns all scenarios. In each the loss begins after 22 seconds, the time that a broker needs to measure the usual load of
// each zone.
func Scenarios() []Scenario {
	base := Scenario{ShardsPerSearch: 3, Load: 0.45, SpillPercent: 100, Fault: standin.ConditionDown, LostZones: []int{0}, LossStart: 22, LossEnd: 32, Length: 60}
	number := 0
	scenario := func(name string, change func(s *Scenario)) Scenario {
		s := base
		number++
		s.Name = name
		s.Number = number
		change(&s)
		return s
	}
	return []Scenario{
		scenario("back cold, list silent", func(*Scenario) {}),
		scenario("back cold, all told", func(s *Scenario) { s.Announced = true }),
		scenario("flaps", func(s *Scenario) {
			s.LossEnd = 46
			s.FlapSeconds = 6
			s.Length = 85
		}),
		scenario("flaps fast", func(s *Scenario) {
			s.Fault = standin.ConditionPartitioned
			s.LossEnd = 34
			s.FlapSeconds = 0.7
		}),
		scenario("half of it", func(s *Scenario) { s.HalfOfZone = true }),
		scenario("its network", func(s *Scenario) { s.Fault = standin.ConditionPartitioned }),
		scenario("probes only", func(s *Scenario) { s.Fault = standin.ConditionProbesOnly }),
		scenario("five times slower", func(s *Scenario) { s.Fault = standin.ConditionSlow }),
		scenario("two of three", func(s *Scenario) {
			s.LostZones = []int{0, 1}
			s.Length = 65
		}),
		scenario("gone in the list, answers", func(s *Scenario) { s.StaleList = true }),
		scenario("near safe load, small cap", func(s *Scenario) {
			s.Load = 0.55
			s.SpillPercent = 20
		}),
		scenario("shards of that hall alone", func(s *Scenario) {
			s.FirstZoneOnly = true
			s.ShardsPerSearch = 2
			s.Load = 0.2
			s.Length = 80
		}),
		scenario("half of every hall", func(s *Scenario) {
			s.LostZones = nil
			s.HalfOfEveryZone = true
			s.ShardsPerSearch = 2
		}),
		scenario("a new broker", func(s *Scenario) { s.LateBroker = true }),
		scenario("a broker that stood still", func(s *Scenario) { s.PausedBroker = true }),
		scenario("uneven brokers", func(s *Scenario) { s.UnevenLoad = true }),
		scenario("one by one", func(s *Scenario) { s.ReturnInterval = 1.5 }),
		scenario("a burst at the return", func(s *Scenario) { s.BurstFactor = 2.5 }),
	}
}
