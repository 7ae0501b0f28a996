package lease

import (
	"maps"
	"slices"

	"brackenfront/budget"
)

// BudgetsLease is the name of the lease whose holder defines and removes the fleet's budgets.
const BudgetsLease = "fleet-budgets"

const (
	// maxPools is the largest number of budgets that the council keeps; to define one more gets LimitReached.
	maxPools = 1024

	// maxUsagePerCall is the largest number of budgets whose use one call may report; a session that uses more reports the
	// others with its next calls. The council refuses a call with more as Invalid.
	maxUsagePerCall = 512

	// divisionsPerTTL is how many times, at most, reports of use have a budget divided anew within one Config.TTL. A session's
	// first report or its end, and a new spec, have it divided at once.
	divisionsPerTTL = 4.0

	// maxSharesPerAnswer is the largest number of budgets whose shares one answer carries, which bounds its size. The session
	// gets others once it has acknowledged some of these.
	maxSharesPerAnswer = 64
)

// poolRecord is a pool, what the council keeps of one budget: its spec, and how much of it each session may use.
type poolRecord struct {
	// Name is the name of the budget.
	Name string `cbor:"1,keyasint"`

	// Spec is the budget's definition, as it was last set.
	Spec budget.Spec `cbor:"2,keyasint"`

	// MaxFloor is the largest floor that the budget was ever defined with, in thousandths. It is set aside for every broker,
	// as some may still use it.
	MaxFloor budget.Amount `cbor:"3,keyasint"`

	// NextDivision is the council's time, in seconds, from which on the next report of a session's use makes the council
	// divide the budget anew among the sessions.
	NextDivision float64 `cbor:"4,keyasint"`

	// Shares has an entry for each open session that uses the budget, with the session's share and its last report of use, in
	// the order in which the sessions first reported.
	Shares []*shareRecord `cbor:"5,keyasint,omitempty"`

	// Expired are, for a stock, the amounts that ended sessions may still hold.
	Expired []expiredShare `cbor:"6,keyasint,omitempty"`
}

// shareRecord is one session's share of a budget, with the session's last report of use (Usage).
type shareRecord struct {
	// Session is the ID of the session that has the share.
	Session ID `cbor:"1,keyasint"`

	// Share is the amount, in thousandths, that the council last granted the session beyond its floor.
	Share budget.Amount `cbor:"2,keyasint"`

	// Number is the Share.Number of the latest Share for the session. Each change of its share, and each new spec of the
	// budget, has a new and higher number.
	Number uint64 `cbor:"3,keyasint"`

	// MaxUsable is the largest amount, in thousandths, that the session may still be using beyond its floor: Share, or a larger
	// earlier share whose cut it has not acknowledged.
	MaxUsable budget.Amount `cbor:"4,keyasint"`

	// Target is the share, in thousandths, that the last division of the budget gave the session. Share is raised to it once
	// enough is free.
	Target budget.Amount `cbor:"5,keyasint"`

	// Used is the amount, in thousandths, that the session used in the period of its last report: for a stock the largest
	// amount held.
	Used budget.Amount `cbor:"6,keyasint"`

	// Refused is the amount, in thousandths, that the session's process wanted to use in addition to Used in the period of
	// its last report, and could not because its floor and share were used up.
	Refused budget.Amount `cbor:"7,keyasint"`

	// Available is the amount, in thousandths, that the session was allowed to use when it made its last report: its floor
	// and its share.
	Available budget.Amount `cbor:"9,keyasint"`

	// AckedNumber is the highest Share.Number that the session has acknowledged.
	AckedNumber uint64 `cbor:"8,keyasint"`
}

// expiredShare is an amount of a stock that may still be held though the session that it was granted to has ended.
type expiredShare struct {
	// ExpiresAt is the council's time, in seconds, from which the amount can be granted to others.
	ExpiresAt float64 `cbor:"1,keyasint"`

	// Amount is the amount of the stock, in thousandths, that may still be held.
	Amount budget.Amount `cbor:"2,keyasint"`
}

// defineBudget carries out an operation DefineBudget, which sets the definition (budget.Spec) of a budget or removes the
// budget. The result is NotHeld if the session does not hold BudgetsLease, LimitReached if there are too many budgets, else
// Written. A removed budget has a total of 0 and is deleted once no session uses it.
func (s *State) defineBudget(session *sessionRecord, op Op) Result {
	lease := s.leases[BudgetsLease]
	if lease == nil || !slices.ContainsFunc(lease.Holders, func(g Grant) bool { return g.Session == session.ID }) {
		return Result{Status: NotHeld}
	}
	pool := s.pools[op.Name]
	if pool == nil && op.Budget != nil {
		if len(s.pools) >= maxPools {
			return Result{Status: LimitReached}
		}
		pool = &poolRecord{Name: op.Name}
		s.pools[op.Name] = pool
	}
	if pool == nil {
		return Result{Status: Written}
	}
	spec := budget.Spec{Kind: pool.Spec.Kind, MaxBrokers: pool.Spec.MaxBrokers}
	if op.Budget != nil {
		spec = *op.Budget
	}
	if pool.Spec != spec {
		pool.Spec = spec
		pool.MaxFloor = max(pool.MaxFloor, spec.Floor)
		// Every session is notified of the new spec.
		for _, share := range pool.Shares {
			s.lastNumber++
			share.Number = s.lastNumber
		}
		s.dividePool(pool)
	}
	return Result{Status: Written}
}

// applyUsage takes a session's report of its use of a budget, and its acknowledgement of a cut share. The first report of a
// session divides the budget at once, so that a new broker does not have to wait for its share. Reports on a budget that the
// council does not keep are ignored.
func (s *State) applyUsage(session *sessionRecord, usage Usage) {
	pool := s.pools[usage.Name]
	if pool == nil {
		return
	}
	i := slices.IndexFunc(pool.Shares, func(other *shareRecord) bool { return other.Session == session.ID })
	if i < 0 {
		if !slices.Contains(session.Pools, usage.Name) {
			session.Pools = append(session.Pools, usage.Name)
		}
		i = len(pool.Shares)
		s.lastNumber++
		pool.Shares = append(pool.Shares, &shareRecord{Session: session.ID, Number: s.lastNumber})
		pool.NextDivision = 0
	}
	share := pool.Shares[i]
	share.Used = max(usage.Used, 0)
	share.Refused = max(usage.Refused, 0)
	share.Available = max(usage.Available, 0)
	share.AckedNumber = max(share.AckedNumber, usage.AckedShare)
	if share.AckedNumber >= share.Number && share.MaxUsable > share.Share {
		share.MaxUsable = share.Share
		s.raiseShares(pool)
	}
	if s.now >= pool.NextDivision {
		s.dividePool(pool)
	}
}

// dividePool computes what each session should have, cuts at once the shares of those that should have less, and gives what is
// free to the others.
func (s *State) dividePool(pool *poolRecord) {
	pool.NextDivision = s.now + s.config.TTL/divisionsPerTTL
	claims := make([]budget.Claim, len(pool.Shares))
	for i, share := range pool.Shares {
		claims[i] = budget.Claim{CurrentShare: share.Share, Available: share.Available, Used: share.Used, Refused: share.Refused}
	}
	for i, target := range pool.Spec.Divide(pool.divisible(), claims) {
		share := pool.Shares[i]
		share.Target = target
		if target < share.Share {
			s.lastNumber++
			share.Share = target
			share.Number = s.lastNumber
			s.toNotify = append(s.toNotify, share.Session)
		}
	}
	s.raiseShares(pool)
}

// raiseShares grants free amounts to the sessions whose shares are below their target, in the order of pool.Shares. Amounts
// that a session may still be using are not free, and nothing is free before State.grantsFrom, because shares of an earlier
// council may be used until then.
func (s *State) raiseShares(pool *poolRecord) {
	if s.now < s.grantsFrom {
		return
	}
	free := pool.divisible() - pool.allocated()
	for _, share := range pool.Shares {
		raised := min(share.Target, share.MaxUsable+max(free, 0))
		if raised <= share.Share {
			continue
		}
		s.lastNumber++
		free -= max(raised-share.MaxUsable, 0)
		if share.Refused > 0 {
			s.toNotify = append(s.toNotify, share.Session)
		}
		share.Share = raised
		share.Number = s.lastNumber
		share.MaxUsable = max(share.MaxUsable, raised)
	}
}

// divisible returns the amount, in thousandths of the budget's unit, that there is to divide beyond the floors. The floors
// are set aside for Spec.MaxBrokers brokers, or for those that use the budget if there are more.
func (p *poolRecord) divisible() budget.Amount {
	spec := p.Spec
	spec.Floor = p.MaxFloor
	return spec.Divisible(len(p.Shares))
}

// allocated returns the amount, in thousandths of the budget's unit, that all sessions together may still use beyond their
// floors. It includes what sessions that have ended may still hold.
func (p *poolRecord) allocated() (sum budget.Amount) {
	for _, share := range p.Shares {
		sum += share.MaxUsable
	}
	for _, expired := range p.Expired {
		sum += expired.Amount
	}
	return sum
}

// removeFromPools deletes an ended session's shares of all budgets. What it may hold of a stock stays allocated to it for
// the budget's ReleaseDelay.
func (s *State) removeFromPools(session *sessionRecord) {
	for _, name := range session.Pools {
		pool := s.pools[name]
		if pool == nil {
			continue
		}
		i := slices.IndexFunc(pool.Shares, func(other *shareRecord) bool { return other.Session == session.ID })
		if i < 0 {
			continue
		}
		if share := pool.Shares[i]; pool.Spec.ReleaseDelay > 0 && share.MaxUsable > 0 {
			expired := expiredShare{s.now + pool.Spec.ReleaseDelay*(1+s.config.MaxClockDrift), share.MaxUsable}
			pool.Expired = append(pool.Expired, expired)
			s.scheduleExpiry(expired.ExpiresAt)
		}
		pool.Shares = slices.Delete(pool.Shares, i, i+1)
		s.dividePool(pool)
	}
}

// expireShares frees, for stocks, the amounts that ended sessions could hold until now, and deletes removed budgets that no
// session uses.
func (s *State) expireShares() {
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		pool := s.pools[name]
		before := len(pool.Expired)
		pool.Expired = slices.DeleteFunc(pool.Expired, func(expired expiredShare) bool {
			if s.now >= expired.ExpiresAt {
				return true
			}
			s.scheduleExpiry(expired.ExpiresAt)
			return false
		})
		if len(pool.Expired) < before {
			s.raiseShares(pool)
		}
		if len(pool.Expired)+len(pool.Shares) == 0 && pool.Spec.Total == 0 {
			delete(s.pools, name)
		}
	}
}

// unacknowledgedShares returns the shares of budgets that a session has not acknowledged, in the order in which it first
// reported the use of these budgets, at most maxSharesPerAnswer.
func (s *State) unacknowledgedShares(session *sessionRecord) (shares []Share) {
	for _, name := range session.Pools {
		pool := s.pools[name]
		if pool == nil || len(shares) >= maxSharesPerAnswer {
			continue
		}
		for _, share := range pool.Shares {
			if share.Session == session.ID && share.AckedNumber < share.Number {
				shares = append(shares, Share{name, share.Share, share.Number, pool.Spec})
			}
		}
	}
	return shares
}
