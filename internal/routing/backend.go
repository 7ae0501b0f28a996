package routing

import (
	"time"

	"brackenfront/balance"
	"brackenfront/internal/transport/parts"
)

// NodeBackend sends attempts to the nodes that speak one protocol and keeps the connections to them. Package parts documents
// the guarantees of these calls. The router calls it from its own goroutine; no call waits for a connection.
type NodeBackend interface {
	// Send sends attempts to the node at addr, all in one call of the node's protocol. It does not wait; the backend reports
	// the result of each attempt to the attempt's owner.
	Send(addr string, attempts []*parts.Attempt)
	// Cancel gives an attempt up: its reply is no longer needed. It returns true if the attempt has ended on return; otherwise
	// the backend calls the owner's AttemptEnded with the given outcome once it has ended.
	Cancel(attempt *parts.Attempt, outcome balance.Outcome) (ended bool)
	// AbortWrites aborts every write to a node in progress that contains an attempt of one search. The search is given by its
	// permission, which all of its attempts share as Attempt.Permission.
	AbortWrites(permission *parts.SendPermission)
	// RecallUnsent is called for a node that must not receive further attempts. It returns the attempts that have not been
	// sent to it yet, which the backend then no longer sends. A write in progress ends, or is aborted, within the duration
	// bound.
	RecallUnsent(addr string, bound time.Duration) []*parts.Attempt
	// Probe asks the node at addr whether it works. It calls report once, from any goroutine, with the result.
	Probe(addr string, report func(healthy bool))
	// CloseIdleOrSilent closes connections to a node: the unused ones if quiet is 0, otherwise those that have unanswered
	// calls and on which nothing has been received for the duration quiet.
	CloseIdleOrSilent(addr string, quiet time.Duration)
}

// ProbeCoordinator shares the results of health probes among brokers, so that not each of them probes every unavailable
// node.
type ProbeCoordinator interface {
	// RequestProbe asks for the health of the node at addr. It is called on the router's goroutine and does not wait. If it
	// returns false, the request is not taken and the router probes the node itself. Otherwise report is called once, from any
	// goroutine, with whether the node counts as healthy.
	RequestProbe(addr string, report func(healthy bool)) bool
}

// SetProbeCoordinator makes the router request health probes from coordinator instead of probing nodes itself. It must be
// called before Start.
func (r *Router) SetProbeCoordinator(coordinator ProbeCoordinator) { r.probeCoordinator = coordinator }

// AllowanceSource provides this broker's allowance: its share of the limits that the settings state for all brokers together,
// such as dealers' quotas, if the brokers divide these unevenly. Its methods are called on the router's goroutine and do not
// wait.
type AllowanceSource interface {
	// CurrentAllowance returns the allowance in force, by the same pointer until it changes, or nil if all brokers have equal
	// shares.
	CurrentAllowance() *balance.Allowance
	// CountSearch counts one accepted search as demand of a dealer, given by its index in Settings.Quotas; the index is
	// negative for a search that names no dealer.
	CountSearch(dealer int)
}

// SetAllowanceSource makes the router apply the allowances that source provides. It must be called before Start.
func (r *Router) SetAllowanceSource(source AllowanceSource) { r.allowances = source }
