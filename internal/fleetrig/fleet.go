package fleetrig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"brackenfront/budget"
	"brackenfront/chance"
	"brackenfront/internal/fleet"
	"brackenfront/lease"
)

// Play is one run: a fleet, a schedule of faults drawn from the seed, and what is spoilt on purpose.
type Play struct {
	Seed    uint64
	Seats   int // of the council: 3, 5 or 7
	Actors  int // brokers beside them that act under leases
	Faults  int
	Length  time.Duration // within which faults begin and end
	Kind    string        // all faults are of this kind, and meet one actor each; empty for all kinds
	Only    []int         // of the faults, by number; nil for all
	Dir     string        // for folders of the processes; empty for the system's
	Kept    string        // where the log of a run that failed is kept; empty for nowhere
	Freeze  bool          // one actor stops itself once between the look at its right and the act
	NoDrift bool          // baseline: no margin for the drift of clocks
	Budgets bool          // actors spend of budgets besides
	Part    string        // baseline: how they take their parts of these instead, see Orders
	NoToken bool          // baseline: targets take every act, and actors act without looking
}

// Result is what came of it.
type Result struct {
	Findings
	Faults  []string
	Broken  []string         // what processes wrote of races and panics
	Stalled []string         // leases under which nobody acted any more once the faults had ended
	Spent   map[string]Spent // of budgets
	Back    float64          // seconds from the end of the last fault until all leases had moved
}

// Bad is whether the fleet did what no fleet may.
func (r *Result) Bad() bool {
	for _, s := range r.Spent {
		if s.Over > 0 {
			return true
		}
	}
	return len(r.Rights)+len(r.Acts)+len(r.Stalled)+len(r.Broken) > 0
}

// budgets are what the actors of a play may use all together.
func (p Play) budgets() map[string]budget.Terms {
	if !p.Budgets {
		return nil
	}
	n := p.Actors + p.Seats
	rate := budget.Terms{Kind: budget.Rate, Whole: 100 * budget.Unit, Burst: int64(2*n+20) * budget.Unit, Brokers: n, InHand: 1}
	rate.Floor = rate.Whole / 10 / int64(n)
	stock := budget.Terms{Kind: budget.Stock, Whole: int64(4*n) * budget.Unit, Floor: budget.Unit, Brokers: n, InHand: 1, Linger: 0.1}
	return map[string]budget.Terms{"rate": rate, "stock": stock}
}

// Terms of the rig: leases of some hundred milliseconds. Nothing safe depends on them.
func Terms() lease.Terms {
	t := lease.Usual()
	t.TTL, t.Drift = 0.6, 0.05
	return t
}

const (
	tick    = 15 * time.Millisecond
	patient = 40 * time.Second // for what has to come once faults have ended, on a busy machine
)

var leases = []string{"roll", "report", "sweep"}

// process is one of the fleet.
type process struct {
	f      *playing
	name   string
	dir    string
	seat   int // -1 for an actor
	addr   string
	orders Orders
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	log    *os.File
}

type playing struct {
	Play
	rnd   chance.Source
	dir   string
	judge *Judge
	all   []*process
	links map[[2]int]*Link // from process to seat
	acts  []*Link          // from process to the judge
}

var host atomic.Int32 // numbers the addresses of this process's fleets

// Run plays it. An error is of the rig, not of the fleet.
func (p Play) Run(ctx context.Context) (res *Result, err error) {
	f := &playing{Play: p, links: map[[2]int]*Link{}}
	f.rnd.Seed(p.Seed)
	if f.dir, err = os.MkdirTemp(p.Dir, "fleet"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(f.dir)
	if f.judge, err = NewJudge(fleet.Real().Now, !p.NoToken); err != nil {
		return nil, err
	}
	defer f.judge.Close()
	defer f.close()
	if err := f.build(); err != nil {
		return nil, err
	}
	for _, o := range f.all {
		if err := o.start(); err != nil {
			return nil, err
		}
	}
	if !f.wait(ctx, func() bool { return len(f.moved(nil)) == len(leases) }) {
		return nil, fmt.Errorf("seed %d: the fleet did not begin to act: %v\n%s", p.Seed, f.judge.Progress(), f.logs())
	}
	res = &Result{}
	var troubles sync.WaitGroup
	for i, t := range f.schedule() {
		if p.Only != nil && !slices.Contains(p.Only, i) {
			continue
		}
		res.Faults = append(res.Faults, fmt.Sprintf("%d: %v", i, t))
		troubles.Go(func() { f.befall(ctx, t) })
	}
	troubles.Go(func() { sleep(ctx, f.Length) })
	troubles.Wait()
	f.mend()
	before, from := f.judge.Progress(), time.Now()
	f.wait(ctx, func() bool { return len(f.moved(before)) == len(leases) })
	res.Back = time.Since(from).Seconds()
	for _, name := range leases {
		if !slices.Contains(f.moved(before), name) {
			res.Stalled = append(res.Stalled, name)
		}
	}
	f.close()
	res.Findings = f.judge.Verdict()
	res.Spent = map[string]Spent{}
	for name, t := range f.budgets() {
		res.Spent[name] = f.judge.Account(name, t)
	}
	for _, o := range f.all {
		raw, _ := os.ReadFile(o.log.Name())
		for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			if i := strings.Index(string(raw), sign); i >= 0 {
				res.Broken = append(res.Broken, fmt.Sprintf("%s: %s", o.name, raw[i:min(len(raw), i+1500)]))
			}
		}
	}
	if res.Bad() && p.Kept != "" {
		f.keep(res)
	}
	return res, ctx.Err()
}

// moved names the leases under which there were more acts than before.
func (f *playing) moved(before map[string]int) (names []string) {
	now := f.judge.Progress()
	for _, l := range leases {
		if now[l] > before[l] {
			names = append(names, l)
		}
	}
	return names
}

func (f *playing) wait(ctx context.Context, over func() bool) bool {
	for end := time.Now().Add(patient); !over(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

func (f *playing) build() error {
	keys := filepath.Join(f.dir, "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat(fmt.Sprintf("%08x", host.Add(1)), 4)+fmt.Sprintf("%032x", os.Getpid())), 0o600); err != nil {
		return err
	}
	group := int(host.Add(1))
	for i := range f.Seats + f.Actors {
		o := &process{f: f, name: fmt.Sprint("c", i-f.Seats), seat: -1}
		if i < f.Seats {
			o.name, o.seat = fmt.Sprint("b", i), i
			o.addr = fmt.Sprintf("127.%d.%d.%d:%d", 20+os.Getpid()%200, os.Getpid()/200%250, i+1, 5200+group%1000)
		}
		o.dir = filepath.Join(f.dir, o.name)
		if err := os.Mkdir(o.dir, 0o700); err != nil {
			return err
		}
		var err error
		if o.log, err = os.Create(filepath.Join(f.dir, o.name+".log")); err != nil {
			return err
		}
		f.all = append(f.all, o)
	}
	for i, o := range f.all {
		o.orders = Orders{Rate: 1, Margin: !f.NoDrift, Careless: f.NoToken,
			Stated: fleet.Stated{Broker: o.name, Keys: keys, Founding: 1, Terms: Terms(), Tick: tick, Shared: f.Budgets}}
		drift := Terms().Drift // at the bound in both directions at once
		if f.NoDrift && o.seat >= 0 {
			o.orders.Rate = 1 + drift
		} else if f.NoDrift {
			o.orders.Rate = 1 - drift
		} else if o.orders.Rate += drift * math.Round(2*f.rnd.Next()-1); f.rnd.Next() < 0.3 {
			o.orders.Rate = 1 + drift*(2*f.rnd.Next()-1)
		}
		for s := range f.Seats {
			addr := f.all[s].addr
			if s != i {
				l, err := NewLink(addr)
				if err != nil {
					return err
				}
				f.links[[2]int{i, s}] = l
				addr = l.Addr()
			}
			o.orders.Stated.Council = append(o.orders.Stated.Council, fleet.Named{Broker: f.all[s].name, Addr: addr})
		}
		o.orders.Budgets, o.orders.Part, o.orders.Seed = f.budgets(), f.Part, f.Seed+uint64(i)
		if o.seat >= 0 {
			o.orders.Stated.Listen, o.orders.Stated.Dir = o.addr, o.dir
		} else {
			l, err := NewLink(f.judge.Addr())
			if err != nil {
				return err
			}
			f.acts = append(f.acts, l)
			o.orders.Target, o.orders.Tasks = l.Addr(), leases
			if f.Freeze && i == f.Seats {
				o.orders.Freeze = 10
			}
		}
	}
	return nil
}

func (o *process) start() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cmd != nil { // two faults at once ended it, and one has begun it anew
		return nil
	}
	raw, err := json.Marshal(o.orders)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), "FLEETRIG_ORDERS="+string(raw))
	cmd.Stderr = o.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the rig
	out, in, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd.Stdout = in
	if err := cmd.Start(); err != nil {
		return errors.Join(err, in.Close(), out.Close())
	}
	in.Close()
	done := make(chan struct{})
	o.cmd, o.done = cmd, done
	go func() {
		o.f.judge.Hear(o.name, out, func(note string) {
			if note == "frozen" { // until long after another holds what it held
				time.AfterFunc(time.Duration(3*Terms().TTL*float64(time.Second)), func() { cmd.Process.Signal(syscall.SIGCONT) })
			}
		})
		out.Close()
		cmd.Wait()
		close(done)
	}()
	return nil
}

// kill ends it at once, wherever it is, and waits until it has ended.
func (o *process) kill() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cmd != nil {
		o.cmd.Process.Signal(syscall.SIGCONT)
		o.cmd.Process.Kill()
		<-o.done
		o.cmd = nil
	}
}

// order has a write of its next start fail.
func (o *process) order(n int) {
	o.mu.Lock()
	o.orders.FailPut = n
	o.mu.Unlock()
}

func (o *process) signal(s syscall.Signal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cmd != nil {
		o.cmd.Process.Signal(s)
	}
}

func (f *playing) close() {
	for _, o := range f.all {
		o.kill()
		o.log.Sync()
	}
	for _, l := range f.links {
		l.Close()
	}
	for _, l := range f.acts {
		l.Close()
	}
}

// mend ends every fault: all processes run, all links pass.
func (f *playing) mend() {
	for _, l := range f.links {
		l.Hold(false, false)
		l.Slow(0)
		l.Foul(0)
	}
	for _, l := range f.acts {
		l.Hold(false, false)
		l.Slow(0)
	}
	for _, o := range f.all {
		o.signal(syscall.SIGCONT)
	}
}

// trouble is one fault of a schedule, from a moment to another.
type trouble struct {
	kind     string
	at, ends time.Duration
	who      []int
	with     []int
	n        int
}

func (t trouble) String() string {
	s := fmt.Sprintf("%s %v from %v to %v", t.kind, t.who, t.at.Round(time.Millisecond), t.ends.Round(time.Millisecond))
	if len(t.with) > 0 {
		s += fmt.Sprintf(" with %v", t.with)
	}
	if t.n > 0 {
		s += fmt.Sprintf(" (%d)", t.n)
	}
	return s
}

// schedule draws the faults. Of the council's disks one goes wrong at a time: a majority has to have kept its word.
func (f *playing) schedule() (all []trouble) {
	n := len(f.all)
	one := func(m int) int { return int(f.rnd.Next() * float64(m)) }
	var disks time.Duration // no disk's fault before
	for range f.Faults {
		t := trouble{at: time.Duration(f.rnd.Next() * 0.7 * float64(f.Length))}
		t.ends = min(f.Length, t.at+50*time.Millisecond+time.Duration(f.rnd.Next()*float64(f.Length)*0.4))
		actor, seat := f.Seats+one(f.Actors), one(f.Seats)
		switch x := f.rnd.Next(); {
		case x < 0.18:
			t.kind, t.who = "stand still", []int{actor}
		case x < 0.26:
			t.kind, t.who = "stand still", []int{seat}
		case x < 0.30:
			t.kind = "stand still"
			for i := range n {
				t.who = append(t.who, i)
			}
		case x < 0.38:
			t.kind, t.who = "kill", []int{actor}
		case x < 0.46:
			t.kind, t.who = "kill", []int{seat}
		case x < 0.52:
			t.kind = "kill"
			for i := range f.Seats {
				t.who = append(t.who, i)
			}
		case x < 0.58:
			t.kind, t.who, t.n = "disk fails", []int{seat}, 1+one(40)
		case x < 0.66 && t.at >= disks:
			t.kind, t.who, disks = []string{"disk lost", "disk old"}[one(2)], []int{seat}, f.Length
		case x < 0.74:
			t.kind, t.who, t.with, t.n = "cut", []int{one(n)}, []int{seat}, 1+one(3)
		case x < 0.84:
			t.kind, t.n = "halves", 1+one(3)
			for i := range n {
				if f.rnd.Next() < 0.5 {
					t.who = append(t.who, i)
				} else {
					t.with = append(t.with, i)
				}
			}
		case x < 0.90:
			t.kind, t.who, t.n = "reset", []int{one(n)}, 1+one(20)
		case x < 0.95:
			t.kind, t.who, t.n = "slow", []int{one(n)}, 1+one(120)
		default:
			t.kind, t.who, t.n = "foul", []int{one(n)}, 5+one(100)
		}
		if f.Kind != "" {
			t = trouble{kind: f.Kind, at: t.at, ends: t.at + time.Duration(2*Terms().TTL*float64(time.Second)), who: []int{actor}, n: 3}
		}
		all = append(all, t)
	}
	return all
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// befall carries one fault out.
func (f *playing) befall(ctx context.Context, t trouble) {
	var aside string
	if t.kind == "disk old" { // a copy from before
		o := f.all[t.who[0]]
		o.kill()
		aside = o.dir + ".old"
		copyDir(o.dir, aside)
		o.start()
	}
	sleep(ctx, t.at)
	lasts := t.ends - t.at
	each := func(do func(l *Link, with bool)) {
		for pair, l := range f.links {
			if slices.Contains(t.who, pair[0]) && (t.with == nil || slices.Contains(t.with, pair[1])) {
				do(l, true)
			} else if slices.Contains(t.who, pair[1]) && (t.with == nil || slices.Contains(t.with, pair[0])) {
				do(l, false)
			}
		}
	}
	switch t.kind {
	case "stand still":
		for _, i := range t.who {
			f.all[i].signal(syscall.SIGSTOP)
		}
		sleep(ctx, lasts)
		for _, i := range t.who {
			f.all[i].signal(syscall.SIGCONT)
		}
	case "kill":
		for _, i := range t.who {
			f.all[i].kill()
		}
		sleep(ctx, lasts)
		for _, i := range t.who {
			f.all[i].start()
		}
	case "disk fails":
		o := f.all[t.who[0]]
		o.kill()
		o.order(t.n)
		o.start()
		sleep(ctx, lasts)
		o.kill()
		o.order(0)
		o.start()
	case "disk lost", "disk old":
		o := f.all[t.who[0]]
		o.kill()
		os.RemoveAll(o.dir)
		if aside != "" {
			copyDir(aside, o.dir)
		} else {
			os.Mkdir(o.dir, 0o700)
		}
		sleep(ctx, lasts/4)
		o.start()
	case "cut", "halves": // there, back, or both; the connections stay open
		there, back := t.n&1 != 0, t.n&2 != 0
		each(func(l *Link, with bool) {
			if with {
				l.Hold(there, back)
			} else {
				l.Hold(back, there)
			}
		})
		sleep(ctx, lasts)
		each(func(l *Link, _ bool) { l.Hold(false, false) })
	case "reset":
		for range t.n {
			each(func(l *Link, _ bool) { l.Reset() })
			sleep(ctx, lasts/time.Duration(t.n))
		}
	case "slow":
		each(func(l *Link, _ bool) { l.Slow(time.Duration(t.n) * time.Millisecond) })
		sleep(ctx, lasts)
		each(func(l *Link, _ bool) { l.Slow(0) })
	case "foul":
		each(func(l *Link, _ bool) { l.Foul(t.n) })
		sleep(ctx, lasts)
		each(func(l *Link, _ bool) { l.Foul(0) })
	}
}

func copyDir(from, to string) {
	os.MkdirAll(to, 0o700)
	files, _ := os.ReadDir(from)
	for _, one := range files {
		if raw, err := os.ReadFile(filepath.Join(from, one.Name())); err == nil {
			os.WriteFile(filepath.Join(to, one.Name()), raw, 0o600)
		}
	}
}

func (f *playing) logs() string {
	var b strings.Builder
	for _, o := range f.all {
		raw, _ := os.ReadFile(o.log.Name())
		fmt.Fprintf(&b, "== %s\n%s", o.name, raw[max(0, len(raw)-2000):])
	}
	return b.String()
}

// keep puts down what the judge saw of a run that failed.
func (f *playing) keep(res *Result) {
	out, err := os.Create(filepath.Join(f.Kept, fmt.Sprintf("fleet-%d.log", f.Seed)))
	if err != nil {
		return
	}
	defer out.Close()
	fmt.Fprintf(out, "seed %d, %d seats, %d actors\n%s\n", f.Seed, f.Seats, f.Actors, strings.Join(res.Faults, "\n"))
	to := json.NewEncoder(out)
	to.Encode(res)
	f.judge.mu.Lock()
	for _, a := range f.judge.acts {
		to.Encode(a)
	}
	f.judge.mu.Unlock()
	io.WriteString(out, f.logs())
}
