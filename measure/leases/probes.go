package main

import (
	"context"
	"fmt"
	"time"

	"brackenfront/internal/fleetrig"
)

// outageEnd is when the first node of the model, which is unavailable from outageStart on, becomes available again, in seconds of the
// model's time.
const outageEnd = 60

// measureProbes measures health probes of one node that is unavailable, in fleets of several sizes, with and without one broker that
// probes for all: in the model, whose random numbers have the given seed, and with processes for which the node is unavailable for the
// duration outage.
func measureProbes(seed uint64, outage time.Duration, must func(holds bool, what, figure, aim string)) {
	for _, brokers := range []int{3, 20, 100} {
		var rates, lastDelays [2]float64
		for k, shared := range []bool{false, true} {
			probesPerSecond, delays, answeredShare := newProbeModel(brokers, shared, seed).run(func(int) float64 { return outageEnd })
			rates[k] = probesPerSecond
			lastDelays[k] = delays[len(delays)-1]
			fmt.Printf("%-58s %-34s\n", fmt.Sprintf("a node out for 50 s, %d brokers, shared %v (virtual time)", brokers, shared),
				fmt.Sprintf("%.2f tries a second; all know in %.2f s; %.4f answered", probesPerSecond, lastDelays[k], answeredShare))
		}
		if brokers >= 20 {
			must(rates[1] < rates[0]/2 && lastDelays[1] <= 6, fmt.Sprintf("%d brokers: tries shared, beside each for itself", brokers),
				fmt.Sprintf("%.2f for %.2f a second", rates[1], rates[0]), "under half; all know in 6 s")
		}
	}
	for _, brokers := range []int{3, 8} {
		var results [2]*fleetrig.ProbeResult
		for k, shared := range []bool{false, true} {
			res, err := fleetrig.ProbeScenario{Brokers: brokers, SharedProbes: shared, Outage: outage}.Run(context.Background())
			if err != nil || len(res.Violations) > 0 {
				must(false, "trials by processes", fmt.Sprint(err, res), "")
				return
			}
			results[k] = res
			fmt.Printf("%-58s %-34s\n", fmt.Sprintf("a leaf away for %v, %d processes, shared %v", outage, brokers, shared),
				fmt.Sprintf("%.2f tries a second; all are back in %.2f s; %.4f answered", res.AttemptsPerSecond, res.RecoverySeconds, res.SuccessShare))
		}
		must(results[1].RecoverySeconds <= results[0].RecoverySeconds+6, fmt.Sprintf("%d processes: back no later than without, by more than a rest", brokers),
			fmt.Sprintf("%.2f and %.2f s", results[1].RecoverySeconds, results[0].RecoverySeconds), "")
	}
	// The node becomes available again for all brokers except the one that probes for all.
	probesPerSecond, delays, _ := newProbeModel(20, true, seed).run(func(broker int) float64 {
		if broker == 0 {
			return 1000
		}
		return outageEnd
	})
	must(delays[len(delays)-1] <= 30, "bad for the one who tries for all only, 20 brokers", fmt.Sprintf("%.2f tries a second; all others know in %.2f s", probesPerSecond, delays[len(delays)-1]),
		"all others know in 30 s")
}
