// Package parts defines what the router and the node backends share: an attempt (one sending of a part of a search), the owner
// that is notified of the attempt's result, the SendPermission (whether attempts of a search may still be written), and the helpers
// for dialling and sending that every backend uses.
//
// A node backend keeps connections to nodes of one protocol. The router calls it from the router's own goroutine, and no call
// waits for a socket. Each attempt that Send accepts ends exactly once: either its Owner is notified, or Cancel or RecallUnsent of
// the backend reports the end to their caller. The outcomes for which balance.Outcome.NeverRan is true (Unreachable, Overloaded
// and NotSent) promise that the attempt never ran on its node and never will; any other outcome except balance.OK promises
// nothing. The backend closes the connections that it opens.
//
// Terms of this package:
//   - A request is the bytes by which one attempt is sent to a node.
//   - The system is the operating system. Bytes that it has accepted from a write wait in its send buffer (the send queue of the
//     connection) until it sends them; from then on they have left this machine.
//   - To withdraw a SendPermission is to call its method Withdraw, after which no attempt of the search is written any more.
//   - The frontend is the part of this program that serves clients; it knows their connections.
package parts

import (
	"time"

	"brackenfront/internal/protocol"
)

// Owner receives the results of the attempts of one search.
type Owner interface {
	// AttemptEnded is called by the backend to report how an attempt ended. partIndex and attemptNumber are the PartIndex and
	// the Number of the Attempt. It is called at most once for each attempt, and not where Cancel of the backend has returned
	// that the attempt has ended, unless the backend had begun this call before. It may be called from any goroutine and may wait.
	AttemptEnded(partIndex, attemptNumber int, result protocol.AttemptResult)
}

// FirstAttempt is the Number of the first attempt of a part.
const FirstAttempt = 1

// Attempt is one sending of a part of a search to a node.
type Attempt struct {
	// Permission says whether this attempt may still be written to a node. All attempts of the search share it; it is withdrawn
	// when the search's client has left or its final answer is decided.
	Permission *SendPermission
	// ID identifies the part in requests to nodes and in their replies. All attempts of a part carry the same ID.
	ID string
	// Shard is the number of the shard that the part asks for.
	Shard int
	// ExtraFields is text that is appended as it is to the comma-separated list of fields in the first line of the request to the
	// node; it is empty or begins with a comma.
	ExtraFields string
	// SearchText is the text of the search that is sent to the node.
	SearchText string
	// Deadline is when the broker stops waiting for the result.
	Deadline time.Time
	// Owner is notified of the result by a call of AttemptEnded; it is the search in the router.
	Owner Owner
	// PartIndex is the index of the part among the parts of the search, from 0; the owner knows the part by it.
	PartIndex int
	// Number counts the attempts of the part, from FirstAttempt on.
	Number int
	// ClientSeenAt is when the client was last known to be connected. It does not change once the attempt has been handed to a
	// backend.
	ClientSeenAt time.Time

	// DecidedAt is when the router decided to send this attempt: the start of that pass of its event loop.
	DecidedAt time.Time

	// CancelledUnsent is set by the backend when Cancel is called before Send has accepted the attempt; Send then skips it.
	CancelledUnsent bool
	// BackendState belongs to the backend, which keeps its own state of the attempt in it; nil until Send has accepted the attempt.
	BackendState any
}

// NotifyOwner calls the owner's AttemptEnded with the result of the attempt; as that may wait, the caller must hold no lock.
func (a *Attempt) NotifyOwner(result protocol.AttemptResult) {
	a.Owner.AttemptEnded(a.PartIndex, a.Number, result)
}

// ClientSeenValidity is how long after ClientSeenAt the client counts as connected without a check. An attempt that waits longer, in
// the router or in a connection's queue, is sent only after its client's connection has been checked again: the operating rules
// forbid attempts that begin 0.1 s or more after the client's close.
const ClientSeenValidity = 20 * time.Millisecond

// Stale reports whether it is too late, at the time now, to send the attempt. Every attempt is stale from its Deadline on. A
// second or later attempt of a part is also stale once more than maxQueueTime has passed since DecidedAt, for two reasons: nodes
// recognize a repeated request by its ID only for some time; and the retry budget, which limits the number of such attempts within
// a sliding window of time, has counted the attempt at DecidedAt. With a maxQueueTime of 0 only the Deadline counts.
func (a *Attempt) Stale(now time.Time, maxQueueTime time.Duration) bool {
	if !now.Before(a.Deadline) {
		return true
	}
	return maxQueueTime > 0 && a.Number > FirstAttempt && now.Sub(a.DecidedAt) > maxQueueTime
}

// AbandonedByClient reports whether the client has closed its connection since ClientSeenAt. It does not wait, and checks only
// where ClientSeenAt is more than ClientSeenValidity before now; else it returns false. It may be called only between Acquire
// and Release of Permission.
func (a *Attempt) AbandonedByClient(now time.Time) bool {
	return now.Sub(a.ClientSeenAt) > ClientSeenValidity && a.Permission.ClientDisconnected()
}
