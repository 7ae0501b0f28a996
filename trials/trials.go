// Package trials is one broker's side of trying nodes that are out on behalf of all brokers of a hall. Whoever holds the
// hall's lease tries; what it found reaches the others as news, and stands in for a try of their own.
//
// What the decision module makes of it is unchanged: it asks for a node to be tried, and is told how that went. News weigh
// less than what a broker knows itself, by what this package does:
//   - that a node is back only lets one part of its own go there, as a try of its own does; that part decides. One that was
//     misled by news tries for itself for a while;
//   - that a node is still out is believed for so long, then the broker tries for itself. What it finds is news as well;
//   - where accounts of a node differ, everybody tries for himself: such a node is bad for some only;
//   - where no news come in time, as without the fleet, a broker tries for itself.
//
// So a wrong or missing account costs service for some seconds and never safety: nothing is sent to a node that the
// broker's own list does not name, and each broker's guards on nodes that come back hold as before.
//
// Nothing here does I/O, reads a clock or has a goroutine. Times are seconds of this process.
package trials

import (
	"maps"
	"math"
	"slices"

	"brackenfront/chance"
)

// Verdict is what is to be done about a node that the module wants tried.
type Verdict uint8

const (
	Own  Verdict = iota // try it
	Back                // by the news it works
	Out                 // by the news it does not
	Wait                // the one who tries for all was asked; Due says when not to wait longer
)

// Kind is what a piece of news says of a node.
type Kind uint8

const (
	Wanted Kind = iota + 1 // somebody would have it tried
	Trying                 // the one who tries for all is at it
	Works
	Fails
)

// Fact is one piece of news. Many is how many brokers have lately wanted nodes tried, as the one who tries for all has heard.
type Fact struct {
	Node string `cbor:"1,keyasint"` // its address
	By   string `cbor:"2,keyasint"` // the broker whose account it is
	Kind Kind   `cbor:"3,keyasint"`
	Many int    `cbor:"4,keyasint,omitempty"`
}

// Check is whether a fact from outside can be used.
func (f Fact) Check() bool {
	return len(f.Node) > 0 && len(f.Node) <= 256 && len(f.By) > 0 && len(f.By) <= 128 && f.Kind >= Wanted && f.Kind <= Fails && f.Many >= 0
}

const (
	gap      = 0.5 // seconds between two tries for all of one node
	fresh    = 1.0 // for which an account stands in for a try
	patience = 0.4 // until a broker that wants a node tried, and hears nothing, tries for itself;
	longer   = 2.0 // or this once somebody is at it
	differ   = 10.0
	misled   = 8.0  // within which another wish for the same node says that its trial failed, whatever the news were
	doubt    = 30.0 // in which a misled broker tries for itself
	few      = 8.0  // seconds that "out" is believed for, by few brokers;
	each     = 0.5  // more by so many for each that wants tries, so that all their own tries together stay some a second
	most     = 60.0
	lately   = 30.0 // in which brokers that want tries are counted
	forget   = 300.0
	nodes    = 4096 // that are remembered; news of more are not used
)

type account struct {
	by string
	at float64
}

type node struct {
	touched  float64
	asked    bool // the module waits
	since    float64
	until    float64
	own      float64 // when this broker last tried it, or first heard that it is out
	trying   bool    // this broker is at it
	tried    float64 // by this one for all
	works    account
	fails    account
	told     float64 // when "back" was last said
	doubtful float64 // until then news of it are not used
	believe  float64
}

// Book is what one broker knows of tries.
type Book struct {
	name  string
	leads bool
	rnd   *chance.Source
	all   map[string]*node
	wants map[string]float64 // brokers that have wanted a try, and when last
	many  int                // of them, as the one who tries for all says
	say   []Fact
	Counts
}

// Counts are how the module's wishes were met, since the start.
type Counts struct {
	Asked, Own, Back, Out int
	For                   int // tries of ours for all
	Misled                int
}

// New makes one for a broker by its name in the fleet.
func New(name string, rnd *chance.Source) *Book {
	return &Book{name: name, rnd: rnd, all: map[string]*node{}, wants: map[string]float64{}}
}

// Lead says whether this broker tries for all of its hall.
func (b *Book) Lead(leads bool) {
	b.leads = leads
	clear(b.wants)
}

// Say gives what is to be told to others. The slice is reused.
func (b *Book) Say() []Fact {
	f := b.say
	b.say = b.say[:0]
	return f
}

func (b *Book) at(now float64, name string) *node {
	n := b.all[name]
	if n == nil {
		if len(b.all) >= nodes {
			b.sweep(now)
		}
		if len(b.all) >= nodes {
			return nil
		}
		never := math.Inf(-1)
		n = &node{own: now, tried: never, works: account{at: never}, fails: account{at: never}, told: never, doubtful: never}
		b.all[name] = n
	}
	n.touched = now
	return n
}

func (b *Book) sweep(now float64) {
	maps.DeleteFunc(b.all, func(_ string, n *node) bool { return !n.asked && !n.trying && now-n.touched > forget })
}

// Ask is the module's wish to have a node tried.
func (b *Book) Ask(now float64, name string) Verdict {
	b.Asked++
	n := b.at(now, name)
	if n == nil {
		b.Counts.Own++
		return Own
	}
	if now-n.told < misled {
		n.doubtful, n.told = now+doubt, math.Inf(-1)
		b.Misled++
	}
	if v := b.look(now, n); v != Wait {
		return b.met(now, n, v)
	}
	n.asked, n.since, n.until = true, now, now+patience
	b.say = append(b.say, Fact{Node: name, By: b.name, Kind: Wanted})
	return Wait
}

// look is what the news say of a node; Wait for nothing that is fresh.
func (b *Book) look(now float64, n *node) Verdict {
	switch {
	case b.leads || now < n.doubtful:
		return Own
	case n.works.by != n.fails.by && now-n.works.at < differ && now-n.fails.at < differ:
		return Own
	case now-n.works.at < fresh && n.works.at >= n.fails.at:
		return Back
	case now-n.fails.at < fresh && now-n.own < n.believe:
		return Out
	case now-n.fails.at < fresh:
		return Own
	}
	return Wait
}

func (b *Book) met(now float64, n *node, v Verdict) Verdict {
	n.asked = false
	switch v {
	case Own:
		b.Counts.Own++
		n.own, n.trying = now, true
		if b.leads {
			n.tried = now
		}
		n.believe = min(few+each*float64(b.many), most) * (0.75 + 0.5*b.rnd.Next())
	case Back:
		b.Counts.Back++
		n.told = now
	case Out:
		b.Counts.Out++
	}
	return v
}

// Found takes what a try of this broker's own has found.
func (b *Book) Found(now float64, name string, works bool) {
	n := b.at(now, name)
	if n == nil {
		return
	}
	n.trying, n.asked = false, false
	f := Fact{Node: name, By: b.name, Kind: Fails}
	if works {
		f.Kind = Works
	}
	if b.leads {
		f.Many = len(b.wants)
	}
	b.say = append(b.say, f)
}

// Untried says that a try was not made: the node is none of this broker's list any more.
func (b *Book) Untried(now float64, name string) {
	if n := b.at(now, name); n != nil {
		n.trying, n.asked = false, false
	}
}

// Hear takes a piece of news. Own is a try to be made now, for all; Back and Out are what the module, which waits, is to be
// told; Wait is nothing.
func (b *Book) Hear(now float64, f Fact) Verdict {
	if !f.Check() || f.By == b.name {
		return Wait
	}
	n := b.at(now, f.Node)
	if n == nil {
		return Wait
	}
	switch f.Kind {
	case Wanted:
		if !b.leads {
			return Wait
		}
		if len(b.wants) < nodes || b.wants[f.By] > 0 {
			b.wants[f.By] = now
		}
		maps.DeleteFunc(b.wants, func(_ string, at float64) bool { return now-at > lately })
		if n.trying || now-n.tried < gap {
			return Wait
		}
		n.trying, n.tried = true, now
		b.For++
		b.say = append(b.say, Fact{Node: f.Node, By: b.name, Kind: Trying})
		return Own
	case Trying:
		if n.asked {
			n.until = min(max(n.until, now+longer), n.since+2*longer) // whoever says it again and again
		}
		return Wait
	case Works:
		n.works = account{f.By, now}
	case Fails:
		n.fails = account{f.By, now}
	}
	if f.Many > 0 {
		b.many = min(f.Many, nodes)
	}
	if n.believe == 0 {
		n.believe = min(few+each*float64(b.many), most) * (0.75 + 0.5*b.rnd.Next())
	}
	if !n.asked {
		return Wait
	}
	v := b.look(now, n)
	if v == Wait {
		return Wait
	}
	return b.met(now, n, v)
}

// Due gives a node for which it has been waited long enough, to be tried now, and when to look again; infinite for no time.
func (b *Book) Due(now float64) (name string, ok bool, again float64) {
	again = math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(b.all)) {
		if n := b.all[name]; n.asked && now >= n.until {
			b.met(now, n, Own)
			return name, true, now
		} else if n.asked {
			again = min(again, n.until)
		}
	}
	return "", false, again
}
