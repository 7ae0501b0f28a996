package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
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
