package zoneloss

import (
	"encoding/json"
	"fmt"
	"slices"

	"brackenfront/internal/standin"
)

// Time spans of the evaluation, in seconds, and limits for it.
const (
	// beforeSeconds is the length of the time before the loss that Result.ServiceBefore covers.
	beforeSeconds = 8
	// afterSeconds is the length of the time at the end of the scenario that Result.ServiceAfter covers.
	afterSeconds = 5
	// settleSeconds is the time from the start of the loss that the figures for the loss leave out: brokers need some time to notice it.
	settleSeconds = 3
	// recoveryWindowSeconds is the length of the time over which the service has to be back for Result.RecoverySeconds.
	recoveryWindowSeconds = 3
	// windowStepSeconds is the time between the starts of two successive windows that are looked at.
	windowStepSeconds = 0.5
	// recoveryTolerance is how far, as a share from 0 to 1, the service may stay below Result.ServiceBefore and count as recovered.
	recoveryTolerance = 0.02
	// usualLoadSeconds is the length of the time before the loss in which the usual load of each zone is measured.
	usualLoadSeconds = 12
	// capWindowSeconds is the length of the windows over which the load of a zone is compared with its cap.
	capWindowSeconds = 10
	// lateRejectionSeconds is the time that a search without any worker may take to end: a quarter of the latency target.
	lateRejectionSeconds = 0.25
)

// Result is the outcome of a scenario. The service in a time span is the utility of the searches that were sent in it and
// answered in time, as a share, from 0 to 1, of the utility of all that were sent in it; classUtility has the utility of a
// search. The field tags are the names in files of results.
type Result struct {
	// Scenario is the scenario that was run.
	Scenario Scenario `json:"Day"`
	// HighUtilityShare is the share, from 0 to 1, of the searches of the class with the higher utility that succeeded during the
	// loss, from three seconds after its start.
	HighUtilityShare float64 `json:"Dear"`
	// LowUtilityShare is the share, from 0 to 1, of the searches of the class with the lower utility that succeeded during the loss,
	// from three seconds after its start.
	LowUtilityShare float64 `json:"Cheap"`
	// ServiceBefore is the service in the eight seconds before the loss.
	ServiceBefore float64 `json:"Before"`
	// ServiceDuring is the service during the loss, from three seconds after its start.
	ServiceDuring float64 `json:"Out"`
	// BestService is an estimate of the highest value that ServiceDuring could have with the workers that were not lost, and with at most
	// the cap that Scenario.SpillPercent sets on the load of each healthy zone.
	BestService float64 `json:"Best"`
	// ServiceAfter is the service in the last five seconds of the scenario.
	ServiceAfter float64 `json:"After"`
	// RecoverySeconds is the time in seconds from the end of the loss until the start of the first three seconds, in steps of half a
	// second, whose service is at least ServiceBefore - 0.02; -1 if there are none.
	RecoverySeconds float64 `json:"Back"`
	// WorstOverload is the greatest load of any worker while it was cold, as a multiple of the load that makes such a worker fail.
	WorstOverload float64 `json:"Worst"`
	// FailedWorkers is the number of workers that crashed because they got too much load while they were cold.
	FailedWorkers int `json:"Fell"`
	// WorstSpill is the highest load of a zone that is not in Scenario.LostZones, over any ten seconds of the loss, as a multiple of the cap
	// that Scenario.SpillPercent sets on its load. It is 0 with Scenario.HalfOfEveryZone and Scenario.FirstZoneOnly.
	WorstSpill float64 `json:"Spill"`
	// LateRejections is the number of searches that were sent more than four seconds after the start of the loss and more than one second
	// before its end, asked for a shard without any available worker, and took more than 0.25 s, a quarter of the latency target, to end.
	LateRejections int `json:"ShedLate"`
	// Unanswered is the number of searches without a final answer before their deadline, three seconds after they were sent; searches to a
	// paused broker are not counted.
	Unanswered int `json:"Lost"`
	// Searches is the number of searches that were sent and have ended, in the whole scenario.
	Searches int `json:"Asked"`
	// ServiceBySecond is the service in each second of the scenario.
	ServiceBySecond []float64 `json:"Seconds"`
	// Log holds the brokers' log lines about zones, each prefixed with the name of the broker. It is not encoded as JSON.
	Log []string
}

// MarshalJSON encodes the result without Log, which is only printed.
func (r *Result) MarshalJSON() ([]byte, error) {
	type plain Result
	p := plain(*r)
	p.Log = nil
	return json.Marshal(p)
}

// Violations returns a description of each rule that a run with the policy Guarded must keep and this one broke; none if it kept
// all. A figure that misses its aim in the table of results is not a violation.
func (r *Result) Violations() (violations []string) {
	must := func(ok bool, format string, args ...any) {
		if !ok {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	must(r.FailedWorkers == 0 && r.WorstOverload <= 1, "%d workers failed under overload, the worst got %.2f of the load that makes one fail", r.FailedWorkers, r.WorstOverload)
	must(r.WorstSpill <= 1, "a zone got %.2f of its cap", r.WorstSpill)
	must(r.Unanswered == 0, "%d searches had no final answer before their deadline", r.Unanswered)
	must(r.LateRejections == 0, "%d searches without any worker were rejected late", r.LateRejections)
	must(r.RecoverySeconds >= 0, "service did not come back to %.3f", r.ServiceBefore-recoveryTolerance)
	return violations
}

// assess computes the result of the run from outcomes and from the workers' statistics; all clients must have ended.
func (r *run) assess() *Result {
	res := &Result{Scenario: r.Scenario, Searches: len(r.outcomes), RecoverySeconds: -1}
	r.assessService(res)
	r.assessAnswers(res)
	zoneLoads, lost := r.assessWorkers(res)
	res.BestService = r.bestService(zoneLoads, lost)
	for _, b := range r.brokers {
		if b != nil {
			b.mu.Lock()
			res.Log = append(res.Log, b.log...)
			b.mu.Unlock()
		}
	}
	return res
}

// assessService sets ServiceBySecond, ServiceBefore, ServiceDuring, ServiceAfter, HighUtilityShare, LowUtilityShare and, unless the
// service never recovers, RecoverySeconds of the result.
func (r *run) assessService(res *Result) {
	// service returns the service (see Result) between two times, in seconds from the start of the scenario.
	service := func(from, to float64) float64 {
		achieved, total := 0.0, 0.0
		for _, o := range r.outcomes {
			if o.sentAt >= from && o.sentAt < to {
				if total += classUtility[o.class]; o.succeeded {
					achieved += classUtility[o.class]
				}
			}
		}
		return achieved / max(total, 1e-9)
	}
	for second := range int(r.Length) {
		res.ServiceBySecond = append(res.ServiceBySecond, service(float64(second), float64(second)+1))
	}
	res.ServiceBefore = service(r.LossStart-beforeSeconds, r.LossStart)
	res.ServiceAfter = service(r.Length-afterSeconds, r.Length)
	res.ServiceDuring = service(r.LossStart+settleSeconds, r.LossEnd)
	var succeeded, sent [2]float64
	for _, o := range r.outcomes {
		if o.sentAt >= r.LossStart+settleSeconds && o.sentAt < r.LossEnd {
			sent[o.class]++
			succeeded[o.class] += map[bool]float64{true: 1}[o.succeeded]
		}
	}
	res.HighUtilityShare = succeeded[0] / max(sent[0], 1)
	res.LowUtilityShare = succeeded[1] / max(sent[1], 1)
	for t := r.LossEnd; t+recoveryWindowSeconds <= r.Length; t += windowStepSeconds {
		if service(t, t+recoveryWindowSeconds) >= res.ServiceBefore-recoveryTolerance {
			res.RecoverySeconds = t - r.LossEnd
			break
		}
	}
}

// assessAnswers sets Unanswered and LateRejections of the result.
func (r *run) assessAnswers(res *Result) {
	for _, o := range r.outcomes {
		if o.unanswered {
			res.Unanswered++
		}
		if o.noWorker && o.sentAt > r.LossStart+4 && o.sentAt < r.LossEnd-1 && o.answerSeconds > lateRejectionSeconds {
			res.LateRejections++
		}
	}
}

// assessWorkers sets FailedWorkers, WorstOverload and WorstSpill of the result, from the workers' statistics. By the index of a zone
// it returns the zone's load in the usualLoadSeconds before the loss, in parts a second (zoneLoads), and whether the zone is among
// Scenario.LostZones (lost).
func (r *run) assessWorkers(res *Result) (zoneLoads []float64, lost []bool) {
	zoneLoads, lost = make([]float64, len(Zones)), make([]bool, len(Zones))
	for _, zone := range r.LostZones {
		lost[zone] = true
	}
	// sentTimes are, by the index of the zone, the times at which parts were sent to it, in seconds from the start of the scenario.
	sentTimes := make([][]float64, len(Zones))
	for i, w := range r.workers {
		statistics := w.Statistics()
		if res.WorstOverload = max(res.WorstOverload, statistics.WorstColdLoad); statistics.Crashed {
			res.FailedWorkers++
		}
		for _, t := range statistics.ArrivalTimes {
			sentTimes[i/groupCount] = append(sentTimes[i/groupCount], t.Sub(r.startedAt).Seconds())
		}
	}
	for zone := range sentTimes {
		slices.Sort(sentTimes[zone])
		countBetween := func(from, to float64) int {
			i, _ := slices.BinarySearch(sentTimes[zone], from)
			j, _ := slices.BinarySearch(sentTimes[zone], to)
			return j - i
		}
		zoneLoads[zone] = float64(countBetween(r.LossStart-usualLoadSeconds, r.LossStart)) / usualLoadSeconds
		if lost[zone] || r.HalfOfEveryZone || r.FirstZoneOnly {
			continue
		}
		// The windows begin at the start of the loss; a loss that is shorter than a window has one.
		for t := r.LossStart; t+capWindowSeconds <= max(r.LossEnd, r.LossStart+capWindowSeconds); t += windowStepSeconds {
			res.WorstSpill = max(res.WorstSpill, float64(countBetween(t, t+capWindowSeconds))/capWindowSeconds/(zoneLoads[zone]*(1+float64(r.SpillPercent)/100)))
		}
	}
	return zoneLoads, lost
}

// bestService returns Result.BestService, from 0 to 1: the service if all that the remaining zones can take within their capacity and
// their cap is used, first for the class with the higher utility. By the index of a zone, zoneLoads is its load before the loss, in parts
// a second, and lost says that it is among Scenario.LostZones; both are results of assessWorkers.
func (r *run) bestService(zoneLoads []float64, lost []bool) float64 {
	available, load := 0.0, 0.0
	zoneCapacity := float64(groupCount) * float64(WorkerStrength.Concurrency) / WorkerStrength.PartDuration.Seconds()
	for zone := range Zones {
		load += zoneLoads[zone]
		switch {
		case !lost[zone]:
			available += min(zoneCapacity, zoneLoads[zone]*(1+float64(r.SpillPercent)/100))
		case r.HalfOfZone:
			available += zoneCapacity / 2
		case r.Fault == standin.ConditionSlow:
			available += zoneCapacity / 5
		case r.FlapSeconds > 0:
			available += zoneLoads[zone] / 2
		}
	}
	if r.StaleList {
		load = zoneLoads[0] + zoneLoads[1] + zoneLoads[2]
	}
	share := min(available/max(load, 1e-9), 1)
	// Searches ask for two successive shards; a quarter of them needs neither replica group 0 nor 1.
	if r.FirstZoneOnly || r.HalfOfEveryZone {
		share = 0.25
	}
	best := (min(share, 0.5)*4 + max(share-0.5, 0)*1) / 2.5
	if r.FirstZoneOnly || r.HalfOfEveryZone {
		best = share
	}
	return best
}
