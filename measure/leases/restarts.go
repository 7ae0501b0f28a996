package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"brackenfront/internal/fleetrig"
	"brackenfront/rollingrestart"
)

// measureRollingRestarts restarts whole fleets of processes of the program: as often as runs says by a rolling restart with faults,
// and then, without faults, by a rolling restart, by a loop with fixed pauses, and all at once. seed is the seed of the first rolling
// restart.
func measureRollingRestarts(seed uint64, runs int, must func(holds bool, what, figure, aim string)) {
	bad, maxOut, searches := 0, 0, 0
	var durations []float64
	worstSecond := 1.0
	for i := range uint64(runs) {
		scenario := fleetrig.RestartScenario{Seed: seed + i, Brokers: 7, Voters: 3, MaxConcurrent: 2, Action: rollingrestart.Restart, Faults: 4}
		res, err := scenario.Run(context.Background())
		if err != nil {
			fmt.Println(err)
			bad++
			continue
		}
		if len(res.Violations) > 0 {
			bad++
			fmt.Printf("seed %d: %s\n  %s\n", scenario.Seed, strings.Join(res.Violations, "\n"), strings.Join(res.Faults, "\n  "))
		}
		maxOut = max(maxOut, res.MaxOut)
		searches += res.Searches
		worstSecond = min(worstSecond, res.WorstSecondShare)
		durations = append(durations, res.Duration.Seconds())
	}
	slices.Sort(durations)
	if len(durations) > 0 {
		must(bad == 0, fmt.Sprintf("%d rolls of 7 brokers, 2 at once, 4 faults each, from seed %d on", runs, seed),
			fmt.Sprintf("%d bad; %d out at most; p50 %.1f s", bad, maxOut, durations[len(durations)/2]), "0 bad; 2 out, of the council 1")
	}
	for _, comparison := range []struct {
		// what describes the scenario in the printed table.
		what string
		// scenario is complete except for the seed and the numbers of brokers and voters.
		scenario fleetrig.RestartScenario
	}{
		{"a roll, one at a time, no faults", fleetrig.RestartScenario{MaxConcurrent: 1, Action: rollingrestart.Restart}},
		{"a loop by hand, 0.6 s between", fleetrig.RestartScenario{MaxConcurrent: 1, FixedPauses: true, Pause: 600 * time.Millisecond}},
		{"all at once", fleetrig.RestartScenario{MaxConcurrent: 7, FixedPauses: true}},
	} {
		comparison.scenario.Seed = seed
		comparison.scenario.Brokers = 7
		comparison.scenario.Voters = 3
		res, err := comparison.scenario.Run(context.Background())
		if err != nil {
			must(false, comparison.what, err.Error(), "")
			continue
		}
		figure := fmt.Sprintf("%d out at most; %.3f answered, %.3f in the worst second; %.1f s", res.MaxOut, res.SuccessShare, res.WorstSecondShare, res.Duration.Seconds())
		if comparison.scenario.FixedPauses {
			fmt.Printf("%-58s %-34s\n", comparison.what, figure)
		} else {
			must(len(res.Violations) == 0 && res.MaxOut == 1, comparison.what, figure, "1 out")
		}
	}
}
