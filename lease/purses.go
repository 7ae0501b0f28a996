package lease

import (
	"slices"

	"brackenfront/budget"
)

// Purses is a process's side of the fleet's budgets: what it may use of each now, by what its session was told, and what the
// council is told of it. A caller has Turn look after every answer and when it is Due; Spend and Hold wait for nothing.
type Purses struct {
	s      *Session
	drift  float64
	all    map[string]*purse
	names  []string // sorted
	saidAt float64
}

type purse struct {
	*budget.Purse
	floor budget.Amount // that this broker was started with
	told  Share
	acked uint64
	cutAt float64 // when less was told than before
}

// NewPurses makes them for a session; drift is what its council's terms say.
func NewPurses(s *Session, drift float64) *Purses {
	return &Purses{s: s, drift: drift, all: map[string]*purse{}}
}

// Open has a budget used, with the floor that own states: until the council has said more, and without it, that is all.
func (p *Purses) Open(now float64, name string, own budget.Terms) {
	if o := p.all[name]; o != nil {
		o.floor = own.Floor
		if o.told.Number == 0 {
			o.Restate(now, own)
		}
		return
	}
	p.all[name] = &purse{Purse: budget.NewPurse(own, p.drift, now), floor: own.Floor}
	p.names = append(p.names, name)
	slices.Sort(p.names)
	p.s.Use(name, 0, 0, 0, true)
}

// Turn takes what the session has been told, gives up what was cut, says so, and tells the council what was used.
func (p *Purses) Turn(now float64) {
	for _, t := range p.s.Shares() {
		if t.Name == "" { // the session is over
			for _, name := range p.names {
				o := p.all[name]
				o.told, o.acked = Share{}, 0
				o.Set(now, 0, now)
				p.s.Use(name, 0, 0, 0, true)
			}
			continue
		}
		if o := p.all[t.Name]; o != nil {
			if t.Amount < o.told.Amount {
				o.cutAt = now
			}
			o.told = t
			t.Terms.Floor = min(t.Terms.Floor, o.floor) // a floor that the council does not carve out is nobody's
			o.Restate(now, t.Terms)
		}
	}
	until := p.s.Until()
	for _, name := range p.names {
		o := p.all[name]
		if o.Set(now, o.told.Amount, until); o.told.Number > o.acked && o.Over(now) == 0 && now >= o.cutAt+o.told.Terms.Linger*(1+p.drift) {
			o.acked = o.told.Number
			p.s.Ack(name, o.acked)
		}
	}
	if every := p.every(); now >= p.saidAt+every {
		p.saidAt = now
		for _, name := range p.names {
			had, used, refused := p.all[name].Demand(now)
			p.s.Use(name, had, used, refused, false)
		}
	}
}

// every is how often the council is told of use: as often as it is called anyway.
func (p *Purses) every() float64 {
	if p.s.terms.TTL == 0 {
		return hope
	}
	return p.s.terms.Right() / thirds
}

// Spend takes one unit of a rate; Hold one of a stock, Release gives it back. A budget that was never opened has none.
func (p *Purses) Spend(now float64, name string) bool {
	o := p.all[name]
	return o != nil && o.Spend(now)
}

func (p *Purses) Hold(now float64, name string) bool {
	o := p.all[name]
	return o != nil && o.Hold(now)
}

func (p *Purses) Release(name string) {
	if o := p.all[name]; o != nil {
		o.Release()
	}
}

// Offer counts units that somebody else decides on by the share.
func (p *Purses) Offer(name string, n int64) {
	if o := p.all[name]; o != nil {
		o.Offer(n)
	}
}

// Held says how many units of a stock are held.
func (p *Purses) Held(name string, n int64) {
	if o := p.all[name]; o != nil {
		o.Held(n)
	}
}

// Over is how many units of a stock have to be given back.
func (p *Purses) Over(now float64, name string) int64 {
	if o := p.all[name]; o != nil {
		return o.Over(now)
	}
	return 0
}

// Share is what may be used of a budget now: the floor, and what the council gave beyond it.
func (p *Purses) Share(now float64, name string) (floor, share budget.Amount) {
	if o := p.all[name]; o != nil {
		return o.Share(now)
	}
	return 0, 0
}

// Names are the budgets that were opened.
func (p *Purses) Names() []string { return slices.Clone(p.names) }

// Close gives up all beyond the floors, before the session's end is said.
func (p *Purses) Close(now float64) {
	for _, name := range p.names {
		o := p.all[name]
		o.told = Share{}
		o.Set(now, 0, now)
	}
}
