package main

import (
	"fmt"

	"brackenfront/lease"
)

// scenario is the demand on the fleet of a model (the units that clients request), and the faults injected into it.
type scenario struct {
	// name is the name of the scenario in the printed table.
	name string
	// steady says that the demand is constant except for one event, so that there is a rule for the share that is spent.
	steady bool
	// demand returns, for n brokers, the function model.demand: it takes a broker's index i and a time at, in seconds, and returns
	// the rate at which that broker's clients request units then, in units a second.
	demand func(n int) func(i int, at float64) float64
	// schedule schedules the faults of the scenario; nil for none.
	schedule func(m *model)
}

// scenarios are all scenarios, in the order of the table.
var scenarios = []scenario{
	{"one carries a fifth, then another does", true, oneBusyBroker, nil},
	{"half die at once", true, evenDemand(900), killHalf},
	{"restarts, a tenth at a time", false, evenDemand(900), restartByTenths},
	{"a burst that wanders every 0.7 lease times", false, movingBurst, nil},
}

// oneBusyBroker is a scenario.demand of 900 units a second for n brokers, a fifth of which one broker gets: the first, and from
// eventTime on the last. The others share the rest evenly.
func oneBusyBroker(n int) func(int, float64) float64 {
	return func(i int, at float64) float64 {
		busy := 0
		if at >= eventTime {
			busy = n - 1
		}
		if i == busy {
			return 180
		}
		return 720 / float64(n-1)
	}
}

// evenDemand returns a scenario.demand whose total is constant at unitsPerSecond and is divided evenly among n brokers, whatever the
// broker and the time.
func evenDemand(unitsPerSecond float64) func(n int) func(i int, at float64) float64 {
	return func(n int) func(i int, at float64) float64 {
		return func(int, float64) float64 { return unitsPerSecond / float64(n) }
	}
}

// movingBurst is a scenario.demand that divides 400 units a second evenly among n brokers and adds 500 units a second at one
// broker, a different one every 0.7 times leaseTTL.
func movingBurst(n int) func(int, float64) float64 {
	return func(i int, at float64) float64 {
		rate := 400 / float64(n)
		if int(at/0.7)*7%n == i {
			rate += 500
		}
		return rate
	}
}

// killHalf schedules that the second half of the model's brokers stop at eventTime, without ending their sessions, and stay down.
func killHalf(m *model) {
	m.After(eventTime-m.Now, func() {
		for _, b := range m.brokers[len(m.brokers)/2:] {
			b.down = true
		}
	})
}

// restartByTenths schedules an orderly shutdown and restart of all the model's brokers from eventTime on, a tenth of them every
// 0.6 s; each is down for 0.3 s.
func restartByTenths(m *model) {
	brokerCount := len(m.brokers)
	group := max(brokerCount/10, 1)
	for first := 0; first < brokerCount; first += group {
		m.After(eventTime-m.Now+0.6*float64(first/group), func() {
			for _, b := range m.brokers[first:min(first+group, brokerCount)] {
				b.allowances.Close(m.Now)
				b.session.End()
				if call, ok := b.session.NextCall(m.Now, true); ok {
					m.state.Apply(lease.Command{Time: m.Now, Calls: []lease.Call{call}})
				}
				b.down = true
			}
		})
		m.After(eventTime-m.Now+0.6*float64(first/group)+0.3, func() {
			for _, b := range m.brokers[first:min(first+group, brokerCount)] {
				b.start()
			}
		})
	}
}

// measureModel runs all scenarios at the given numbers of brokers, with each division, and prints the units spent as a share of
// those with one shared bucket. sizes are the numbers of brokers, and seed is the seed of each model's random numbers.
func measureModel(seed uint64, sizes []int, must func(holds bool, what, figure, aim string)) {
	for _, scenario := range scenarios {
		for _, brokerCount := range sizes {
			models := map[string]*model{}
			for _, division := range []string{evenDivision, councilDivision, sharedBucket} {
				m := newModel(brokerCount, division, seed)
				m.demand = scenario.demand(brokerCount)
				if scenario.schedule != nil {
					scenario.schedule(m)
				}
				m.run()
				models[division] = m
			}
			best := models[sharedBucket]
			// share returns the units spent in m between two times, in seconds, as a share of those spent with one shared bucket.
			share := func(m *model, from, to float64) float64 {
				return m.spentBetween(from, to) / max(best.spentBetween(from, to), 1)
			}
			// recovery is the time in seconds from the event until the share over windows of half a second stays at 0.95 or above.
			recovery := 0.0
			for at := eventTime; at < endTime-0.6; at += 0.1 {
				if share(models[councilDivision], at, at+0.5) < 0.95 {
					recovery = at + 0.1 - eventTime
				}
			}
			divided := models[councilDivision]
			even := models[evenDivision]
			figure := fmt.Sprintf("before %.3f (even %.3f), after %.3f (even %.3f)", share(divided, 6, eventTime), share(even, 6, eventTime),
				share(divided, eventTime, endTime), share(even, eventTime, endTime))
			if scenario.steady {
				figure += fmt.Sprintf(", back in %.1f", recovery)
				must(share(divided, 6, eventTime) >= 0.95 && recovery <= 2 && divided.excess == 0, fmt.Sprintf("%s, %d brokers", scenario.name, brokerCount), figure, "0.95, back in 2 lease times")
			} else {
				must(divided.excess == 0, fmt.Sprintf("%s, %d brokers", scenario.name, brokerCount), figure, "never more than the whole")
			}
			if scenario.name == scenarios[0].name {
				fmt.Printf("%-58s %-34s\n", fmt.Sprintf("calls about one budget, %d brokers", brokerCount),
					fmt.Sprintf("%.1f a lease time and broker, %.0f bytes each both ways", float64(divided.calls)/float64(brokerCount)/(endTime-2), float64(divided.bytes)/float64(max(divided.calls, 1))))
			}
		}
	}
}
