package program

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulingCounts are the Go runtime's records of waits since the start of the process.
type schedulingCounts struct {
	// waits are the times that goroutines which could run waited for a processor.
	waits *metrics.Float64Histogram
	// pauses are the times for which the garbage collector stopped all goroutines.
	pauses *metrics.Float64Histogram
	// collections is how many garbage collections have ended.
	collections uint64
}

// schedulingWaits returns the runtime's present records. Reading them does not stop the program's goroutines.
func schedulingWaits() schedulingCounts {
	samples := []metrics.Sample{{Name: "/sched/latencies:seconds"}, {Name: "/sched/pauses/total/gc:seconds"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	return schedulingCounts{waits: samples[0].Value.Float64Histogram(), pauses: samples[1].Value.Float64Histogram(), collections: samples[2].Value.Uint64()}
}

// waitQuantile returns a bound that the given share (0 to 1) of the waits for a processor did not exceed.
func (s schedulingCounts) waitQuantile(share float64) time.Duration {
	return histogramQuantile(s.waits, share)
}

// pauseQuantile returns a bound that the given share (0 to 1) of the garbage collector's pauses did not exceed.
func (s schedulingCounts) pauseQuantile(share float64) time.Duration {
	return histogramQuantile(s.pauses, share)
}

// histogramQuantile returns the upper end of the bucket of a histogram of seconds in which the given share (0 to 1) of its values is
// reached; 0 if it has no values.
func histogramQuantile(histogram *metrics.Float64Histogram, share float64) time.Duration {
	total := uint64(0)
	for _, count := range histogram.Counts {
		total += count
	}
	wanted := uint64(math.Ceil(float64(total) * share))
	seen := uint64(0)
	for i, count := range histogram.Counts {
		if seen += count; count > 0 && seen >= wanted {
			end := histogram.Buckets[i+1]
			if math.IsInf(end, 1) {
				end = histogram.Buckets[i]
			}
			return time.Duration(end * float64(time.Second))
		}
	}
	return 0
}
