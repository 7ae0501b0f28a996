// Command leases measures leases with real processes on loopback; measure/leases.sh runs it. It prints a table and exits with 1
// where a rule of the column "must" does not hold.
//
// Terms of this command:
//   - A row of the table has what was measured, the figure, and the rule that the figure has to keep. The parameter must, of many
//     functions, is report.Table.Row: it prints such a row and records whether the rule holds. figure and aim are the texts of the
//     columns "measured" and "must".
//   - A schedule is the list of faults that one run of a fleetrig.Scenario injects; its seed determines it.
//   - A baseline is a run without one safeguard of the fleet, in which the checker has to find violations.
//   - The council is the group of processes that agree (by Raft) on who holds which lease. A session is how the council
//     knows a fleet node, which renews it by calls.
//   - A token is the number of one grant of a lease, which is higher for each later grant.
//   - The decision module is package balance, which chooses the node of each attempt and says when to send health probes.
//   - A health probe asks an unavailable node whether it is available again. The tracker (package healthprobes) lets one broker probe
//     a node for all brokers; its updates are the messages by which brokers tell each other the results.
//   - The model of probes simulates brokers in virtual time, which begins at 0 and has nothing to do with the clock.
package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleetrig"
	"brackenfront/measure/internal/report"
)

// main makes the one group of measurements that the flags select, or else the standard set: schedules of faults, handovers and the
// load on a council. It prints a table of the figures and exits with 1 if any misses its rule, except with the flag -load: then it exits
// with 0 in any case.
func main() {
	fleetrig.RunIfChild()
	seed := flag.Uint64("seed", 1000, "of the first schedule")
	runs := flag.Int("runs", 200, "schedules")
	concurrency := flag.Int("lanes", 4, "schedules at once")
	faults := flag.Int("faults", 10, "in each")
	failureLogDir := flag.String("kept", "", "folder for the logs of runs that fail")
	searchCount := flag.Int("searches", 0, "measure so many searches beside the fleet, in each of its states, alone")
	nodeOutage := flag.Duration("trials", 0, "measure health probes of nodes that are unavailable for so long, alone")
	rollingRestarts := flag.Int("rolls", 0, "run so many rolling restarts of the program's own processes, alone")
	councilOutage := flag.Duration("down", 0, "measure searches while the council is down for so long, alone")
	loadOnly := flag.Bool("load", false, "measure the load on one council alone")
	sessions := flag.Int("sessions", 300, "on one council")
	changes := flag.Int("changes", 1_000_000, "of leases")
	flag.Parse()
	t := report.NewTable(34)

	switch {
	case *rollingRestarts > 0:
		measureRollingRestarts(*seed, *rollingRestarts, t.Row)
		t.ExitIfFailed()
	case *councilOutage > 0:
		measureCouncilOutage(*councilOutage, t.Row)
		t.ExitIfFailed()
	case *nodeOutage > 0:
		measureProbes(*seed, *nodeOutage, t.Row)
		t.ExitIfFailed()
	case *searchCount > 0:
		measureSearches(*searchCount, t.Row)
		t.ExitIfFailed()
	case *loadOnly:
		measureCouncilLoad(*sessions, *changes, t.Row)
	default:
		base := fleetrig.Scenario{Seed: *seed, Actors: 4, Faults: *faults, Length: 4 * time.Second, FailureLogDir: *failureLogDir}
		measureSchedules(base, *runs, *concurrency, t.Row)
		measureHandovers(max(3, *runs/20), t.Row)
		measureCouncilLoad(*sessions, *changes, t.Row)
		t.ExitIfFailed()
	}
}

// measureSchedules runs schedules of faults between real processes: first as many as runs says with the fleet as it is, where nothing may
// be wrong, then fewer with a lease holder that stops itself, and with the baselines, in which the checker has to find violations. base is
// the scenario that all are made from, and concurrency how many run at once.
func measureSchedules(base fleetrig.Scenario, runs, concurrency int, must func(holds bool, what, figure, aim string)) {
	sum, recoveries := runSchedules(base, runs, concurrency)
	must(sum.bad == 0, fmt.Sprintf("one holder: %d schedules from seed %d on", runs, base.Seed),
		fmt.Sprintf("%d bad; %d grants, %d acts", sum.bad, sum.grants, sum.operations), "0 bad")
	if len(recoveries) > 0 {
		fmt.Printf("%-58s %-34s\n", "all leases moved after the last fault", fmt.Sprintf("p50 %.2f s, p99 %.2f s", recoveries[len(recoveries)/2], recoveries[len(recoveries)*99/100]))
	}
	n := max(3, runs/20)
	scenario := base
	scenario.FreezeActor = true
	sum, _ = runSchedules(scenario, n, concurrency)
	must(sum.bad == 0 && sum.rejected > 0, "a holder stopped between its look and its act, every run", fmt.Sprintf("%d bad; %d acts refused by token", sum.bad, sum.rejected), "0 bad, some refused")
	scenario.NoLeaseChecks = true
	sum, _ = runSchedules(scenario, n, concurrency)
	must(sum.badOperations > 0, "baseline: targets that do not look at tokens", fmt.Sprintf("%d of %d acts bad", sum.badOperations, sum.operations), "found by the checker")
	scenario = base
	scenario.OnlyKind = fleetrig.Pause
	scenario.NoDriftMargin = true
	sum, _ = runSchedules(scenario, n, concurrency)
	must(sum.overlappingTenures > 0, "baseline: no margin for drift", fmt.Sprintf("%d of %d rights at once", sum.overlappingTenures, sum.grants), "found by the checker")
	scenario.NoDriftMargin = false
	sum, _ = runSchedules(scenario, n, concurrency)
	must(sum.bad == 0, "the same schedules with it", fmt.Sprintf("%d bad of %d rights", sum.bad, sum.grants), "0 bad")
}

// totals sums up what the fleetrig.Checker found in several schedules of faults.
type totals struct {
	// bad is the number of schedules whose fleetrig.Result.Bad is true, or that could not be run.
	bad int
	// overlappingTenures and badOperations are how many entries the fields OverlappingTenures and BadOperations of all
	// fleetrig.Findings have together. grants, operations and rejected are the sums of their fields Grants, Operations and Rejected.
	overlappingTenures, badOperations, grants, operations, rejected int
}

// runSchedules runs the scenario n times, at most concurrency of them at once, with consecutive seeds from the scenario's on and a
// number of voters that depends on the seed. It returns the sums, and the times from the end of the faults until all leases had
// operations again, sorted, in seconds.
func runSchedules(base fleetrig.Scenario, n, concurrency int) (sum totals, recoveries []float64) {
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan bool, concurrency)
	for i := range n {
		slots <- true
		running.Go(func() {
			defer func() { <-slots }()
			scenario := base
			scenario.Seed += uint64(i)
			scenario.Voters = []int{3, 3, 3, 5, 7}[scenario.Seed%5]
			res, err := scenario.Run(context.Background())
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Println(err)
				sum.bad++
				return
			}
			if res.Bad() && !scenario.NoDriftMargin && !scenario.NoLeaseChecks {
				fmt.Printf("seed %d: overlapping tenures %v, bad operations %v, stalled leases %v, crashes %v\n  %s\n", scenario.Seed, res.OverlappingTenures, res.BadOperations,
					res.StalledLeases, res.Crashes, strings.Join(res.Faults, "\n  "))
			}
			if res.Bad() {
				sum.bad++
			}
			sum.overlappingTenures += len(res.OverlappingTenures)
			sum.badOperations += len(res.BadOperations)
			sum.grants += res.Grants
			sum.operations += res.Operations
			sum.rejected += res.Rejected
			recoveries = append(recoveries, res.RecoverySeconds)
		})
	}
	running.Wait()
	slices.Sort(recoveries)
	return sum, recoveries
}

// measureHandovers measures how long it takes until a lease is granted to another holder: after a release, after the kill of the
// holder and after the kill of the council's leader. Each of the two kills is repeated as often as rounds says.
func measureHandovers(rounds int, must func(holds bool, what, figure, aim string)) {
	ttl := fleetrig.LeaseConfig().TTL
	times, err := fleetrig.MeasureHandovers(context.Background(), rounds)
	if err != nil {
		must(false, "figures", err.Error(), "")
	} else {
		bound := ttl*(1+2*fleetrig.LeaseConfig().MaxClockDrift) + 0.2*ttl
		fmt.Printf("%-58s %-34s\n", "a free lease is granted, released and granted again", times.Released.String())
		must(times.HolderKilled.P99 <= bound, "a dead holder's lease moves (ttl "+fmt.Sprint(ttl)+" s)", times.HolderKilled.String(), fmt.Sprintf("aim: p99 at most %.3f s", bound))
		must(times.LeaderKilled.P99 <= bound, "a dead leader is replaced, and grants", times.LeaderKilled.String(), fmt.Sprintf("aim: p99 at most %.3f s", bound))
	}
}

// measureCouncilLoad measures the throughput and the cost of a council with the given numbers of sessions and of changes of leases (grants
// and releases), and prints them. It calls must only if the measurement itself fails.
func measureCouncilLoad(sessions, changes int, must func(holds bool, what, figure, aim string)) {
	load, err := fleetrig.MeasureCouncilLoad(context.Background(), sessions, changes)
	if err != nil {
		must(false, "load", err.Error(), "")
	} else {
		row := func(what, format string, args ...any) {
			fmt.Printf("%-58s %-34s\n", what, fmt.Sprintf(format, args...))
		}
		row(fmt.Sprintf("%d sessions, each a lease (ttl 6 s)", load.Sessions), "%.2f s until all hold", load.AllAcquired.Seconds())
		row("their renewals", "%.0f a second; %.3f ms CPU, %.2f syncs each", load.RenewalsPerSecond, load.CPUMillisPerRenewal, load.SyncsPerRenewal)
		callBytes, answerBytes := fleet.RenewalBytes()
		row("bytes of one renewal", "%d there, %d back", callBytes, answerBytes)
		row("the whole council starts anew under them", "%.2f s until all are served", load.CouncilRestart.Seconds())
		row(fmt.Sprintf("%d changes of leases", load.Changes), "%.0f a second", load.ChangesPerSecond)
		row("after them, the leader", "%.1f MB of disk, %.1f MB resident", float64(load.DiskBytes)/(1<<20), float64(load.MemoryBytes)/(1<<20))
		row("its new start", "%.2f s until it follows again", load.LeaderRestart.Seconds())
	}
}
