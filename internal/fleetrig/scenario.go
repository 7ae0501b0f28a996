// Package fleetrig runs fleets of several real processes on loopback, with faults drawn from a seed, and a checker that the
// fleet cannot influence. The processes run the production code unchanged; they are configured with the addresses of relays (Link),
// and clock and disk faults are injected through fleet.Environment. A test binary or command that uses the package has to call
// RunIfChild first, because the child processes run the same executable.
//
// A Scenario runs processes that consist of a fleet node alone; a Site runs processes of the whole program.
//
// Terms of this package:
//   - The council is the group of processes that agree (by Raft) on who holds which lease and on the shares of budgets; its members are
//     called voters.
//   - A fleet node is the code of package fleet, by which a process takes part in the fleet; a node without "fleet" is a server that
//     brokers send parts to.
//   - A lease is a right, limited in time, to do a task alone. It has a name and a number of places: how many processes may hold it at
//     once, each in a place of its own, counted from 0.
//   - A token is the number of one grant of a lease; of two grants of the same lease and place, the later one has the higher token.
//   - An actor is a process of a Scenario that is no voter. It takes leases and sends operations.
//   - An operation is a message that a process sends to the Checker while it holds a lease; the Checker accepts it, or refuses it for its
//     token.
//   - A claim is a line that a process prints to say until when it holds a lease, or that it has stopped operating under it.
//   - A tenure is the time span in which a process claimed to hold a lease under one token.
//   - A budget is an amount that all brokers share: a rate budget limits the units spent per second, a stock budget the units held at the
//     same time. A share is the part of a budget that one broker may use.
//   - A session is how the council knows a fleet node, which renews it by calls; the node holds its leases under its session.
//   - A durable write is a write of a voter to its disk that must survive a crash.
//   - A fault is what the rig does to processes or links, such as to kill a process; a schedule is the list of faults of one run.
//   - A link (Link) is a relay through which one process reaches another, and in which faults are injected.
//   - A rolling restart restarts all brokers of a fleet, only a few at a time.
//   - Orders are the settings that the rig passes to a child process of a Scenario.
package fleetrig

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"brackenfront/budget"
	"brackenfront/lease"
)

// Scenario is one run of a fleet of processes with a schedule of faults drawn from a seed. NoDriftMargin,
// NoLeaseChecks and the values of ShareBaseline each replace one safeguard of the shipped code by something weaker or simpler, for
// comparison.
type Scenario struct {
	// Seed determines the schedule of faults, the clocks of the processes and how they spend from budgets.
	Seed uint64
	// Voters is the number of members of the council: 3, 5 or 7.
	Voters int
	// Actors is the number of further processes, called actors, which take leases and send operations to the checker under them.
	Actors int
	// Faults is the number of faults in the schedule.
	Faults int
	// Length is the duration of the schedule of faults, from the first moment at which a fault may begin; all faults end within it.
	Length time.Duration
	// OnlyKind makes every fault one of this kind that affects one actor; empty for faults of all kinds.
	OnlyKind FaultKind
	// OnlyFaults holds the numbers, counted from 0, of the faults of the schedule that are injected; nil for all.
	OnlyFaults []int
	// Dir is the folder for the processes' files; empty for the system's temporary one.
	Dir string
	// FailureLogDir is the folder where the log of a run is stored whose Result.Bad is true; empty to store none.
	FailureLogDir string
	// FreezeActor makes the first actor stop itself with SIGSTOP, between the check of its lease and the operation with the number
	// freezeBeforeOperation; it is continued after freezeLength.
	FreezeActor bool
	// NoDriftMargin makes all processes compute the end of leases without a margin for the drift of clocks.
	NoDriftMargin bool
	// ClockDrift is how far the rate of a process's clock may be from 1, such as 0.05 for 5%, and what leases allow for; 0 for that of
	// LeaseConfig.
	ClockDrift float64
	// Budgets makes the actors also spend from a rate budget and a stock budget that all processes share.
	Budgets bool
	// ShareBaseline is the rule by which each actor computes its share of a budget in place of the council's division: "view",
	// "no lapse" or "even", see Orders.ShareBaseline. If it is empty, the council divides the budgets.
	ShareBaseline string
	// NoLeaseChecks makes the checker accept every operation, and the actors send operations without a check of their leases.
	NoLeaseChecks bool
}

const (
	// tick is the interval of the council's timer: a tenth of the shortest election timeout.
	tick = 15 * time.Millisecond
	// progressTimeout is how long the rig waits at most for the fleet to be ready or to send operations, at its start and once faults have
	// ended. It allows for a busy machine.
	progressTimeout = 40 * time.Second
	// pollInterval is the pause between two checks of a condition that cluster.wait waits for.
	pollInterval = 5 * time.Millisecond
)

// leases are the names of the leases that every actor tries to hold again and again, to send operations under them.
var leases = []string{"roll", "report", "sweep"}

// LeaseConfig returns the lease configuration of all scenarios: a TTL of 0.6 s, so that leases change hands often, and a clock drift
// of at most 5%. No safety property depends on them.
func LeaseConfig() lease.Config {
	config := lease.DefaultConfig()
	config.TTL = 0.6
	config.MaxClockDrift = 0.05
	return config
}

// leaseConfig returns the lease configuration of the scenario: LeaseConfig, with ClockDrift if that is set.
func (s Scenario) leaseConfig() lease.Config {
	config := LeaseConfig()
	if s.ClockDrift > 0 {
		config.MaxClockDrift = s.ClockDrift
	}
	return config
}

// budgetSpecs returns the specifications of the budgets "rate" and "stock", by name: the limits on what all actors together may use. It
// returns nil if Scenario.Budgets is not set.
func (s Scenario) budgetSpecs() map[string]budget.Spec {
	if !s.Budgets {
		return nil
	}
	brokers := s.Actors + s.Voters
	rate := budget.Spec{Kind: budget.Rate, Total: 100 * budget.Unit, Burst: int64(2*brokers+20) * budget.Unit, MaxBrokers: brokers, MaxPending: 1}
	rate.Floor = rate.Total / 10 / int64(brokers)
	stock := budget.Spec{Kind: budget.Stock, Total: int64(4*brokers) * budget.Unit, Floor: budget.Unit, MaxBrokers: brokers, MaxPending: 1, ReleaseDelay: 0.1}
	return map[string]budget.Spec{"rate": rate, "stock": stock}
}

// Run runs the scenario: it starts the fleet, injects the faults, ends them, and waits until the checker has accepted an operation under
// each lease again, at most for progressTimeout. What the fleet did wrong is in the result. It returns an error if ctx ends, or, with a
// nil result, if the fleet cannot be started or sends no operations within progressTimeout.
func (s Scenario) Run(ctx context.Context) (*Result, error) {
	c, err := newCluster(s)
	if err != nil {
		return nil, err
	}
	defer c.remove()
	if err := c.start(); err != nil {
		return nil, err
	}
	if !c.waitForProgress(ctx, nil) {
		return nil, fmt.Errorf("seed %d: the fleet did not begin to operate: %v\n%s", s.Seed, c.checker.OperationCounts(), c.logs())
	}
	res := &Result{}
	c.injectAll(ctx, res)
	c.heal()
	before, from := c.checker.OperationCounts(), time.Now()
	c.waitForProgress(ctx, before)
	res.RecoverySeconds = time.Since(from).Seconds()
	res.StalledLeases = c.leasesWithoutProgress(before)
	c.stop()
	c.collect(res)
	if res.Bad() && s.FailureLogDir != "" {
		c.writeFailureLog(res)
	}
	return res, ctx.Err()
}

// injectAll makes the random schedule (drawSchedule), injects its faults (only those in OnlyFaults, if that is set) at their times, adds
// their descriptions to res.Faults, and returns when all have ended and Length has passed since the call, or ctx has ended.
func (c *cluster) injectAll(ctx context.Context, res *Result) {
	var injections sync.WaitGroup
	for i, f := range c.drawSchedule() {
		if c.OnlyFaults != nil && !slices.Contains(c.OnlyFaults, i) {
			continue
		}
		res.Faults = append(res.Faults, fmt.Sprintf("%d: %v", i, f))
		injections.Go(func() { c.inject(ctx, f) })
	}
	injections.Go(func() { sleep(ctx, c.Length) })
	injections.Wait()
}

// leasesWithProgress returns the names of the leases under which the checker has accepted more operations so far than before says, which
// holds an earlier result of Checker.OperationCounts.
func (c *cluster) leasesWithProgress(before map[string]int) (names []string) {
	now := c.checker.OperationCounts()
	for _, name := range leases {
		if now[name] > before[name] {
			names = append(names, name)
		}
	}
	return names
}

// leasesWithoutProgress returns the names of the other leases than leasesWithProgress: those under which the checker has accepted no
// operation since before, an earlier result of Checker.OperationCounts.
func (c *cluster) leasesWithoutProgress(before map[string]int) (names []string) {
	progressed := c.leasesWithProgress(before)
	for _, name := range leases {
		if !slices.Contains(progressed, name) {
			names = append(names, name)
		}
	}
	return names
}

// waitForProgress waits until the checker has accepted a further operation under each lease since before, an earlier result of
// Checker.OperationCounts or nil. It returns false after progressTimeout or once ctx has ended.
func (c *cluster) waitForProgress(ctx context.Context, before map[string]int) bool {
	return c.wait(ctx, func() bool { return len(c.leasesWithProgress(before)) == len(leases) })
}

// wait calls condition every pollInterval until it returns true, and returns true then; it returns false after progressTimeout or once ctx
// has ended.
func (c *cluster) wait(ctx context.Context, condition func() bool) bool {
	for end := time.Now().Add(progressTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// sleep waits for a duration, or until ctx has ended.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
