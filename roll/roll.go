// Package roll takes the brokers of a fleet through a restart or a switch of settings, so many at a time: which goes
// next, when it has gone, when all of it has to stop. The plan is a value that outlives whoever leads: each change is
// written down, under the lease of the one who leads, before anything is done because of it, and the next leader goes on
// from there.
//
// What holds: by the plan's doing no more than AtOnce brokers are out at a time, of the council's no more than one; a
// broker that is out for reasons of its own counts. A broker acts only while the agreed plan says that it is its turn, and
// once for each plan: so a leader that stood still and goes on as if nothing had been moves nobody. A doubled switch does
// no harm (the same files read again); a restart names the process that is to end, so that it cannot be doubled. A missing
// act shows after Wait, and stops the roll.
//
// Nothing here does I/O, reads a clock or has a goroutine. Times are seconds of the leader's own clock; none is kept.
package roll

import (
	"fmt"
	"slices"
	"strings"
)

// Act is what each broker does in its turn.
type Act uint8

const (
	Restart Act = iota + 1 // ends in good order; whatever started it starts it again
	Switch                 // reads its settings again
)

var acts = [...]string{"", "restart", "switch"}

func (a Act) String() string { return acts[a] }

// Do is an operator's word.
type Do uint8

const (
	Begin Do = iota + 1
	On       // go on, where it has stopped
	Back     // take those that have gone through the act again, the last first: files and programs of before are in place
	Stop     // nobody more begins
	Skip     // leave a broker out
	End      // leave it as it stands
)

var dos = [...]string{"", "begin", "on", "back", "stop", "skip", "end"}

func (d Do) String() string { return dos[d] }

// Word is what an operator said last. Numbers rise.
type Word struct {
	Number uint64   `cbor:"1,keyasint"`
	Do     Do       `cbor:"2,keyasint"`
	Act    Act      `cbor:"3,keyasint,omitempty"`
	AtOnce int      `cbor:"4,keyasint,omitempty"`
	Least  float64  `cbor:"5,keyasint,omitempty"` // share of searches ended that are answered, under which it stops; 0 for none
	Wait   float64  `cbor:"6,keyasint,omitempty"` // seconds within which a broker has gone and is back
	Only   []string `cbor:"7,keyasint,omitempty"` // brokers; none for all. The one to be skipped
}

// Stage is how the whole stands.
type Stage uint8

const (
	None Stage = iota
	Running
	Stopped
	Done
	Ended
)

var stages = [...]string{"none", "running", "stopped", "done", "ended"}

func (s Stage) String() string { return stages[s] }

// Step is how one broker stands.
type Step uint8

const (
	Waiting Step = iota
	Going
	Gone
	Failed
	Skipped
)

var steps = [...]string{"waiting", "going", "gone", "failed", "skipped"}

func (s Step) String() string { return steps[s] }

// Turn is one broker's.
type Turn struct {
	Broker  string   `cbor:"1,keyasint"`
	Addr    string   `cbor:"2,keyasint,omitempty"`
	Seat    bool     `cbor:"3,keyasint,omitempty"` // of the council
	Step    Step     `cbor:"4,keyasint,omitempty"`
	Process [16]byte `cbor:"5,keyasint"` // the one that is to go
	Why     string   `cbor:"6,keyasint,omitempty"`
	Again   bool     `cbor:"7,keyasint,omitempty"` // once it has gone, it has to go once more
}

// Plan is all that is agreed.
type Plan struct {
	Word   uint64  `cbor:"1,keyasint"`           // the last that was heard
	Answer string  `cbor:"2,keyasint,omitempty"` // why that one was not followed
	ID     uint64  `cbor:"3,keyasint"`           // number of the word that this plan is of
	Act    Act     `cbor:"4,keyasint,omitempty"`
	Back   bool    `cbor:"5,keyasint,omitempty"`
	AtOnce int     `cbor:"6,keyasint,omitempty"`
	Least  float64 `cbor:"7,keyasint,omitempty"`
	Wait   float64 `cbor:"8,keyasint,omitempty"`
	Stage  Stage   `cbor:"9,keyasint,omitempty"`
	Why    string  `cbor:"10,keyasint,omitempty"` // it stopped
	Turns  []Turn  `cbor:"11,keyasint,omitempty"`
}

// Open is whether a roll is under way: running, or stopped and waiting for a word.
func (p *Plan) Open() bool { return p.Stage == Running || p.Stage == Stopped }

// Due is whether it is the turn of a process by the plan of that number.
func (p *Plan) Due(id uint64, broker string, process [16]byte) bool {
	return p.Open() && p.ID == id && slices.ContainsFunc(p.Turns, func(t Turn) bool {
		return t.Broker == broker && t.Step == Going && t.Process == process
	})
}

// Known is a broker that the council knows.
type Known struct {
	Broker, Addr string // where it listens for the fleet; "" for nowhere
	Seat         bool
}

// Sight is what a leader has seen of a broker just now.
type Sight struct {
	Heard    bool
	Process  [16]byte
	Ready    bool   // it takes searches
	Did      uint64 // plan of its last act,
	Failed   string // and what became of that; "" for all well
	Answered int64  // searches since its start
	Ended    int64  // with these, the shed and the errored ones
}

// Leader carries a plan on. The caller writes the plan down whenever it has changed, and only then has orders carried out.
type Leader struct {
	own    string
	plan   Plan
	since  map[string]float64 // when a turn, or a silence, was first seen by this leader
	last   map[string]Sight
	ended  int64 // over the brokers that were heard twice in one life, since service was last judged
	served int64
}

const (
	enough  = 50   // searches that end before service is judged
	mostAll = 4096 // brokers in a plan
)

// Lead takes over what another left. own is the broker that leads: its turn comes last.
func Lead(own string, p Plan) *Leader {
	return &Leader{own: own, plan: p, since: map[string]float64{}, last: map[string]Sight{}}
}

// Plan is how it stands. Its turns are not to be changed.
func (l *Leader) Plan() *Plan { return &l.plan }

// Hear takes an operator's word; known are the brokers for a roll that begins. False where there is nothing new in it.
func (l *Leader) Hear(w Word, known []Known) bool {
	p := &l.plan
	if w.Number <= p.Word {
		return false
	}
	p.Word, p.Answer = w.Number, ""
	refuse := func(format string, args ...any) { p.Answer = fmt.Sprintf(format, args...) }
	if w.Do != Begin && !p.Open() {
		refuse("no roll is under way")
		return true
	}
	switch w.Do {
	case Begin:
		l.begin(w, known, refuse)
	case On: // what failed is tried again, and has its time again
		for i := range p.Turns {
			if t := &p.Turns[i]; t.Step == Failed {
				t.Step, t.Why = Going, ""
			}
		}
		p.ID, p.Stage, p.Why = w.Number, Running, ""
		l.anew()
	case Back:
		var turns []Turn
		for _, t := range slices.Backward(p.Turns) {
			switch t.Step {
			case Gone:
				t.Step = Waiting
			case Going, Failed: // it may act yet: it stays out until it is back
				t.Step, t.Why, t.Again = Going, "", true
			default:
				continue
			}
			turns = append(turns, t)
		}
		p.ID, p.Back, p.Stage, p.Why, p.Turns = w.Number, !p.Back, Running, "", turns
		l.anew()
	case Stop:
		p.Stage, p.Why = Stopped, "by an operator"
	case Skip:
		i := -1
		if len(w.Only) == 1 {
			i = slices.IndexFunc(p.Turns, func(t Turn) bool { return t.Broker == w.Only[0] })
		}
		switch {
		case i < 0:
			refuse("not in this roll: %s", strings.Join(w.Only, ", "))
		case p.Turns[i].Step == Gone:
			refuse("%s has gone", w.Only[0])
		default:
			p.Turns[i].Step, p.Turns[i].Why = Skipped, "by an operator"
		}
	case End:
		p.Stage, p.Why = Ended, "by an operator"
	default:
		refuse("not a word: %d", w.Do)
	}
	return true
}

func (l *Leader) begin(w Word, known []Known, refuse func(string, ...any)) {
	p := &l.plan
	switch {
	case p.Open():
		refuse("a roll is under way: %s, %s", p.Act, p.Stage)
		return
	case w.Act != Restart && w.Act != Switch || w.AtOnce < 1 || !(w.Least >= 0 && w.Least <= 1) || !(w.Wait > 0):
		refuse("not to be begun: %s, %d at once, least %v, wait %v s", w.Act, w.AtOnce, w.Least, w.Wait)
		return
	case len(known) > mostAll:
		refuse("%d brokers, %d at the most", len(known), mostAll)
		return
	}
	var turns []Turn
	for _, k := range known {
		if len(w.Only) > 0 && !slices.Contains(w.Only, k.Broker) || slices.ContainsFunc(turns, func(t Turn) bool { return t.Broker == k.Broker }) {
			continue
		}
		t := Turn{Broker: k.Broker, Addr: k.Addr, Seat: k.Seat}
		if k.Addr == "" {
			t.Step, t.Why = Skipped, "it does not listen for the fleet"
		}
		turns = append(turns, t)
	}
	for _, name := range w.Only {
		if !slices.ContainsFunc(turns, func(t Turn) bool { return t.Broker == name }) {
			refuse("the council knows no %s", name)
			return
		}
	}
	slices.SortStableFunc(turns, func(a, b Turn) int { // the council's last
		if a.Seat != b.Seat {
			if a.Seat {
				return 1
			}
			return -1
		}
		return strings.Compare(a.Broker, b.Broker)
	})
	*p = Plan{Word: p.Word, ID: w.Number, Act: w.Act, AtOnce: w.AtOnce, Least: w.Least, Wait: w.Wait, Stage: Running, Turns: turns}
	l.anew()
}

// anew forgets what was seen of another roll, or before the roll stopped.
func (l *Leader) anew() {
	clear(l.since)
	clear(l.last)
	l.ended, l.served = 0, 0
}

// Step takes what was seen of the plan's brokers, now, and says whether the plan has changed.
func (l *Leader) Step(now float64, seen map[string]Sight) (changed bool) {
	p := &l.plan
	if !p.Open() {
		return false
	}
	stop := func(format string, args ...any) {
		if p.Stage == Running {
			p.Stage, p.Why, changed = Stopped, fmt.Sprintf(format, args...), true
		}
	}
	l.judge(seen)
	out, seats := 0, 0
	for i := range p.Turns {
		t := &p.Turns[i]
		if t.Step == Skipped {
			continue
		}
		s := seen[t.Broker]
		up := s.Heard && s.Ready
		if t.Step == Going || t.Step == Failed {
			switch {
			case up && (s.Process != t.Process || p.Act == Switch && s.Did == p.ID && s.Failed == ""):
				t.Step, t.Why, changed = Gone, "", true
				if t.Again {
					t.Step, t.Again = Waiting, false
				}
				delete(l.since, t.Broker)
			case t.Step == Going && s.Heard && s.Process == t.Process && s.Did == p.ID && s.Failed != "":
				t.Step, t.Why, changed = Failed, s.Failed, true
			case t.Step == Going && l.longer(now, t.Broker):
				t.Step, t.Why, changed = Failed, fmt.Sprintf("not gone and back within %v s", p.Wait), true
			}
		}
		if t.Step == Failed {
			stop("%s: %s", t.Broker, t.Why)
		}
		if t.Step == Going || t.Step == Failed || !up {
			if out++; t.Seat {
				seats++
			}
		}
		if up && t.Step != Going {
			delete(l.since, t.Broker)
		} else if !up && t.Step != Going && l.longer(now, t.Broker) {
			stop("%s: it has not answered, or taken no searches, for %v s", t.Broker, p.Wait)
		}
	}
	if share, ok := l.service(); ok && share < p.Least {
		stop("%.3f of the searches were answered, less than %v", share, p.Least)
	}
	if p.Stage == Running {
		changed = l.next(now, seen, out, seats) || changed
	}
	if p.Open() && !slices.ContainsFunc(p.Turns, func(t Turn) bool { return t.Step != Gone && t.Step != Skipped }) {
		p.Stage, p.Why, changed = Done, "", true
	}
	return changed
}

// next gives turns as long as there is room: of the council's brokers to one at a time, to the leader's own at the very end.
func (l *Leader) next(now float64, seen map[string]Sight, out, seats int) (changed bool) {
	p := &l.plan
	waiting := 0
	for _, t := range p.Turns {
		if t.Step != Gone && t.Step != Skipped {
			waiting++
		}
	}
	for i := range p.Turns {
		t := &p.Turns[i]
		s := seen[t.Broker]
		if out >= p.AtOnce {
			break
		}
		if t.Step != Waiting || !s.Heard || !s.Ready || t.Seat && seats > 0 || t.Broker == l.own && waiting > 1 {
			continue
		}
		t.Step, t.Process, changed = Going, s.Process, true
		l.since[t.Broker] = now
		if out++; t.Seat {
			seats++
		}
	}
	return changed
}

// longer is whether something has gone on for longer than the plan waits, by what this leader has seen itself.
func (l *Leader) longer(now float64, broker string) bool {
	from, ok := l.since[broker]
	if !ok {
		l.since[broker] = now
		return false
	}
	return now-from > l.plan.Wait
}

// judge adds up what has ended since the last look, of processes that were seen then as well.
func (l *Leader) judge(seen map[string]Sight) {
	for _, t := range l.plan.Turns {
		s := seen[t.Broker]
		if !s.Heard {
			continue
		}
		if was, ok := l.last[t.Broker]; ok && was.Process == s.Process {
			l.ended += max(s.Ended-was.Ended, 0)
			l.served += max(s.Answered-was.Answered, 0)
		}
		l.last[t.Broker] = s
	}
}

// service is the share that was answered, once enough has ended to tell.
func (l *Leader) service() (share float64, ok bool) {
	if l.ended < enough {
		return 0, false
	}
	share = float64(l.served) / float64(l.ended)
	l.ended, l.served = 0, 0
	return share, true
}

// Order is what a broker is told: it is its turn.
type Order struct {
	Plan    uint64   `cbor:"1,keyasint"`
	Act     Act      `cbor:"2,keyasint"`
	Process [16]byte `cbor:"3,keyasint"`
}

// Orders are those that have not been carried out yet, by broker; the plan that they are of has to be written down.
func (l *Leader) Orders(seen map[string]Sight) map[string]Order {
	all := map[string]Order{}
	for _, t := range l.plan.Turns {
		if s := seen[t.Broker]; l.plan.Open() && t.Step == Going && s.Heard && s.Process == t.Process && s.Did != l.plan.ID {
			all[t.Broker] = Order{l.plan.ID, l.plan.Act, t.Process}
		}
	}
	return all
}
