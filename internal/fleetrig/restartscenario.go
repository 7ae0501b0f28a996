package fleetrig

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"brackenfront/random"
	"brackenfront/rollingrestart"
)

// RestartScenario is one rolling restart of a site's whole fleet, with searches sent to it and faults injected meanwhile.
type RestartScenario struct {
	// Seed determines the faults, and how long each process takes to serve again after its restart.
	Seed uint64
	// Brokers is the number of processes, and Voters how many of them are members of the council, at most 5.
	Brokers, Voters int
	// MaxConcurrent is how many brokers may be out of service for the rolling restart at a time.
	MaxConcurrent int
	// Action is what each broker does when it is its turn in the rolling restart (see rollingrestart.Action).
	Action rollingrestart.Action
	// Faults is the number of faults to inject from the begin of the rolling restart on, one after the other.
	Faults int
	// FixedPauses replaces the fleet's rolling restart, for comparison, by a loop that sends SIGTERM to one broker after the other,
	// waits for Pause after each and does not check whether it is back. It injects no faults.
	FixedPauses bool
	// Pause is the time that the loop of FixedPauses waits after each broker.
	Pause time.Duration
	// Dir is the folder for the site's files; empty for the system's temporary one.
	Dir string
}

// RestartResult is the outcome of a RestartScenario.
type RestartResult struct {
	// Faults holds a description of each fault that was injected.
	Faults []string
	// Violations describe broken rules: more brokers out of service at a time than allowed, a broker that was restarted twice, too
	// few restarted brokers, a rolling restart that did not end, and crashes of processes.
	Violations []string
	// MaxOut is the largest number of brokers that were out of service at a time: between the log line by which they announce that they end
	// for the restart and the one by which they serve again.
	MaxOut int
	// Duration is how long the rolling restart, or the loop of FixedPauses, took.
	Duration time.Duration
	// Searches is the number of searches that were sent.
	Searches int
	// SuccessShare is the share of all searches that succeeded, from 0 to 1, and WorstSecondShare the lowest share that succeeded in any
	// window of a second.
	SuccessShare, WorstSecondShare float64
	// Logs holds the last lines of the processes' logs; empty if there are no violations.
	Logs string
}

// Log messages of the program by which RestartScenario.check finds out when brokers are out of service.
const (
	// logRestarting is logged by a process that ends to be started again because the rolling restart has reached it.
	logRestarting = "draining to be started again"
	// logDraining is logged by a process that ends because of a signal.
	logDraining = "draining"
	// logServing is logged by a process that takes searches.
	logServing = "serving"
)

const (
	// restartTimeout bounds the wait for the end of the rolling restart; a longer one is a violation.
	restartTimeout = 2 * time.Minute
	// planPollInterval is the least time between two reads of the plan of the rolling restart.
	planPollInterval = 100 * time.Millisecond
)

// Run runs the scenario. It returns an error, with a nil result, if the site cannot be started or the rolling restart cannot be begun, and
// an error beside the result if ctx ends during the rolling restart.
func (r RestartScenario) Run(ctx context.Context) (res *RestartResult, err error) {
	site, err := NewSite(r.siteConfig())
	if err != nil {
		return nil, err
	}
	defer site.Close()
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	var rnd random.Source
	rnd.Seed(r.Seed)
	// Some processes take long to serve again after their restart.
	for _, p := range site.Programs {
		p.RestartDelay = time.Duration(rnd.Float64() * 400 * float64(time.Millisecond))
	}
	loading, stopLoad := context.WithCancel(ctx)
	load, wait := site.Load(loading, 3, 4*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	res = &RestartResult{}
	from := time.Now()
	faults := make(chan struct{})
	if r.FixedPauses {
		close(faults)
		r.restartWithFixedPauses(ctx, site)
	} else {
		begin := rollingrestart.Instruction{Command: rollingrestart.CommandBegin, Action: r.Action, MaxConcurrent: r.MaxConcurrent, TimeoutSeconds: 20}
		if _, err := site.AdminClient().SubmitInstruction(ctx, begin); err != nil {
			stopLoad()
			wait()
			return nil, fmt.Errorf("seed %d: %w\n%s", r.Seed, err, site.Logs(8))
		}
		go func() {
			defer close(faults)
			r.injectFaults(ctx, site, &rnd, res)
		}()
		if plan, ended := resumeUntilDone(ctx, site); !ended {
			res.Violations = append(res.Violations, fmt.Sprintf("the rolling restart does not end: %+v", plan))
		}
	}
	res.Duration = time.Since(from)
	<-faults
	stopLoad()
	wait()
	if err := site.WaitUntilReady(ctx); err != nil {
		res.Violations = append(res.Violations, err.Error())
	}
	res.Searches, res.SuccessShare, res.WorstSecondShare = load.SuccessShares()
	r.check(site.Events(), res)
	res.Violations = append(res.Violations, site.Crashes()...)
	if len(res.Violations) > 0 {
		res.Logs = site.Logs(120)
	}
	return res, errors.Join(ctx.Err())
}

// siteConfig returns the configuration of the scenario's site.
func (r RestartScenario) siteConfig() SiteConfig {
	return SiteConfig{
		Brokers:  r.Brokers,
		Voters:   r.Voters,
		Nodes:    4,
		TTL:      800 * time.Millisecond,
		Tick:     20 * time.Millisecond,
		Settings: []string{"fleet.roll=true", "fleet.restarts=true"},
		Dir:      r.Dir,
	}
}

// restartWithFixedPauses is the loop that FixedPauses describes. It waits at its end until all brokers are ready.
func (r RestartScenario) restartWithFixedPauses(ctx context.Context, site *Site) {
	for _, p := range site.Programs {
		p.Signal(syscall.SIGTERM)
		sleep(ctx, r.Pause)
	}
	site.WaitUntilReady(ctx)
}

// resumeUntilDone waits until the rolling restart is done, or a process has crashed, and returns the last plan that it has read. It
// resumes the rolling restart whenever that has stopped, as an operator would do: the kill of a broker in its turn stops it. ended is
// false if neither happens within restartTimeout.
func resumeUntilDone(ctx context.Context, site *Site) (plan rollingrestart.Plan, ended bool) {
	lastPoll := time.Now()
	ended = site.Wait(ctx, restartTimeout, func() bool {
		if time.Since(lastPoll) < planPollInterval {
			return false
		}
		lastPoll = time.Now()
		if got, err := site.AdminClient().RollingRestartPlan(ctx); err == nil {
			plan = got
		}
		if plan.Stage == rollingrestart.StageStopped {
			site.AdminClient().SubmitInstruction(ctx, rollingrestart.Instruction{Command: rollingrestart.CommandResume})
		}
		return plan.Stage == rollingrestart.StageDone || len(site.Crashes()) > 0
	})
	return plan, ended
}

// check sets MaxOut of the result and adds the violations that the processes' log lines show, by the times in the lines. events are all
// events of the site.
func (r RestartScenario) check(events []Event, res *RestartResult) {
	// change is a moment at which a broker goes out of service or comes back.
	type change struct {
		at time.Time
		// delta is 1 if the broker goes out of service, and -1 if it comes back.
		delta int
		// broker is the broker's name.
		broker string
		// voter says that the broker is a member of the council.
		voter bool
	}
	var changes []change
	outOfService, restarts := map[string]bool{}, map[string]int{}
	for _, event := range events {
		voter := slices.Contains([]string{"b00", "b01", "b02", "b03", "b04"}[:r.Voters], event.Program)
		switch {
		case (event.Message == logRestarting || event.Message == logDraining && r.FixedPauses) && !outOfService[event.Program]:
			outOfService[event.Program] = true
			restarts[event.Program]++
			changes = append(changes, change{event.At, 1, event.Program, voter})
		case event.Message == logServing && outOfService[event.Program]:
			outOfService[event.Program] = false
			changes = append(changes, change{event.At, -1, event.Program, voter})
		}
	}
	// Of changes at the same time, brokers that come back go first.
	slices.SortStableFunc(changes, func(a, b change) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return a.delta - b.delta
	})
	brokersOut, votersOut := 0, 0
	for _, c := range changes {
		if brokersOut += c.delta; c.voter {
			votersOut += c.delta
		}
		res.MaxOut = max(res.MaxOut, brokersOut)
		if c.delta > 0 && (brokersOut > r.MaxConcurrent || votersOut > 1) {
			res.Violations = append(res.Violations, fmt.Sprintf("%d brokers are out at a time, %d of them voters, as %s goes at %s",
				brokersOut, votersOut, c.broker, c.at.Format("05.000")))
		}
	}
	for broker, n := range restarts {
		if n > 1 {
			res.Violations = append(res.Violations, fmt.Sprintf("%s was restarted %d times", broker, n))
		}
	}
	if r.Action == rollingrestart.Restart && !r.FixedPauses && len(restarts) < r.Brokers-len(res.Faults) {
		res.Violations = append(res.Violations, fmt.Sprintf("%d of %d were restarted", len(restarts), r.Brokers))
	}
	slices.Sort(res.Violations)
}

// injectFaults injects r.Faults faults, drawn from rnd, into the processes and links of the site, one after the other, ends each before the
// next, and adds their descriptions to res.Faults.
func (r RestartScenario) injectFaults(ctx context.Context, site *Site, rnd *random.Source, res *RestartResult) {
	drawBelow := func(n int) int { return int(rnd.Float64() * float64(n)) }
	for range r.Faults {
		sleep(ctx, time.Duration(rnd.Float64()*1200*float64(time.Millisecond)))
		duration := time.Duration((0.1 + rnd.Float64()*1.5) * float64(time.Second))
		program := site.Programs[drawBelow(len(site.Programs))]
		kind := []string{"kill", "kill who leads", "stand still", "who leads stands still", "cut", "the council stands still"}[drawBelow(6)]
		// The broker that holds the lease "fleet-roll" leads the rolling restart.
		if strings.Contains(kind, "who leads") {
			if found, err := site.AdminClient().Leases(ctx, "fleet-roll", 1); err == nil && len(found.Leases) > 0 && len(found.Leases[0].Holders) > 0 {
				for _, holder := range site.Programs {
					if holder.Name == found.Leases[0].Holders[0].Owner {
						program = holder
					}
				}
			}
		}
		res.Faults = append(res.Faults, fmt.Sprintf("%s %s for %v", kind, program.Name, duration.Round(time.Millisecond)))
		switch kind {
		case "kill", "kill who leads":
			program.Kill()
			sleep(ctx, duration)
			program.Start()
		case "stand still", "who leads stands still":
			program.Signal(syscall.SIGSTOP)
			sleep(ctx, duration)
			program.Signal(syscall.SIGCONT)
		case "cut":
			outgoing, incoming := rnd.Float64() < 0.7, rnd.Float64() < 0.7
			for pair, link := range site.links {
				if pair[0] == program.index || pair[1] == program.index {
					link.Hold(outgoing, incoming)
				}
			}
			sleep(ctx, duration)
			for _, link := range site.links {
				link.Hold(false, false)
			}
		case "the council stands still":
			for _, voter := range site.Programs[:r.Voters] {
				voter.Signal(syscall.SIGSTOP)
			}
			sleep(ctx, duration)
			for _, voter := range site.Programs[:r.Voters] {
				voter.Signal(syscall.SIGCONT)
			}
		}
	}
}
