// Command budgets measures budgets that the whole fleet shares; measure/budgets.sh runs it. It prints a table and exits with 1
// where a rule of the column "must" does not hold.
//
// Terms of this command:
//   - A row of the table has what was measured, the figure, and the rule that the figure has to keep. The parameter must, of many
//     functions, is report.Table.Row: it prints such a row and records whether the rule holds. figure and aim are the texts of the
//     columns "measured" and "must".
//   - A budget is an amount that all brokers share, in units: a rate budget limits the units spent per second, a stock budget the units
//     held at the same time. A share is the part of a budget that one broker may use; an allowance is the object that counts what it uses.
//   - The council is the group of processes that agree (by Raft) on leases and on the shares of budgets. A session is how the
//     council knows a broker, which renews it by calls; the answers tell the broker its share.
//   - Demand is the rate at which the clients of a broker request units, whether or not they get them.
//   - A token bucket is a counter of units that fills at the rate of the budget up to the budget's burst, and from which units are spent.
//   - The model simulates brokers, clients and the council in virtual time, which has nothing to do with the clock.
//   - A schedule is the list of faults that one run of real processes injects; its seed determines it.
//   - A baseline is a simpler way to divide a budget, for comparison with the council's.
package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"time"

	"brackenfront/internal/fleetrig"
	"brackenfront/measure/internal/report"
)

// main runs the model of a fleet with budgets and then real processes with budgets under random faults, as the flags say. It prints
// a table of the figures and exits with 1 if any misses its rule.
func main() {
	fleetrig.RunIfChild()
	seed := flag.Uint64("seed", 1000, "of the first schedule")
	runs := flag.Int("runs", 200, "schedules")
	concurrency := flag.Int("lanes", 4, "schedules at once")
	small := flag.Bool("small", false, "the model at three sizes only")
	runModel := flag.Bool("model", true, "run the model")
	flag.Parse()
	t := report.NewTable(74)
	if *runModel {
		sizes := []int{4, 8, 16, 20, 100, 300}
		if *small {
			sizes = []int{4, 16, 100}
		}
		measureModel(*seed, sizes, t.Row)
	}
	if *runs > 0 {
		measureProcesses(*seed, *runs, *concurrency, t.Row)
	}
	t.ExitIfFailed()
}

// measureProcesses runs schedules of faults between real processes, first with the council's division of budgets, where nothing
// may be wrong, and then with each baseline, where the checker has to find violations or none, as the printed rule says. runs is the
// number of schedules with the council's division, seed the seed of the first one, and concurrency how many run at once.
func measureProcesses(seed uint64, runs, concurrency int, must func(holds bool, what, figure, aim string)) {
	sum := runSchedules("", seed, runs, concurrency)
	must(sum.bad == 0, fmt.Sprintf("never more than the whole: %d schedules from seed %d on", runs, seed),
		fmt.Sprintf("%d bad; %d units spent, %.1f below rate x window + burst at the nearest; %d held, %.0f below",
			sum.bad, sum.spent, -sum.rateExcess, sum.held, -sum.stockExcess), "0 bad")
	baselineRuns := max(6, runs/20)
	sum = runSchedules("even", seed, baselineRuns, concurrency)
	must(sum.rateExcess <= 0 && sum.stockExcess <= 0, "baseline: one in the stated number",
		fmt.Sprintf("%d units spent in %d schedules", sum.spent, baselineRuns), "within the whole")
	sum = runSchedules("view", seed, baselineRuns, concurrency)
	must(sum.rateExcess > 0 || sum.stockExcess > 0, "baseline: one in those that each has heard of",
		fmt.Sprintf("%.1f units over the whole, %.0f of the stock", sum.rateExcess, sum.stockExcess), "found by the checker")
	sum = runSchedules("no lapse", seed, baselineRuns, concurrency)
	must(sum.rateExcess > 0 || sum.stockExcess > 0, "baseline: shares without an end",
		fmt.Sprintf("%.1f units over the whole, %.0f of the stock", sum.rateExcess, sum.stockExcess), "found by the checker")
}

// totals sums up what the fleetrig.Checker found in several schedules of faults.
type totals struct {
	// bad is the number of schedules whose fleetrig.Result.Bad is true, or that could not be run.
	bad int
	// spent is the number of units that brokers used of the rate budget, and held the number that they took of the stock budget; both
	// are totals over all schedules.
	spent, held int
	// rateExcess and stockExcess are the greatest values, over all schedules, of fleetrig.BudgetUse.Excess for the rate budget and the
	// stock budget: units used beyond the budget, or below 0 if it was never exceeded.
	rateExcess, stockExcess float64
}

// runSchedules runs n schedules, with consecutive seeds from the given one on, at most concurrency of them at once. baseline is
// fleetrig.Scenario.ShareBaseline: if it is set, all faults cut an actor off from the council; otherwise violations are printed.
func runSchedules(baseline string, seed uint64, n, concurrency int) (sum totals) {
	sum.rateExcess, sum.stockExcess = -1e9, -1e9
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan bool, concurrency)
	for i := range uint64(n) {
		slots <- true
		running.Go(func() {
			defer func() { <-slots }()
			scenario := fleetrig.Scenario{Seed: seed + i, Voters: 3, Actors: 5, Faults: 10, Length: 4 * time.Second, Budgets: true, ShareBaseline: baseline}
			if baseline != "" {
				scenario.Faults = 12
				scenario.OnlyKind = fleetrig.Cut
			}
			res, err := scenario.Run(context.Background())
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Println(err)
				sum.bad++
				return
			}
			if res.Bad() {
				sum.bad++
			}
			if res.Bad() && baseline == "" {
				fmt.Printf("seed %d: uses of budgets %+v, overlapping tenures %v, bad operations %v, stalled leases %v, crashes %v\n  %s\n", scenario.Seed, res.BudgetUses,
					res.OverlappingTenures, res.BadOperations, res.StalledLeases, res.Crashes, strings.Join(res.Faults, "\n  "))
			}
			sum.spent += res.BudgetUses["rate"].Units
			sum.held += res.BudgetUses["stock"].Units
			sum.rateExcess = max(sum.rateExcess, res.BudgetUses["rate"].Excess)
			sum.stockExcess = max(sum.stockExcess, res.BudgetUses["stock"].Excess)
		})
	}
	running.Wait()
	return sum
}
