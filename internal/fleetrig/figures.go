package fleetrig

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/wire"
)

// Spread is how a figure in seconds lies.
type Spread struct {
	N             int
	P50, P99, Max float64
}

func (s Spread) String() string {
	return fmt.Sprintf("p50 %.3f, p99 %.3f s (%d)", s.P50, s.P99, s.N)
}

func spread(all []float64) (s Spread) {
	if len(all) == 0 {
		return s
	}
	slices.Sort(all)
	return Spread{len(all), all[len(all)/2], all[len(all)*99/100], all[len(all)-1]}
}

// Timed are figures of a fleet without other faults.
type Timed struct {
	Grant Spread // from the end of one holder's right to the next one's, both alive
	Moved Spread // from the kill of a holder until another acts
	Led   Spread // from the kill of the leader until a lease that is free then is granted
}

// Figures kills holders and leaders, n times each, and looks how long it takes until leases move.
func Figures(ctx context.Context, n int) (t Timed, err error) {
	f := &playing{Play: Play{Seed: 1, Seats: 3, Actors: 4}, links: map[[2]int]*Link{}}
	f.rnd.Seed(1)
	if f.dir, err = os.MkdirTemp("", "fleet"); err != nil {
		return t, err
	}
	defer os.RemoveAll(f.dir)
	if f.judge, err = NewJudge(machineNow, true); err != nil {
		return t, err
	}
	defer f.judge.Close()
	defer f.close()
	if err := f.build(); err != nil {
		return t, err
	}
	for _, o := range f.all {
		if err := o.start(); err != nil {
			return t, err
		}
	}
	if !f.wait(ctx, func() bool { return len(f.moved(nil)) == len(leases) }) {
		return t, fmt.Errorf("the fleet did not begin to act")
	}
	var moved, led []float64
	for range n {
		name, who, token := f.judge.holder()
		at := machineNow()
		f.named(who).kill()
		if !f.wait(ctx, func() bool { return f.judge.after(name, token) > 0 }) {
			return t, fmt.Errorf("%s of %s did not move", name, who)
		}
		moved = append(moved, f.judge.after(name, token)-at)
		if err := f.named(who).start(); err != nil {
			return t, err
		}
		time.Sleep(time.Duration(Terms().TTL * float64(time.Second)))
	}
	for range n {
		lead := f.lead(ctx)
		if lead == nil {
			return t, fmt.Errorf("nobody leads")
		}
		at, last := machineNow(), f.judge.last()
		lead.kill()
		if !f.wait(ctx, func() bool { return f.judge.since(last) > 0 }) {
			return t, fmt.Errorf("nothing was granted without %s", lead.name)
		}
		led = append(led, f.judge.since(last)-at)
		if err := lead.start(); err != nil {
			return t, err
		}
		time.Sleep(time.Duration(2 * Terms().TTL * float64(time.Second)))
	}
	t.Moved, t.Led, t.Grant = spread(moved), spread(led), spread(f.judge.gaps())
	return t, nil
}

func machineNow() float64 { return fleet.Real().Now() }

func (f *playing) named(who string) *process {
	return f.all[slices.IndexFunc(f.all, func(o *process) bool { return o.name == who })]
}

// desk asks the council for the rig.
func (f *playing) desk() fleet.Desk {
	d := fleet.Desk{World: fleet.Real()}
	d.Keys, _ = wire.ReadKeys(f.all[0].orders.Stated.Keys) // build has just written them
	for _, o := range f.all[:f.Seats] {
		d.Council = append(d.Council, fleet.Named{Broker: o.name, Addr: o.addr})
	}
	return d
}

// lead asks the council who leads it.
func (f *playing) lead(ctx context.Context) (lead *process) {
	d := f.desk()
	f.wait(ctx, func() bool {
		all, _ := d.Statuses(ctx)
		for _, s := range all {
			if s.Seat != nil && s.Seat.Leading {
				lead = f.named(s.Broker)
			}
		}
		return lead != nil
	})
	return lead
}

// holder gives a right that has not ended, the one that began last.
func (j *Judge) holder() (lease, who string, token uint64) {
	for who == "" {
		j.mu.Lock()
		from := 0.0
		for k, spans := range j.right {
			for t, s := range spans {
				if !s.ended && s.from > from {
					lease, who, token, from = k, s.who, t, s.from
				}
			}
		}
		j.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	return lease, who, token
}

// after is when the next right behind a token began, 0 for not yet.
func (j *Judge) after(k string, token uint64) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return first(j.right[k], token)
}

func first(spans map[uint64]*span, token uint64) float64 {
	next := uint64(0)
	for t := range spans {
		if t > token && (next == 0 || t < next) {
			next = t
		}
	}
	if next == 0 {
		return 0
	}
	return spans[next].from
}

// last is the highest token that was held, and since is when the first higher one was, 0 for not yet.
func (j *Judge) last() (token uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, spans := range j.right {
		for t := range spans {
			token = max(token, t)
		}
	}
	return token
}

func (j *Judge) since(token uint64) (at float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, spans := range j.right {
		if t := first(spans, token); t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// gaps are the times from the end of a right that was given back until the next one's beginning.
func (j *Judge) gaps() (all []float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, spans := range j.right {
		for t, s := range spans {
			if next := first(spans, t); s.ended && next > s.to {
				all = append(all, next-s.to)
			}
		}
	}
	return all
}
