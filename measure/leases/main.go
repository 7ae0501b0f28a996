// Command leases measures leases with real processes on loopback; measure/leases.sh runs it. It prints a table and ends
// with 1 where a "must" does not hold.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"brackenfront/internal/fleetrig"
)

func main() {
	fleetrig.Body()
	seed := flag.Uint64("seed", 1000, "of the first schedule")
	runs := flag.Int("runs", 200, "schedules")
	lanes := flag.Int("lanes", 4, "schedules at once")
	faults := flag.Int("faults", 10, "in each")
	kept := flag.String("kept", "", "folder for the logs of runs that fail")
	asks := flag.Int("searches", 0, "measure so many searches beside the fleet, in each of its states, alone")
	shared := flag.Bool("trials", false, "measure trials of nodes that are out, alone")
	load := flag.Bool("load", false, "measure the load on one council alone")
	sessions := flag.Int("sessions", 300, "on one council")
	changes := flag.Int("changes", 1_000_000, "of leases")
	flag.Parse()
	ok := true
	must := func(holds bool, what, figure, aim string) {
		mark := "holds"
		if !holds {
			mark, ok = "FAILS", false
		}
		fmt.Printf("%-58s %-34s %-30s %s\n", what, figure, aim, mark)
	}
	fmt.Printf("%-58s %-34s %-30s\n", "figure", "measured", "must")

	if *shared {
		sharing(*seed, must)
		if !ok {
			os.Exit(1)
		}
		return
	}
	if *asks > 0 {
		searches(*asks, must)
		if !ok {
			os.Exit(1)
		}
		return
	}
	if *load {
		press(*sessions, *changes, must)
		return
	}
	type total struct{ bad, rights, acts, grants, count, low int }
	play := func(p fleetrig.Play, n int) (t total, back []float64) {
		var mu sync.Mutex
		var all sync.WaitGroup
		room := make(chan bool, *lanes)
		for i := range n {
			room <- true
			all.Go(func() {
				defer func() { <-room }()
				p := p
				p.Seed += uint64(i)
				p.Seats = []int{3, 3, 3, 5, 7}[p.Seed%5]
				res, err := p.Run(context.Background())
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					fmt.Println(err)
					t.bad++
					return
				}
				if res.Bad() && !p.NoDrift && !p.NoToken {
					fmt.Printf("seed %d: rights %v, acts %v, stalled %v, broken %v\n  %s\n", p.Seed, res.Rights, res.Acts, res.Stalled, res.Broken,
						strings.Join(res.Faults, "\n  "))
				}
				if res.Bad() {
					t.bad++
				}
				t.rights, t.acts, t.grants, t.count, t.low = t.rights+len(res.Rights), t.acts+len(res.Acts), t.grants+res.Grants, t.count+res.Count, t.low+res.Low
				back = append(back, res.Back)
			})
		}
		all.Wait()
		slices.Sort(back)
		return t, back
	}
	base := fleetrig.Play{Seed: *seed, Actors: 4, Faults: *faults, Length: 4 * time.Second, Kept: *kept}
	t, back := play(base, *runs)
	must(t.bad == 0, fmt.Sprintf("one holder: %d schedules from seed %d on", *runs, *seed),
		fmt.Sprintf("%d bad; %d grants, %d acts", t.bad, t.grants, t.count), "0 bad")
	if len(back) > 0 {
		fmt.Printf("%-58s %-34s\n", "all leases moved after the last fault", fmt.Sprintf("p50 %.2f s, p99 %.2f s", back[len(back)/2], back[len(back)*99/100]))
	}
	n := max(3, *runs/20)
	p := base
	p.Freeze = true
	t, _ = play(p, n)
	must(t.bad == 0 && t.low > 0, "a holder stopped between its look and its act, every run", fmt.Sprintf("%d bad; %d acts refused by token", t.bad, t.low), "0 bad, some refused")
	p.NoToken = true
	t, _ = play(p, n)
	must(t.acts > 0, "baseline: targets that do not look at tokens", fmt.Sprintf("%d of %d acts bad", t.acts, t.count), "found by the judge")
	p = base
	p.Kind, p.NoDrift = "stand still", true
	t, _ = play(p, n)
	must(t.rights > 0, "baseline: no margin for drift", fmt.Sprintf("%d of %d rights at once", t.rights, t.grants), "found by the judge")
	p.NoDrift = false
	t, _ = play(p, n)
	must(t.bad == 0, "the same schedules with it", fmt.Sprintf("%d bad of %d rights", t.bad, t.grants), "0 bad")

	ttl := fleetrig.Terms().TTL
	f, err := fleetrig.Figures(context.Background(), n)
	if err != nil {
		must(false, "figures", err.Error(), "")
	} else {
		bound := ttl*(1+2*fleetrig.Terms().Drift) + 0.2*ttl
		fmt.Printf("%-58s %-34s\n", "a free lease is granted, released and granted again", f.Grant.String())
		must(f.Moved.P99 <= bound, "a dead holder's lease moves (ttl "+fmt.Sprint(ttl)+" s)", f.Moved.String(), fmt.Sprintf("aim: p99 at most %.3f s", bound))
		must(f.Led.P99 <= bound, "a dead leader is replaced, and grants", f.Led.String(), fmt.Sprintf("aim: p99 at most %.3f s", bound))
	}
	press(*sessions, *changes, must)
	if !ok {
		os.Exit(1)
	}
}

func press(sessions, changes int, must func(bool, string, string, string)) {
	l, err := fleetrig.Press(context.Background(), sessions, changes)
	if err != nil {
		must(false, "load", err.Error(), "")
	} else {
		row := func(what, format string, args ...any) {
			fmt.Printf("%-58s %-34s\n", what, fmt.Sprintf(format, args...))
		}
		row(fmt.Sprintf("%d sessions, each a lease (ttl 6 s)", l.Sessions), "%.2f s until all hold", l.Held.Seconds())
		row("their renewals", "%.0f a second; %.3f ms CPU, %.2f syncs each", l.Renewals, l.CPU, l.Syncs)
		row("the whole council starts anew under them", "%.2f s until all are served", l.Back.Seconds())
		row(fmt.Sprintf("%d changes of leases", l.Changes), "%.0f a second", l.Rate)
		row("after them, the leader", "%.1f MB of disk, %.1f MB resident", float64(l.Disk)/(1<<20), float64(l.Memory)/(1<<20))
		row("its new start", "%.2f s until it follows again", l.Restart.Seconds())
	}
}
