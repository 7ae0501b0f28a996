package fleetrig

import (
	"brackenfront/budget"
	"brackenfront/internal/fleet"
)

// ordersVariable is the environment variable that a child process of the rig reads its Orders from, as JSON.
const ordersVariable = "FLEETRIG_ORDERS"

// noteFrozen is the Claim.Note that a child process prints before it stops itself with SIGSTOP; the rig sends it SIGCONT after
// freezeLength.
const noteFrozen = "frozen"

// Orders are the settings that the rig passes to a child process: its role in the fleet, how its clock and disk fail, and what it
// does under leases. They are passed as JSON in the environment; the field tags keep the names used there.
type Orders struct {
	// NodeConfig is the configuration of the process's fleet node (package fleet): its name, the council's addresses, its keys and the
	// terms of leases.
	NodeConfig fleet.Config `json:"Stated"`
	// ClockRate is the speed of the process's clock as a multiple of the machine's; 1 is exact.
	ClockRate float64 `json:"Rate"`
	// FailWrite is the number of the durable write that fails, counted from 1 since the start of the process; 0 for none. The fault
	// DiskFails sets it between two starts.
	FailWrite int `json:"FailPut"`
	// TargetAddr is the host:port of the Checker, or of a link to it, that operations are sent to; empty for a process that only is a
	// member of the council and takes no leases.
	TargetAddr string `json:"Target"`
	// Leases are the names of the leases that the process tries to hold again and again, to send operations while it holds one.
	Leases []string `json:"Tasks"`
	// DriftMargin keeps the margin by which holders and council allow for clocks that run at different rates; false sets the allowed drift
	// to 0.
	DriftMargin bool `json:"Margin"`
	// FreezeAt is the number of the operation, counted from 1 over all leases of the process, before which the process stops itself with
	// SIGSTOP, after it has checked its lease; 0 for never.
	FreezeAt int `json:"Freeze"`
	// Budgets are the specifications of the budgets that the process takes units from; the key is the budget's name. Empty for none.
	Budgets map[string]budget.Spec
	// Seed is the seed of the random numbers that determine how many units of its budgets the process requests over time.
	Seed uint64
	// FullDemand makes the process request as many units as its budgets allow at all times, instead of a number that changes at random.
	FullDemand bool
	// ShareBaseline is the rule by which the process computes its share of each budget in place of the council's division:
	// shareByView, shareWithoutExpiry, or another value such as "even" for equal shares. If it is empty, the council divides the
	// budgets.
	ShareBaseline string `json:"Part"`
	// IgnoresLeaseEnd makes the process send operations without checking whether it still holds the lease.
	IgnoresLeaseEnd bool `json:"Careless"`
}

// Values of Orders.ShareBaseline that the code treats specially. With any other value except the empty one, such as "even", a
// process takes an equal share: the budget divided by the configured number of brokers.
const (
	// shareByView gives a process the budget divided by an estimate of how many brokers it can reach at present.
	shareByView = "view"
	// shareWithoutExpiry lets a process use the share that the council granted last even after it has expired.
	shareWithoutExpiry = "no lapse"
)

// Claim is a line that a child process prints: either a note for the rig, or until when the process believes that it holds a lease. Times
// are seconds of the machine's clock, which all processes of the rig share.
type Claim struct {
	// Lease is the name of the lease that is held.
	Lease string
	// Token is the fencing token of the grant: the number that is higher for each later grant of the same lease and place.
	Token uint64
	// Place is which of the concurrent holders of the lease the process is, counted from 0; 0 for a lease with one holder at a time.
	Place int
	// At is when the claim was made, in seconds of the machine's clock.
	At float64
	// Until is when the lease ends unless it is renewed, in seconds of the machine's clock.
	Until float64
	// End says that the process has stopped operating under this token and will not do so again.
	End bool
	// Note is a message to the rig, noteFrozen or "up" once the process works; all other fields are empty then.
	Note string `json:",omitempty"`
}

// Operation is one message from a child process to the Checker: an operation under a lease, or the use of one unit of a
// budget. A rate budget limits the units spent per second, a stock budget the units held at the same time. The field tags keep the
// names on the wire.
type Operation struct {
	// RateBudget is the name of the rate budget from which one unit is spent; empty for other operations.
	RateBudget string `json:"Rate,omitempty"`
	// StockBudget is the name of the stock budget of which one unit is held; empty for other operations.
	StockBudget string `json:"Stock,omitempty"`
	// HoldSeconds is how long the process holds the unit of the budget StockBudget, in seconds; 0 if StockBudget is empty.
	HoldSeconds float64 `json:"Lasts,omitempty"`
	// Lease is the name of the lease that the process holds while it sends the operation; empty for the use of a budget.
	Lease string
	// Token is the fencing token of the grant: the number that is higher for each later grant of the same lease and place.
	Token uint64
	// Place is which of the concurrent holders of the lease the process is, counted from 0; 0 for a lease with one holder at a time.
	Place int
	// Broker is the name of the process that sent the operation.
	Broker string `json:"Who"`
	// Step is the number of the operation among those under the same grant of the lease, counted from 0.
	Step int `json:"N"`
}
