package fleetrig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"brackenfront/budget"
)

// Judge is the target of all acts, and hears all claims. It knows the machine's clock and nothing of the fleet.
type Judge struct {
	Checks bool // acts with a token lower than the highest seen are refused, as targets of the fleet have to

	ln    net.Listener
	now   func() float64
	all   sync.WaitGroup
	mu    sync.Mutex
	open  map[net.Conn]bool
	acts  []Seen
	spent []Seen // of budgets
	high  map[string]uint64
	low   int // acts that were refused
	right map[string]map[uint64]*span
	owner map[string]map[uint64]string
	bad   []string
}

// Seen is an act that was accepted.
type Seen struct {
	Act
	At float64
}

// span is the time in which somebody might act under a token.
type span struct {
	who      string
	from, to float64
	ended    bool
}

// NewJudge listens for acts.
func NewJudge(now func() float64, checks bool) (*Judge, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &Judge{Checks: checks, ln: ln, now: now, open: map[net.Conn]bool{}, high: map[string]uint64{},
		right: map[string]map[uint64]*span{}, owner: map[string]map[uint64]string{}}
	j.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			j.mu.Lock()
			j.open[c] = true
			j.mu.Unlock()
			j.all.Go(func() { j.serve(c) })
		}
	})
	return j, nil
}

// Addr is where acts go.
func (j *Judge) Addr() string { return j.ln.Addr().String() }

// Close ends it.
func (j *Judge) Close() {
	j.ln.Close()
	j.mu.Lock()
	for c := range j.open {
		c.Close()
	}
	j.mu.Unlock()
	j.all.Wait()
}

func key(lease string, place int) string { return fmt.Sprintf("%s/%d", lease, place) }

func (j *Judge) serve(c net.Conn) {
	defer func() {
		c.Close()
		j.mu.Lock()
		delete(j.open, c)
		j.mu.Unlock()
	}()
	in, out := json.NewDecoder(c), json.NewEncoder(c)
	for {
		c.SetDeadline(time.Now().Add(time.Minute))
		var a Act
		if in.Decode(&a) != nil {
			return
		}
		if out.Encode(j.take(a)) != nil {
			return
		}
	}
}

func (j *Judge) take(a Act) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.Rate != "" || a.Stock != "" {
		j.spent = append(j.spent, Seen{a, j.now()})
		return "done"
	}
	k := key(a.Lease, a.Place)
	if a.Token < j.high[k] && j.Checks {
		j.low++
		return "low"
	}
	j.high[k] = max(j.high[k], a.Token)
	j.acts = append(j.acts, Seen{a, j.now()})
	if j.owner[k] == nil {
		j.owner[k] = map[uint64]string{}
	}
	if who, ok := j.owner[k][a.Token]; ok && who != a.Who {
		j.bad = append(j.bad, fmt.Sprintf("%s: token %d was used by %s and by %s", k, a.Token, who, a.Who))
	}
	j.owner[k][a.Token] = a.Who
	return "done"
}

// Hear reads a process's claims until its end; note is told what else it says.
func (j *Judge) Hear(who string, r io.Reader, note func(string)) {
	in := json.NewDecoder(r)
	for {
		var c Claim
		if in.Decode(&c) != nil {
			io.Copy(io.Discard, r)
			return
		}
		if c.Note != "" {
			note(c.Note)
			continue
		}
		j.claim(who, c)
	}
}

func (j *Judge) claim(who string, c Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := key(c.Lease, c.Place)
	if j.right[k] == nil {
		j.right[k] = map[uint64]*span{}
	}
	s := j.right[k][c.Token]
	if s == nil {
		s = &span{who: who, from: c.At}
		j.right[k][c.Token] = s
	}
	if s.who != who {
		j.bad = append(j.bad, fmt.Sprintf("%s: token %d was held by %s and by %s", k, c.Token, s.who, who))
	}
	if c.End {
		s.to, s.ended = min(max(s.to, c.Until), c.At), true
	} else if !s.ended {
		s.to = max(s.to, c.Until)
	}
}

// Progress counts accepted acts of each lease, by name.
func (j *Judge) Progress() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := map[string]int{}
	for _, a := range j.acts {
		n[a.Lease]++
	}
	return n
}

// Findings are what no fleet may do, as far as it has been seen.
type Findings struct {
	Rights []string // two rights to one place at once, by the machine's clock
	Acts   []string // acts of two holders that overlap, tokens that fall, tokens with two owners
	Count  int      // acts that were accepted,
	Low    int      // and that were refused for their token
	Grants int
}

// Verdict looks at all that was seen.
func (j *Judge) Verdict() (f Findings) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.Acts, f.Count, f.Low = append(f.Acts, j.bad...), len(j.acts), j.low
	for k, spans := range j.right {
		f.Grants += len(spans)
		tokens := make([]uint64, 0, len(spans))
		for t := range spans {
			tokens = append(tokens, t)
		}
		slices.Sort(tokens)
		far := uint64(0) // of the earlier tokens, the one whose right reaches furthest
		for _, t := range tokens {
			if a, b := spans[far], spans[t]; a != nil && a.to > b.from {
				f.Rights = append(f.Rights, fmt.Sprintf("%s: %s might act under %d until %.6f, %s under %d from %.6f: %.1f ms at once",
					k, a.who, far, a.to, b.who, t, b.from, 1e3*(a.to-b.from)))
			}
			if far == 0 || spans[t].to > spans[far].to {
				far = t
			}
		}
	}
	last := map[string]Act{}
	for _, a := range j.acts {
		k := key(a.Lease, a.Place)
		if was, ok := last[k]; ok && a.Token < was.Token {
			f.Acts = append(f.Acts, fmt.Sprintf("%s: %s acted under %d after %s under %d", k, a.Who, a.Token, was.Who, was.Token))
		}
		last[k] = a.Act
	}
	slices.Sort(f.Rights)
	return f
}

// Spent is what was seen of a budget.
type Spent struct {
	Units int
	Most  int     // held at once, of a stock
	Over  float64 // units beyond the whole, in the worst window of any length, or at the worst moment; below 0 for none
	At    float64
}

// Account looks at all that was spent of a budget by all together, on the one clock, in every window of every length.
func (j *Judge) Account(name string, t budget.Terms) (s Spent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	unit := float64(budget.Unit)
	s.Over = -1e9
	if t.Kind == budget.Rate { // as a bucket sees it that was full at first: no window is over where this never runs dry
		level, at := float64(t.Burst)/unit, 0.0
		for _, a := range j.spent {
			if a.Rate != name {
				continue
			}
			if s.Units++; at > 0 {
				level = min(level+float64(t.Whole)/unit*(a.At-at), float64(t.Burst)/unit)
			}
			level, at = level-1, a.At
			if -level > s.Over {
				s.Over, s.At = -level, a.At
			}
		}
		return s
	}
	type change struct {
		at   float64
		more int
	}
	var all []change
	for _, a := range j.spent {
		if a.Stock == name {
			s.Units++
			all = append(all, change{a.At, 1}, change{a.At + a.Lasts, -1})
		}
	}
	slices.SortFunc(all, func(a, b change) int {
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return a.more - b.more
	})
	now := 0
	for _, c := range all {
		if now += c.more; now > s.Most {
			s.Most, s.At = now, c.at
		}
	}
	s.Over = float64(s.Most) - float64(t.Whole)/unit
	return s
}
