package lease

import (
	"maps"
	"slices"

	"brackenfront/budget"
)

// Lease describes a lease to operators: who holds it and who waits for it.
type Lease struct {
	// Name is the name of the lease.
	Name string `cbor:"1,keyasint" json:"name"`

	// Places is how many sessions may hold the lease at the same time; 0 if nobody holds or waits for it.
	Places int `cbor:"2,keyasint" json:"places"`

	// Holders describes the sessions that hold the lease, in the order in which they were granted it.
	Holders []Holder `cbor:"3,keyasint" json:"held"`

	// Waiters are the owners of the sessions that wait for the lease, the one that has waited longest first.
	Waiters []string `cbor:"4,keyasint" json:"line,omitempty"`
}

// Holder describes to operators the session that holds one place of a lease.
type Holder struct {
	// Owner is the name of the broker that holds the place; "" for an operator's session.
	Owner string `cbor:"1,keyasint" json:"owner"`

	// Token is the token of the grant under which the place is held.
	Token uint64 `cbor:"2,keyasint" json:"token"`

	// Place is the number of the place that is held, from 0.
	Place int `cbor:"3,keyasint" json:"place"`

	// ExpiresIn is how many seconds of the council's time, from the moment of this description, the session lasts unless it is
	// renewed.
	ExpiresIn float64 `cbor:"4,keyasint" json:"left"`
}

// Leases describes the leases that are held or waited for, sorted by name: those whose names are not before from in that order,
// and at most limit of them.
func (s *State) Leases(from string, limit int) (leases []Lease) {
	for _, name := range s.leaseNames() {
		if name < from || len(leases) >= limit {
			continue
		}
		leases = append(leases, s.Lease(name))
	}
	return leases
}

// Lease describes one lease; its Places are 0 if nobody holds or waits for it.
func (s *State) Lease(name string) Lease {
	description := Lease{Name: name}
	lease := s.leases[name]
	if lease == nil {
		return description
	}
	description.Places = lease.Places
	for _, grant := range lease.Holders {
		session := s.sessionByID[grant.Session]
		description.Holders = append(description.Holders, Holder{session.Owner, grant.Token, grant.Place, session.ExpiresAt - s.now})
	}
	for _, waiting := range lease.Waiters {
		description.Waiters = append(description.Waiters, s.sessionByID[waiting.Session].Owner)
	}
	return description
}

// Holders returns the IDs of the sessions that hold the lease with this name.
func (s *State) Holders(name string) (sessions []ID) {
	if lease := s.leases[name]; lease != nil {
		for _, grant := range lease.Holders {
			sessions = append(sessions, grant.Session)
		}
	}
	return sessions
}

// Note returns the note of the lease with this name. If there is none, only the field Name of the result is set. The Data
// must not be changed.
func (s *State) Note(name string) Note {
	if note := s.notes[name]; note != nil {
		return *note
	}
	return Note{Name: name}
}

// Broker describes to operators and clients a broker's process that has a session open with the council.
type Broker struct {
	// Owner is the name in the fleet of the broker that has the session.
	Owner string `cbor:"1,keyasint" json:"broker"`

	// Addr is the address at which the broker listens for other brokers; "" for none.
	Addr string `cbor:"2,keyasint,omitempty" json:"addr,omitempty"`

	// ExpiresIn is how many seconds of the council's time, from the moment of this description, the session lasts unless it is
	// renewed.
	ExpiresIn float64 `cbor:"3,keyasint" json:"left"`
}

// Brokers lists the sessions that have an owner, in the order in which they were opened. An operator's session has none.
func (s *State) Brokers() []Broker {
	brokers := make([]Broker, 0, len(s.sessions))
	for _, session := range s.sessions {
		if session.Owner != "" {
			brokers = append(brokers, Broker{session.Owner, session.Addr, session.ExpiresAt - s.now})
		}
	}
	return brokers
}

// Pool describes to operators and to tests what the council keeps of one budget: its spec and how it is divided now. Amounts
// are thousandths of a unit, or for a rate of a unit per second.
type Pool struct {
	// Name is the name of the budget.
	Name string `cbor:"1,keyasint" json:"name"`

	// Spec is the budget's definition, as it was last set.
	Spec budget.Spec `cbor:"2,keyasint" json:"terms"`

	// Allocated is the amount, in thousandths, that brokers together may still use now beyond their floors.
	Allocated budget.Amount `cbor:"3,keyasint" json:"given"`

	// Reclaiming is the part of Allocated, in thousandths, by which shares were cut without an acknowledgement so far, or that
	// an ended session may still hold.
	Reclaiming budget.Amount `cbor:"4,keyasint" json:"lapses"`

	// Unallocated is the amount beyond the floors, in thousandths, that no broker may use now.
	Unallocated budget.Amount `cbor:"5,keyasint" json:"idle"`

	// Shares describes the share and the use of each session that uses the budget.
	Shares []PoolShare `cbor:"6,keyasint,omitempty" json:"brokers,omitempty"`
}

// PoolShare describes one broker's share of a budget. Amounts are thousandths.
type PoolShare struct {
	// Owner is the name of the broker that has the share.
	Owner string `cbor:"1,keyasint" json:"broker"`

	// Share is the amount, in thousandths, that the council last gave the broker beyond its floor.
	Share budget.Amount `cbor:"2,keyasint" json:"share"`

	// MaxUsable is the most, in thousandths, that the broker may still use beyond its floor: more than Share until it
	// acknowledges a cut.
	MaxUsable budget.Amount `cbor:"3,keyasint" json:"most"`

	// Used is the amount, in thousandths, that the broker used in the period of its last report (Usage.Used).
	Used budget.Amount `cbor:"4,keyasint" json:"used"`

	// Refused is the amount, in thousandths, that the broker had to refuse in the period of its last report.
	Refused budget.Amount `cbor:"5,keyasint" json:"refused"`

	// ExpiresIn is how many seconds of the council's time, from the moment of this description, the broker's session lasts
	// unless it is renewed.
	ExpiresIn float64 `cbor:"6,keyasint" json:"left"`
}

// Pools describes all budgets that the council keeps, sorted by name.
func (s *State) Pools() (pools []Pool) {
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		pool := s.pools[name]
		description := Pool{Name: name, Spec: pool.Spec, Allocated: pool.allocated()}
		for _, expired := range pool.Expired {
			description.Reclaiming += expired.Amount
		}
		for _, share := range pool.Shares {
			session := s.sessionByID[share.Session]
			description.Reclaiming += share.MaxUsable - share.Share
			description.Shares = append(description.Shares, PoolShare{session.Owner, share.Share, share.MaxUsable, share.Used, share.Refused, session.ExpiresAt - s.now})
		}
		description.Unallocated = max(pool.divisible()-description.Allocated, 0)
		pools = append(pools, description)
	}
	return pools
}
