package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleetrig"
	"brackenfront/internal/rig"
)

const (
	// searchPause is the time that each sending goroutine waits between the answer to a search and its next search.
	searchPause = 500 * time.Microsecond
	// failedSeconds is recorded as the time of a search that failed, in seconds; it is longer than any search can take.
	failedSeconds = 1e9
)

// timeSearch sends one search over HTTP and returns the time until its answer in seconds, or failedSeconds if it fails.
func timeSearch(ctx context.Context, r *rig.Rig) float64 {
	from := time.Now()
	outcome, err := r.Send(ctx, "http", r.NewSearch("all", 0, 1, 2))
	seconds := time.Since(from).Seconds()
	if err != nil || outcome.End != "answered" {
		seconds = failedSeconds
	}
	return seconds
}

// quantile returns the q-quantile of times, with q from 0 to 1, in their unit: the element of the n sorted times with the index q*(n-1),
// rounded down. For an even number of times, the 0.5-quantile is therefore the lower of the two in the middle. quantile sorts times, of
// which there must be at least one.
func quantile(times []float64, q float64) float64 {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// startCouncilAndBroker starts a council with a lease TTL of 1.2 s, and a broker in this process, which speaks frames to nodes. The caller
// has to close both; after an error neither runs.
func startCouncilAndBroker(ctx context.Context) (*fleetrig.Council, *rig.Rig, error) {
	council, err := fleetrig.NewCouncil(ctx, 1.2)
	if err != nil {
		return nil, nil, err
	}
	r, err := rig.Start(rig.AllSpeakFrames, rig.FlightLimits{MaxPartBytes: 1 << 20, AnswerMemoryBytes: 1 << 24, RowsPerPart: 1})
	if err != nil {
		council.Close()
		return nil, nil, err
	}
	return council, r, nil
}

// measureSearches sends about as many searches as searches says in each of three states to a broker in this process: without a
// connection to the council ("off"), with a lease held from the council ("on"), and with the council's processes stopped by SIGSTOP
// while it is held ("frozen"). It compares how long answers take.
func measureSearches(searches int, must func(holds bool, what, figure, aim string)) {
	ctx := context.Background()
	fail := func(err error) { must(false, "searches beside the fleet", err.Error(), "") }
	council, broker, err := startCouncilAndBroker(ctx)
	if err != nil {
		fail(err)
		return
	}
	defer council.Close()
	defer broker.Close()
	states := []string{"off", "on", "frozen"}
	times := map[string][]float64{}
	const (
		// rounds is how often each state is measured, in an order that changes.
		rounds = 12
		// senders is the number of goroutines that send searches at once.
		senders = 4
	)
	// The first round is not counted.
	for round := range rounds + 1 {
		for k := range states {
			state := states[(k+round)%len(states)]
			var node *fleet.Node
			var held *fleet.HeldLease
			if state != "off" {
				if node, err = council.StartNode("broker"); err == nil {
					held, err = node.Acquire(ctx, "task", 1, 10*time.Second)
				}
				if err != nil {
					fail(err)
					return
				}
				if state == "frozen" {
					council.SetPaused(true)
				}
			}
			var running sync.WaitGroup
			var mu sync.Mutex
			for range senders {
				running.Go(func() {
					for range searches / rounds / senders {
						seconds := timeSearch(ctx, broker)
						mu.Lock()
						if round > 0 {
							times[state] = append(times[state], seconds)
						}
						mu.Unlock()
						time.Sleep(searchPause)
					}
				})
			}
			running.Wait()
			council.SetPaused(false)
			if node != nil {
				held.Release()
				closing, cancel := context.WithTimeout(ctx, time.Second)
				node.Close(closing)
				cancel()
			}
		}
	}
	for _, state := range states[1:] {
		p50 := quantile(times[state], 0.5) / quantile(times["off"], 0.5)
		p99 := quantile(times[state], 0.99) / quantile(times["off"], 0.99)
		must(p50 <= 1.03, fmt.Sprintf("%d searches, the fleet %s, beside off", len(times[state]), state),
			fmt.Sprintf("p50 %.3f, p99 %.3f times", p50, p99), "p50 within 1.03; aim: p99 too")
	}
}

// The stages of measureCouncilOutage, in their order.
const (
	// stageBefore is the stage before the council is killed.
	stageBefore = iota
	// stageDown is the stage while the council is down.
	stageDown
	// stageAfter is the stage after the council was started again.
	stageAfter
	// stageCount is the number of stages.
	stageCount
)

// measureCouncilOutage kills the whole council under load, keeps it down for the time outage and starts it again: searches must not be
// affected, no two fleet nodes may operate under a lease at once, and the lease must be granted again afterwards, with a higher token.
func measureCouncilOutage(outage time.Duration, must func(holds bool, what, figure, aim string)) {
	ctx := context.Background()
	fail := func(err error) { must(false, "the council wholly down", err.Error(), "") }
	council, broker, err := startCouncilAndBroker(ctx)
	if err != nil {
		fail(err)
		return
	}
	defer council.Close()
	defer broker.Close()
	working, stop := context.WithCancel(ctx)
	defer stop()
	// inProgress is the number of operations in progress, of which there may be one at a time. operations is the number of all
	// operations, and overlapping the number of those that began while another was in progress. stage is the present stage.
	var inProgress, overlapping, operations, stage atomic.Int64
	// lastToken is the highest token of an operation before the council was started again, and firstAfter the first token after that;
	// 0 if there was no operation yet.
	var lastToken, firstAfter atomic.Uint64
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, name := range []string{"one", "other"} {
		node, err := council.StartNode(name)
		if err != nil {
			fail(err)
			return
		}
		defer func() {
			closing, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			node.Close(closing)
		}()
		tasks.Go(func() {
			for working.Err() == nil {
				task := fleet.Task{Name: "task", MaxWait: 5 * time.Second, MaxDuration: 300 * time.Millisecond, StopTimeout: 50 * time.Millisecond}
				node.RunTask(working, task, func(ctx context.Context, turn *fleet.TaskLease) error {
					for ctx.Err() == nil && turn.Valid() {
						if inProgress.Add(1) > 1 {
							overlapping.Add(1)
						}
						if operations.Add(1); stage.Load() < stageAfter {
							lastToken.Store(max(lastToken.Load(), turn.Token))
						} else if stage.Load() == stageAfter {
							firstAfter.CompareAndSwap(0, turn.Token)
						}
						time.Sleep(time.Millisecond)
						inProgress.Add(-1)
					}
					return nil
				})
			}
		})
	}
	var mu sync.Mutex
	var times [stageCount][]float64
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			for working.Err() == nil {
				sentIn := stage.Load()
				seconds := timeSearch(ctx, broker)
				mu.Lock()
				times[sentIn] = append(times[sentIn], seconds)
				mu.Unlock()
				time.Sleep(searchPause)
			}
		})
	}
	time.Sleep(outage / 3)
	council.Kill()
	stage.Store(stageDown)
	time.Sleep(outage)
	if err := council.Restart(); err != nil {
		fail(err)
	}
	stage.Store(stageAfter)
	from := time.Now()
	for firstAfter.Load() == 0 && time.Since(from) < time.Minute {
		time.Sleep(time.Millisecond)
	}
	recovery := time.Since(from)
	time.Sleep(outage / 3)
	stop()
	senders.Wait()
	must(overlapping.Load() == 0 && firstAfter.Load() > lastToken.Load(), fmt.Sprintf("the council wholly down for %v", outage),
		fmt.Sprintf("%d of %d acts beside another's; moves %.2f s after", overlapping.Load(), operations.Load(), recovery.Seconds()), "none; tokens rise")
	must(quantile(times[stageDown], 0.99) < 1e6, fmt.Sprintf("%d searches meanwhile, beside %d before", len(times[stageDown]), len(times[stageBefore])),
		fmt.Sprintf("p50 %.3f, p99 %.3f times", quantile(times[stageDown], 0.5)/quantile(times[stageBefore], 0.5),
			quantile(times[stageDown], 0.99)/quantile(times[stageBefore], 0.99)), "all answered; aim: within 1.03")
}
