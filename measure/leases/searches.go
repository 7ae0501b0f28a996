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

// searches asks a broker in this process, by turns without the fleet, with it, and with the council standing still, and
// compares how long answers take.
func searches(n int, must func(bool, string, string, string)) {
	ctx := context.Background()
	fail := func(err error) { must(false, "searches beside the fleet", err.Error(), "") }
	c, err := fleetrig.NewCouncil(ctx, 1.2)
	if err != nil {
		fail(err)
		return
	}
	defer c.Close()
	r, err := rig.Start(rig.Framed, rig.Bounds{Part: 1 << 20, Room: 1 << 24, Rows: 1})
	if err != nil {
		fail(err)
		return
	}
	defer r.Close()
	states := []string{"off", "on", "frozen"}
	took := map[string][]float64{}
	const rounds, lanes = 12, 4
	for round := range rounds + 1 { // the first is not counted
		for k := range states {
			state := states[(k+round)%len(states)]
			var node *fleet.Node
			var held *fleet.Held
			if state != "off" {
				if node, err = c.Join("broker"); err == nil {
					held, err = node.Acquire(ctx, "task", 1, 10*time.Second)
				}
				if err != nil {
					fail(err)
					return
				}
				if state == "frozen" {
					c.Freeze(true)
				}
			}
			var all sync.WaitGroup
			var mu sync.Mutex
			for range lanes {
				all.Go(func() {
					for range n / rounds / lanes {
						from := time.Now()
						o, err := r.Ask(ctx, "http", r.Search("all", 0, 1, 2))
						d := time.Since(from).Seconds()
						mu.Lock()
						if err != nil || o.End != "answered" {
							d = 1e9
						}
						if round > 0 {
							took[state] = append(took[state], d)
						}
						mu.Unlock()
						time.Sleep(500 * time.Microsecond)
					}
				})
			}
			all.Wait()
			c.Freeze(false)
			if node != nil {
				held.Release()
				end, cancel := context.WithTimeout(ctx, time.Second)
				node.Close(end)
				cancel()
			}
		}
	}
	at := func(state string, q float64) float64 {
		slices.Sort(took[state])
		return took[state][int(q*float64(len(took[state])-1))]
	}
	for _, state := range states[1:] {
		p50, p99 := at(state, 0.5)/at("off", 0.5), at(state, 0.99)/at("off", 0.99)
		must(p50 <= 1.03, fmt.Sprintf("%d searches, the fleet %s, beside off", len(took[state]), state),
			fmt.Sprintf("p50 %.3f, p99 %.3f times", p50, p99), "p50 within 1.03; aim: p99 too")
	}
}

// down kills the whole council under load, has it away for so long, and starts it again: searches do not notice, nobody acts
// beside another, and leases move again.
func down(away time.Duration, must func(bool, string, string, string)) {
	ctx := context.Background()
	fail := func(err error) { must(false, "the council wholly down", err.Error(), "") }
	c, err := fleetrig.NewCouncil(ctx, 1.2)
	if err != nil {
		fail(err)
		return
	}
	defer c.Close()
	r, err := rig.Start(rig.Framed, rig.Bounds{Part: 1 << 20, Room: 1 << 24, Rows: 1})
	if err != nil {
		fail(err)
		return
	}
	defer r.Close()
	over, stop := context.WithCancel(ctx)
	defer stop()
	var at, both, acts, stage atomic.Int64
	var lastToken, firstAfter atomic.Uint64
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, name := range []string{"one", "other"} {
		node, err := c.Join(name)
		if err != nil {
			fail(err)
			return
		}
		defer func() {
			end, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			node.Close(end)
		}()
		tasks.Go(func() {
			for over.Err() == nil {
				node.Act(over, fleet.Task{Name: "task", Wait: 5 * time.Second, Most: 300 * time.Millisecond, Bound: 50 * time.Millisecond}, func(ctx context.Context, turn *fleet.Turn) error {
					for ctx.Err() == nil && turn.Valid() {
						if at.Add(1) > 1 {
							both.Add(1)
						}
						if acts.Add(1); stage.Load() < 2 {
							lastToken.Store(max(lastToken.Load(), turn.Token))
						} else if stage.Load() == 2 {
							firstAfter.CompareAndSwap(0, turn.Token)
						}
						time.Sleep(time.Millisecond)
						at.Add(-1)
					}
					return nil
				})
			}
		})
	}
	var mu sync.Mutex
	var took [3][]float64
	var lanes sync.WaitGroup
	for range 4 {
		lanes.Go(func() {
			for over.Err() == nil {
				k := stage.Load()
				from := time.Now()
				o, err := r.Ask(ctx, "http", r.Search("all", 0, 1, 2))
				d := time.Since(from).Seconds()
				if err != nil || o.End != "answered" {
					d = 1e9
				}
				mu.Lock()
				took[k] = append(took[k], d)
				mu.Unlock()
				time.Sleep(500 * time.Microsecond)
			}
		})
	}
	time.Sleep(away / 3)
	c.Kill()
	stage.Store(1)
	time.Sleep(away)
	if err := c.Again(); err != nil {
		fail(err)
	}
	stage.Store(2)
	from := time.Now()
	for firstAfter.Load() == 0 && time.Since(from) < time.Minute {
		time.Sleep(time.Millisecond)
	}
	back := time.Since(from)
	time.Sleep(away / 3)
	stop()
	lanes.Wait()
	at99 := func(k int, q float64) float64 {
		slices.Sort(took[k])
		return took[k][int(q*float64(len(took[k])-1))]
	}
	must(both.Load() == 0 && firstAfter.Load() > lastToken.Load(), fmt.Sprintf("the council wholly down for %v", away),
		fmt.Sprintf("%d of %d acts beside another's; moves %.2f s after", both.Load(), acts.Load(), back.Seconds()), "none; tokens rise")
	must(at99(1, 0.99) < 1e6, fmt.Sprintf("%d searches meanwhile, beside %d before", len(took[1]), len(took[0])),
		fmt.Sprintf("p50 %.3f, p99 %.3f times", at99(1, 0.5)/at99(0, 0.5), at99(1, 0.99)/at99(0, 0.99)), "all answered; aim: within 1.03")
}
