package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackenfront/budget"
	"brackenfront/lease"
)

// defineBudgetsTicks is the time, in ticks (of Config.Tick), between two checks of whether the council's definitions of the
// budgets agree with the configuration.
const defineBudgetsTicks = 10

// BudgetShares holds the amounts of the fleet's budgets that this broker may use, as of one moment. It is immutable.
type BudgetShares struct {
	// ValidUntil is the time at which Shares expire, in seconds of this process's clock.
	ValidUntil float64
	// Floors are the amounts that this broker may use at any time, even without the council, by the budget's name. Amounts
	// are thousandths of a unit, or for a rate of a unit per second.
	Floors map[string]budget.Amount
	// Shares are the amounts that it may use in addition to the floors until ValidUntil, by the budget's name, in the same
	// unit as Floors.
	Shares map[string]budget.Amount
}

// budgetClient is this process's side of the fleet's budgets: it says how much of each this broker may use, counts what it uses,
// and reports that to the council. Node.Spend, Node.Hold and Node.Release lock mu for some nanoseconds each. Searches never
// lock it: they read the amounts in the field shares and add to the counters in the field demand.
type budgetClient struct {
	// node is this process's Node.
	node *Node
	// mu guards allowances and specs.
	mu sync.Mutex
	// allowances keeps, for each budget, how much this process may use and how much it has used.
	allowances *lease.Allowances
	// specs holds the definitions of the budgets in this broker's settings, by the budget's name.
	specs map[string]budget.Spec
	// shares points to the published amounts that this broker may use; it is read without mu.
	shares atomic.Pointer[BudgetShares]
	// demand maps the name of a budget to an *atomic.Int64, which counts the units that were asked for since update was
	// last called.
	demand sync.Map
}

// newBudgetClient returns a client without budgets, which gets its shares through the lease session s. Only the session
// client's goroutine, which owns s, may call step, update, publish and close.
func newBudgetClient(n *Node, s *lease.Session) *budgetClient {
	b := &budgetClient{
		node:       n,
		allowances: lease.NewAllowances(s, n.config.Terms.MaxClockDrift),
		specs:      map[string]budget.Spec{},
	}
	b.shares.Store(&BudgetShares{})
	return b
}

// SetBudgets passes to the node the definitions of the fleet's budgets from this broker's settings, by the budget's
// name. The broker uses only its floors (the amounts that it may use without the council) until the council has granted
// it shares. If it holds lease.BudgetsLease, whose holder defines the budgets, it sends the definitions to the council.
// SetBudgets may be called again with other definitions, and must not be called unless Config.SharedBudgets is set.
func (n *Node) SetBudgets(specs map[string]budget.Spec) {
	b := n.budgets
	done := make(chan struct{})
	specs = maps.Clone(specs)
	// Opening a budget uses the lease session, which the client's goroutine owns.
	if !n.client.do(func() {
		defer close(done)
		b.mu.Lock()
		defer b.mu.Unlock()
		now := n.environment.Now()
		b.specs = specs
		for _, name := range slices.Sorted(maps.Keys(specs)) {
			b.allowances.Open(now, name, specs[name])
		}
		b.publish(now)
	}) {
		return
	}
	select {
	case <-done:
	case <-n.client.done:
	}
}

// Spend takes one unit of the rate budget (units per second) with the given name, and returns false if none is available.
// It may be called from any goroutine and blocks only for other calls on budgets.
func (n *Node) Spend(name string) bool {
	n.budgets.mu.Lock()
	defer n.budgets.mu.Unlock()
	return n.budgets.allowances.Spend(n.environment.Now(), name)
}

// Hold takes one unit of the stock budget (units in use at the same time) with the given name, which Release returns. It
// returns false if none is available. It may be called from any goroutine and blocks only for other calls on budgets.
func (n *Node) Hold(name string) bool {
	n.budgets.mu.Lock()
	defer n.budgets.mu.Unlock()
	return n.budgets.allowances.Hold(n.environment.Now(), name)
}

// Release returns one unit, which Hold has taken, of the stock budget with the given name.
func (n *Node) Release(name string) {
	n.budgets.mu.Lock()
	n.budgets.allowances.Release(name)
	n.budgets.mu.Unlock()
	n.client.wake()
}

// SetHeld sets how many units of the stock budget with the given name this broker holds, for a caller that counts them
// itself and uses the published shares (BudgetShares) instead of calling Hold and Release.
func (n *Node) SetHeld(name string, units int) {
	n.budgets.mu.Lock()
	n.budgets.allowances.SetHeld(name, int64(units))
	n.budgets.mu.Unlock()
	n.client.wake()
}

// Excess returns how many units of the stock budget with the given name this broker holds beyond the amount that it may use
// at present. The broker has to give that many back.
func (n *Node) Excess(name string) int64 {
	n.budgets.mu.Lock()
	defer n.budgets.mu.Unlock()
	return n.budgets.allowances.Excess(n.environment.Now(), name)
}

// DemandCounter returns the counter of the units of the rate budget with the given name that were asked for. A caller that
// uses the published shares instead of Spend adds to it; the node reads and resets it in each call of sessionClient.step.
func (n *Node) DemandCounter(name string) *atomic.Int64 {
	counter, _ := n.budgets.demand.LoadOrStore(name, &atomic.Int64{})
	return counter.(*atomic.Int64)
}

// BudgetShares returns the amounts of the fleet's budgets that this broker may use, as last published. It returns the
// same pointer until the amounts or their validity change. The shares may have expired since: see SharesExpired.
func (n *Node) BudgetShares() *BudgetShares { return n.budgets.shares.Load() }

// SharesExpired reports whether p.Shares have expired, so that only p.Floors may be used.
func (n *Node) SharesExpired(p *BudgetShares) bool { return n.environment.Now() >= p.ValidUntil }

// step calls update, and then Config.Local.SharesChanged if update has published other amounts, or another time at which they
// expire. sessionClient.step calls it before it sends the session's call. now is in seconds of this process's clock.
func (b *budgetClient) step(now float64) {
	before := b.shares.Load()
	b.update(now)
	if b.node.config.Local.SharesChanged != nil && b.shares.Load() != before {
		b.node.config.Local.SharesChanged()
	}
}

// update adds the counts in the field demand to the field allowances and resets them. It makes allowances apply the shares that
// the session has received from the council, and report this broker's use to the council. It then publishes the amounts that
// may be used now. now is in seconds of this process's clock.
func (b *budgetClient) update(now float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.Range(func(name, counter any) bool {
		b.allowances.RecordDemand(name.(string), counter.(*atomic.Int64).Swap(0))
		return true
	})
	b.allowances.Update(now)
	b.publish(now)
}

// publish sets the field shares, which Node.BudgetShares returns, to the present floors and shares of all budgets and the
// time at which the shares expire, if any of these has changed. The session client's goroutine calls it, with mu held. now
// is in seconds of this process's clock.
func (b *budgetClient) publish(now float64) {
	names := b.allowances.Names()
	if len(names) == 0 {
		return
	}
	before := b.shares.Load()
	current := &BudgetShares{
		ValidUntil: b.node.client.session.ValidUntil(),
		Floors:     map[string]budget.Amount{},
		Shares:     map[string]budget.Amount{},
	}
	for _, name := range names {
		current.Floors[name], current.Shares[name] = b.allowances.Share(now, name)
	}
	if current.ValidUntil != before.ValidUntil || !maps.Equal(current.Floors, before.Floors) || !maps.Equal(current.Shares, before.Shares) {
		b.shares.Store(current)
	}
}

// close ends the use of all of this broker's shares, at the time now in seconds of this process's clock; its floors may still be
// used. It is called before the session is ended, which gives the shares back to the council.
func (b *budgetClient) close(now float64) {
	b.mu.Lock()
	b.allowances.Close(now)
	b.publish(now)
	b.mu.Unlock()
}

// defineBudgets keeps the council's definitions of the budgets equal to those of this broker's settings, until ctx ends.
// It runs as the task of lease.BudgetsLease. Two brokers that run it at a time do no harm: the council
// accepts definitions only from the lease's holder.
func (n *Node) defineBudgets(ctx context.Context, taskLease *TaskLease) error {
	defined := map[string]budget.Spec{}
	for {
		n.budgets.mu.Lock()
		specs := maps.Clone(n.budgets.specs)
		n.budgets.mu.Unlock()
		for _, name := range slices.Sorted(maps.Keys(specs)) {
			if defined[name] == specs[name] {
				continue
			}
			if err := taskLease.defineBudget(ctx, name, specs[name]); err != nil {
				return err
			}
			defined[name] = specs[name]
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(defineBudgetsTicks * n.config.Tick):
		}
	}
}

// defineBudget sends the definition of the budget with the given name to the council, and waits until it is committed. h has to
// be the lease lease.BudgetsLease, whose holder alone may define budgets. The error is ErrLost, ErrAlreadyRequested, ErrClosed,
// the cause of the end of ctx, or an error with the status by which the council refused the definition.
func (h *HeldLease) defineBudget(ctx context.Context, name string, spec budget.Spec) error {
	return h.writeUnderLease(ctx, func() error {
		if !h.client.session.DefineBudget(name, &spec) {
			return ErrLost
		}
		return nil
	})
}
