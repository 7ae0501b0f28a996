package fleetrig

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackenfront/budget"
	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/wire"
	"brackenfront/random"
)

// fullDemandPerStep is the number of units of each budget that a process requests in one step (see budgetUser) to use all that the
// budgets allow.
const fullDemandPerStep = 4

// budgetUser takes units of the budgets "rate" and "stock" for a child process, and tells the checker about each. It works in steps, one
// after another as long as the process runs: a step requests unitsPerStep units of each budget, releases the units of the stock whose time
// has come, and then pauses for 1 to 5 ms. One goroutine uses it, that of Orders.useBudgets; another one only stores reachable.
type budgetUser struct {
	// Orders are the orders of the process.
	Orders
	// node is the fleet node of the process, which has the shares that the council grants.
	node *fleet.Node
	// machineClock returns the machine's time in seconds.
	machineClock func() float64
	// random draws the demand, seeded with Orders.Seed.
	random random.Source
	// allowances count, by the name of the budget, what the process uses of the shares that it computes itself; empty where ShareBaseline
	// is empty, as the node counts then.
	allowances map[string]*budget.Allowance
	// lastShares are the shares that the council granted last, by the name of the budget. Only the baseline shareWithoutExpiry sets and
	// uses them.
	lastShares map[string]budget.Amount
	// reachable is an estimate of the number of brokers that the process can reach. Only the baseline shareByView sets and uses it.
	reachable atomic.Int64
	// releaseTimes has, for each held unit of the stock, when it is to be released, in seconds of the machine's clock.
	releaseTimes []float64
	// unitsPerStep is the present demand: the number of units of each budget that are requested in one step. updateDemand sets it.
	unitsPerStep float64
	// nextChange is when unitsPerStep is drawn again, in seconds of the machine's clock; 0 before the first draw.
	nextChange float64
}

// useBudgets takes units of the budgets "rate" and "stock" until ctx ends, one at a time: it sends an Operation about each to the checker
// and waits for the answer before it takes the next. If the connection to the checker fails, it opens another one. How many units it
// requests changes at random over time, by Orders.Seed, unless Orders.FullDemand is set. machineClock returns the machine's time in
// seconds.
func (o Orders) useBudgets(ctx context.Context, node *fleet.Node, machineClock func() float64) {
	u := &budgetUser{Orders: o, node: node, machineClock: machineClock, allowances: map[string]*budget.Allowance{}, lastShares: map[string]budget.Amount{}}
	u.random.Seed(o.Seed)
	for name, spec := range o.Budgets {
		if o.ShareBaseline != "" {
			u.allowances[name] = budget.NewAllowance(spec, 0, machineClock())
		}
	}
	var counting sync.WaitGroup
	defer counting.Wait()
	if o.ShareBaseline == shareByView {
		u.reachable.Store(int64(o.Budgets["rate"].MaxBrokers))
		counting.Go(func() { u.countReachableBrokers(ctx) })
	}
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", o.TargetAddr, 300*time.Millisecond)
		if err != nil {
			sleep(ctx, 20*time.Millisecond)
			continue
		}
		u.useOver(ctx, conn)
		conn.Close()
	}
}

// useOver takes units, step by step with a pause of 1 to 5 ms after each step, and sends an Operation about each over conn, a connection
// to the checker, until one is not answered or ctx ends.
func (u *budgetUser) useOver(ctx context.Context, conn net.Conn) {
	decoder := json.NewDecoder(bufio.NewReader(conn))
	encoder := json.NewEncoder(conn)
	// send sends an operation to the checker and reports whether it was answered, within 5 s.
	send := func(operation Operation) bool {
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		operation.Broker = u.NodeConfig.Broker
		var verdict string
		return encoder.Encode(operation) == nil && decoder.Decode(&verdict) == nil
	}
	for ok := true; ok && ctx.Err() == nil; {
		now := u.machineClock()
		u.updateDemand(now)
		ok = u.takeUnits(now, send)
		u.releaseUnits()
		sleep(ctx, time.Duration((1+4*u.random.Float64())*float64(time.Millisecond)))
	}
}

// updateDemand updates unitsPerStep, the number of units of each budget that a step of some milliseconds requests. It is called at the
// start of every step, and draws a new number (0, 1 or fullDemandPerStep) once nextChange has come, which it then sets to 1 to 3 s later.
// With Orders.FullDemand, the number is always fullDemandPerStep. now is the machine's time in seconds.
func (u *budgetUser) updateDemand(now float64) {
	// The demand is none, ordinary, or (half of the time) as much as the budgets allow.
	if now >= u.nextChange {
		u.unitsPerStep = []float64{0, 1, fullDemandPerStep, fullDemandPerStep}[int(u.random.Float64()*4)]
		u.nextChange = now + 1 + 2*u.random.Float64()
	}
	if u.FullDemand {
		u.unitsPerStep = fullDemandPerStep
	}
}

// takeUnits requests unitsPerStep units of each budget (a fraction would be rounded up or down at random) and calls send with an Operation
// about each unit that the process's share allows. It returns false, without a further request, once send has returned false. now is the
// machine's time in seconds.
func (u *budgetUser) takeUnits(now float64, send func(Operation) bool) bool {
	for more := u.unitsPerStep; u.random.Float64() < more; more-- {
		if u.takeUnit("rate", now) && !send(Operation{RateBudget: "rate"}) {
			return false
		}
		if u.takeUnit("stock", now) {
			holdSeconds := 0.1 * u.random.Float64()
			u.releaseTimes = append(u.releaseTimes, u.machineClock()+holdSeconds)
			if !send(Operation{StockBudget: "stock", HoldSeconds: holdSeconds}) {
				return false
			}
		}
	}
	return true
}

// releaseUnits releases the held units of the stock whose time has come.
func (u *budgetUser) releaseUnits() {
	u.releaseTimes = slices.DeleteFunc(u.releaseTimes, func(at float64) bool {
		if u.machineClock() < at {
			return false
		}
		if u.ShareBaseline == "" {
			u.node.Release("stock")
		} else {
			u.allowances["stock"].Release()
		}
		return true
	})
}

// takeUnit takes one unit of the named budget at the time now, in seconds of the machine's clock, and returns whether the process's share
// allowed that. Without ShareBaseline, the share is the one that the council granted, and the node counts its use; with it, the share is
// computed by that rule, and the process's own allowance counts its use.
func (u *budgetUser) takeUnit(name string, now float64) bool {
	spec := u.Budgets[name]
	if u.ShareBaseline == "" {
		if spec.Kind == budget.Rate {
			return u.node.Spend(name)
		}
		return u.node.Hold(name)
	}
	allowance := u.allowances[name]
	share := spec.Total/int64(spec.MaxBrokers) - spec.Floor
	switch u.ShareBaseline {
	case shareByView:
		share = spec.Total/max(u.reachable.Load(), 1) - spec.Floor
	case shareWithoutExpiry:
		if spec.Kind == budget.Rate {
			u.node.DemandCounter(name).Add(1)
		}
		if !u.node.SharesExpired(u.node.BudgetShares()) {
			u.lastShares[name] = u.node.BudgetShares().Shares[name]
		}
		share = u.lastShares[name]
	}
	allowance.SetShare(now, max(share, 0), now+3600)
	if spec.Kind == budget.Rate {
		return allowance.Spend(now)
	}
	return allowance.Hold(now)
}

// countReachableBrokers stores in reachable, every 0.1 s until ctx ends, an estimate of how many brokers this process can reach: the
// configured number of brokers, times the share of the council's members that answer it within 0.25 s, but at least 1.
func (u *budgetUser) countReachableBrokers(ctx context.Context) {
	keys, err := wire.ReadKeys(u.NodeConfig.KeyFile)
	if err != nil {
		return
	}
	brokers := int64(u.Budgets["rate"].MaxBrokers)
	for ctx.Err() == nil {
		var answered atomic.Int64
		var requests sync.WaitGroup
		for _, member := range u.NodeConfig.Council {
			requests.Go(func() {
				request, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
				defer cancel()
				client := fleet.AdminClient{Council: []fleet.CouncilBroker{member}, Keys: keys, Environment: fleet.RealEnvironment()}
				if statuses, _ := client.Statuses(request); len(statuses) == 1 {
					answered.Add(1)
				}
			})
		}
		requests.Wait()
		u.reachable.Store(max(brokers*answered.Load()/int64(len(u.NodeConfig.Council)), 1))
		sleep(ctx, 100*time.Millisecond)
	}
}
