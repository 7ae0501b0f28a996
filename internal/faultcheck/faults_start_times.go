package faultcheck

import (
	"math"
	"math/rand/v2"
	"time"
)

// startTimeRounds is how often the start times in discovery's list change in a scenario.
const startTimeRounds = 6

// startTimesJumpFault returns a fault in which discovery lists start times of nodes as they come from machines whose clocks are ahead,
// behind, or set repeatedly.
func startTimesJumpFault() InjectedFault {
	return InjectedFault{
		Name:        "start-times-jump",
		Side:        SideDiscovery,
		Description: "the list gives nodes' start times by clocks that are ahead, behind, or set again and again",
		event: func(r *scenarioRun, random *rand.Rand) error {
			for range startTimeRounds {
				for _, n := range r.nodes {
					r.relistNode(n, func(listed *listedNode) { listed.StartTimeMillis = drawStartTime(random) })
				}
				r.waitForSearches()
			}
			return nil
		},
	}
}

// drawStartTime returns a random start time in milliseconds of Unix time. It is an extreme value, a time a century from now or a time close
// to now.
func drawStartTime(random *rand.Rand) int64 {
	const century = 100 * 365 * 24 * time.Hour
	now := time.Now()
	candidates := []int64{
		0,
		1,
		-1,
		math.MinInt64,
		math.MaxInt64,
		now.UnixMilli(),
		now.Add(-century).UnixMilli(),
		now.Add(century).UnixMilli(),
		now.Add(randomDuration(random, -time.Minute, time.Minute)).UnixMilli(),
		now.Add(randomDuration(random, -time.Second, time.Second)).UnixMilli(),
	}
	return candidates[random.IntN(len(candidates))]
}
