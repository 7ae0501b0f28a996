package withfleet

import (
	"slices"
	"sync/atomic"

	"brackenfront/balance"
	"brackenfront/budget"
	"brackenfront/internal/fleet"
	"brackenfront/internal/options"
	"brackenfront/internal/protocol"
)

// member is this process as a member of the fleet, and implements program.FleetMember. From this broker's shares of the
// fleet's budgets it makes the balance.Allowance, which the router passes to package balance.
type member struct {
	// Node is this process's broker as a member of the fleet. It has this broker's shares of the budgets, and its methods are most
	// of those of program.FleetMember.
	*fleet.Node
	// operatorOptions are the operator's options as read at the start of the program.
	operatorOptions *options.Options
	// budgets holds the names and demand counters of the budgets that the dealers' quotas are under the settings in force;
	// ConfigureBudgets replaces it.
	budgets atomic.Pointer[dealerBudgets]
	// last holds the allowance that CurrentAllowance returned last, and the values that it was computed from. Only the router's
	// goroutine uses it.
	last struct {
		// budgets is the value of member.budgets that allowance was computed from.
		budgets *dealerBudgets
		// nodeShares are this broker's floors and shares of all budgets that allowance was computed from.
		nodeShares *fleet.BudgetShares
		// expired says whether the shares had expired, so that allowance consists of the floors alone.
		expired bool
		// allowance is what CurrentAllowance returned.
		allowance *balance.Allowance
	}
}

// dealerBudgets names the fleet's budget of each dealer's quota, which is the searches per second that the dealer may send to
// all brokers together, and counts the demand for it. Both slices are indexed as Settings.Quotas is; an instance belongs to
// one version of the settings.
type dealerBudgets struct {
	// names are the names of the budgets: "quota/" and the dealer's name.
	names []string
	// demand counts, for each dealer, the searches that it has sent to this broker; the fleet reads the counters to divide the
	// dealer's budget among the brokers by demand.
	demand []*atomic.Int64
}

// coldNodesBudget is the name of the budget for the load that all brokers together may put on cold nodes.
const coldNodesBudget = "cold"

// coldNodesTotal is the total of coldNodesBudget. It is a scale without a unit of load, and stands for all of the load that
// the brokers together may put on cold nodes: a broker's amount (floor and share) divided by coldNodesTotal is the fraction
// of that load that this broker may put on them (balance.Allowance.ColdNodeShare).
const coldNodesTotal = 1000 * budget.Unit

// connectionsBudget is the name of the budget of connections to one node from all brokers together. A broker's share is its
// limit of connections to each single node.
const connectionsBudget = "conns"

// ConnectionLimit returns how many connections this broker may have to any one node: its floor and, until that expires, its
// share, but at least 1. It returns 0 if the options set no limit. It may be called from any goroutine.
func (m *member) ConnectionLimit() int {
	if m.operatorOptions.Fleet.MaxNodeConnections == 0 {
		return 0
	}
	nodeShares := m.Node.BudgetShares()
	amount := nodeShares.Floors[connectionsBudget]
	if !m.SharesExpired(nodeShares) {
		amount += nodeShares.Shares[connectionsBudget]
	}
	return int(max(amount/budget.Unit, 1))
}

// RecordMostConnections records the largest number of connections that this broker has to one node, as its use of the budget
// of connections.
func (m *member) RecordMostConnections(most int) { m.SetHeld(connectionsBudget, most) }

// ConfigureBudgets passes the fleet the budgets that it divides among the brokers: the load on cold nodes, the connections
// to a node, and the quota of each dealer in deployment. Each budget has a floor, the amount that every broker is
// guaranteed.
func (m *member) ConfigureBudgets(deployment *protocol.Deployment) {
	maxBrokers := m.operatorOptions.Fleet.MaxBrokers
	// floor returns the part of a budget that each broker is guaranteed.
	floor := func(total budget.Amount) budget.Amount {
		return total / 100 * int64(m.operatorOptions.Fleet.BudgetFloorPercent) / int64(maxBrokers)
	}
	specs := map[string]budget.Spec{coldNodesBudget: {
		Kind:         budget.Stock,
		Total:        coldNodesTotal,
		Floor:        floor(coldNodesTotal),
		MaxBrokers:   maxBrokers,
		ReleaseDelay: deployment.Settings.OverloadWindow,
	}}
	// The floor is one connection for each broker; one more may be pending, for a dial that is in flight.
	if total := budget.Amount(m.operatorOptions.Fleet.MaxNodeConnections) * budget.Unit; total > 0 {
		specs[connectionsBudget] = budget.Spec{
			Kind:         budget.Stock,
			Total:        total,
			Floor:        budget.Unit,
			MaxBrokers:   maxBrokers,
			MaxPending:   1,
			ReleaseDelay: deployment.DialTimeout.Seconds(),
		}
	}
	budgets := &dealerBudgets{
		names:  make([]string, len(deployment.Settings.Quotas)),
		demand: make([]*atomic.Int64, len(deployment.Settings.Quotas)),
	}
	for dealer, i := range deployment.DealerIndexes {
		total := budget.Amount(deployment.Settings.Quotas[i] * float64(budget.Unit))
		budgets.names[i] = "quota/" + dealer
		budgets.demand[i] = m.DemandCounter(budgets.names[i])
		// The burst is the unused quota that package balance lets a broker accumulate: two seconds of its share, and at least
		// three searches.
		specs[budgets.names[i]] = budget.Spec{
			Kind:       budget.Rate,
			Total:      total,
			Burst:      max(2*total, 3*int64(maxBrokers)*budget.Unit),
			Floor:      floor(total),
			MaxBrokers: maxBrokers,
		}
	}
	m.SetBudgets(specs)
	m.budgets.Store(budgets)
}

// SharesBudgets returns whether the options make the fleet divide budgets among its brokers (fleet.budgets).
func (m *member) SharesBudgets() bool { return m.operatorOptions.Fleet.ShareBudgets }

// CurrentAllowance returns what this broker may use of the fleet's budgets: its floors and its shares, and the floors alone
// once the shares have expired. It returns the same pointer for as long as nothing changes. Only the router's goroutine may
// call it.
func (m *member) CurrentAllowance() *balance.Allowance {
	budgets := m.budgets.Load()
	nodeShares := m.Node.BudgetShares()
	expired := m.SharesExpired(nodeShares)
	last := &m.last
	if last.allowance != nil && last.budgets == budgets && last.nodeShares == nodeShares && last.expired == expired {
		return last.allowance
	}
	// amountOf returns how much of a budget this broker may use now: its floor and, until the shares expire, its share.
	amountOf := func(name string) budget.Amount {
		if expired {
			return nodeShares.Floors[name]
		}
		return nodeShares.Floors[name] + nodeShares.Shares[name]
	}
	allowance := &balance.Allowance{
		ColdNodeShare: float64(amountOf(coldNodesBudget)) / float64(coldNodesTotal),
		Quotas:        make([]float64, len(budgets.names)),
	}
	for i, name := range budgets.names {
		allowance.Quotas[i] = float64(amountOf(name)) / float64(budget.Unit)
	}
	last.budgets = budgets
	last.nodeShares = nodeShares
	last.expired = expired
	// The amounts may be unchanged, where only the time at which the shares expire has changed.
	if last.allowance != nil && last.allowance.ColdNodeShare == allowance.ColdNodeShare && slices.Equal(last.allowance.Quotas, allowance.Quotas) {
		return last.allowance
	}
	last.allowance = allowance
	return allowance
}

// CountSearch counts one search of the dealer with the given index as demand for the dealer's budget. An index that is
// negative (no dealer) or unknown is ignored.
func (m *member) CountSearch(dealer int) {
	if budgets := m.budgets.Load(); dealer >= 0 && dealer < len(budgets.demand) {
		budgets.demand[dealer].Add(1)
	}
}
