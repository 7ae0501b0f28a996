package faultcheck

import (
	"time"
)

// Effect says what it does to run a part of a search more than once. Settings state it for each search class.
type Effect int

// The three effects that settings can give a search class.
const (
	// ReadLike means that running a part again does no harm.
	ReadLike Effect = iota
	// IdempotencyKey means that nodes recognise and drop a repeat of a part within Class.Window, so that it does no harm within that time.
	IdempotencyKey
	// NonIdempotent means that a part must never run twice.
	NonIdempotent
)

// String returns the effect's name in the configuration and on the command line.
func (e Effect) String() string {
	return [...]string{"read_like", "idempotency_key", "non_idempotent"}[e]
}

// Class is a search class with the limits that the settings give it.
type Class struct {
	// Name is the class's name in the configuration.
	Name string
	// Effect says what it does to run a part more than once.
	Effect Effect
	// Window is the time for which nodes recognise an idempotency key, and applies only if Effect is IdempotencyKey. No attempt of a part
	// may come later than this after the first attempt of the part that a node may have run (that is, did not reject as overloaded).
	Window time.Duration
	// WholeShare is the least share, from 0 to 1, of the total weight of a search's parts that must have succeeded for its answer to
	// be marked as whole (complete) instead of partial. If searches have two steps, it counts in the first; the second must be complete.
	WholeShare float64
	// MinShare is the least share, from 0 to 1, of the total weight of a search's parts that must have succeeded for the search to
	// be answered at all. If searches have two steps, it counts in each of them.
	MinShare float64
	// FetchParts is the maximum number of shards that the second step of a search goes to; 0 for a class whose searches have one step.
	FetchParts int
}

// Contract holds the rules for one broker that follow from its settings, against which the checker checks what the broker did.
type Contract struct {
	// Classes are the search classes by their names.
	Classes map[string]Class
	// SecondCopies allows two attempts of a part to be in flight at once.
	SecondCopies bool
	// MaxAttempts is the maximum number of attempts of one part.
	MaxAttempts int
	// LongestDeadline is the longest deadline that the settings give any class.
	LongestDeadline time.Duration
	// Groups is the number of replica groups. Shard s is held by the groups s, s+1, ... s+GroupsPerShard-1, modulo Groups.
	Groups int
	// GroupsPerShard is how many replica groups hold each shard.
	GroupsPerShard int
	// Slack is the tolerance that the checker adds to most time limits, because messages take time on sockets.
	Slack time.Duration
}

// Delivery is one request that a client wrote, completely or in part, to a broker. The same request written again is another delivery
// with the same Search.
type Delivery struct {
	// Index is the delivery's index in History.Deliveries.
	Index int
	// Search is the search's id, from the X-Trace-Id header.
	Search string
	// Class is the name of the search's class.
	Class string
	// Broker names the broker's process that the request was written to. In a scenario each process has a name of its own; in a hand-written
	// history the processes of a broker may share one, and are told apart by the times of kills.
	Broker string
	// Shards are the shards that the request names.
	Shards []ShardShare
	// Text is the search's text, which each of its parts carries.
	Text string
	// Timeout is how long the client waits for the answer after WrittenAt, from the X-Expires-In header.
	Timeout time.Duration
	// WrittenAt is when the request's last byte was written; from then on the request is called completely written, or whole. It is zero
	// if that never happened.
	WrittenAt time.Time
	// ClientClosedAt is when the client closed its side, cancelled, or stopped waiting without an answer; zero if it did none of these.
	ClientClosedAt time.Time
	// Fault describes the injected fault in words, for the text that SearchLog returns.
	Fault string
	// Ambiguous is set if two correct parsers take the request's bytes for different requests, so that it is not known which one the
	// client meant.
	Ambiguous bool

	// EndedAt is when the last byte of the answer, or the connection's end, was read; zero if neither came.
	EndedAt time.Time
	// Status is the HTTP status of the answer's head; 0 if none came.
	Status int
	// Complete is set if the whole answer was read and, if its status is 200, its body could be parsed.
	Complete bool
	// MarkedWhole is set if the answer says that it is whole, that is, made from at least the share Class.WholeShare of the shards.
	MarkedWhole bool
	// Values are the values in the answer; none if its status is not 200.
	Values []Value
	// Connected is set if the TCP connection to the broker was established. The broker's operating system does that, maybe before the broker
	// itself accepts the connection.
	Connected bool
	// Unread is set if the broker cannot have read the whole request: it was not completely written, no connection was established, the
	// connection ended before the last byte can have been read, or the request was pipelined behind an answer that ended the connection.
	Unread bool
	// BrokerKilledAt is when the broker that had the request was killed by SIGKILL, or crashed, before it answered; zero if neither happened.
	BrokerKilledAt time.Time
	// LinkCutAt is when the injected fault itself ended the connection between the broker and this client; zero if it did not.
	LinkCutAt time.Time
}

// ShardShare is a shard of a search and its share of the whole answer, from 0 to 1.
type ShardShare struct {
	// Shard is the number of the shard.
	Shard int
	// Share is the share of the whole answer that comes from the shard, from 0 to 1.
	Share float64
}

// Value is the value of one shard in the answer to a search.
type Value struct {
	// Shard is the number of the shard that the value is of.
	Shard int
	// Item is the text of the value, as the node gave it.
	Item string
}

// Outcome is how an attempt ended, as its node saw it.
type Outcome int

// The outcomes of attempts at a node.
const (
	// Pending means that the attempt has not ended at the node.
	Pending Outcome = iota
	// Hit means that the attempt ran, and that its answer was completely written to the broker.
	Hit
	// Fault means that the node answered with an error: the attempt may have run.
	Fault
	// Overload means that the node answered that it rejected the attempt without running it; Attempt.Ran says whether it ran it nevertheless.
	Overload
	// GivenUp means that the broker gave the attempt up, by a frame or by ending the connection from its side.
	GivenUp
	// ConnBroken means that the node, or a fault injected between it and the broker, ended the connection: the attempt may have run.
	ConnBroken
)

// String returns the outcome as reports name it.
func (o Outcome) String() string {
	return [...]string{"pending", "hit", "fault", "overload", "given up", "connection broken"}[o]
}

// Attempt is one part of a search that a node received in a complete frame.
type Attempt struct {
	// Index is the attempt's index in History.Attempts.
	Index int
	// Node is the name of the node that received the attempt.
	Node string
	// Connection is the name that the node gave to the connection; it is unique in the history.
	Connection string
	// Search is the search's id: what stands before the dot in the part's id.
	Search string
	// Shard is the number of the shard that the part is for.
	Shard int
	// SecondStep is set for a part of the search's second step.
	SecondStep bool
	// Text is the search's text as the part carries it.
	Text string
	// FirstStepShards are the shards whose hits of the first step the broker had, as it states with each part of the second step; nil for a
	// part of the first step.
	FirstStepShards []int
	// BrokerWait is how long the broker waits for the answer to the attempt, as it states in the attempt's request to the node (the value
	// d of the list that describes the part).
	BrokerWait time.Duration
	// ArrivedAt is when the last byte of the attempt's frame had come to the node's machine, whether or not the node had read it.
	ArrivedAt time.Time
	// AbsentAt is the latest time at which that byte is known not to have come, if it may have come before ArrivedAt: the system dates
	// bytes that lie unread together by the last of them. Zero if ArrivedAt is exact.
	AbsentAt time.Time
	// OverlapsFrom is the time from which on the attempt counts as in flight beside earlier attempts of its part; zero for ArrivedAt. It is
	// later where a give-up of an earlier attempt was read late (see recorder.orderAfterGiveUps).
	OverlapsFrom time.Time
	// EndedAt is when the attempt ended; zero while it is Pending.
	EndedAt time.Time
	// Outcome is how the attempt ended.
	Outcome Outcome
	// Value is the text of the node's answer if the Outcome is Hit; else empty.
	Value string
	// Score is the node's rating of its answer, and has a meaning only if the Outcome is Hit. The second step goes to the shards with the
	// highest scores of the first.
	Score int
	// Ran is set once the node has executed the part, whatever it answers, or has ended the connection while the attempt was pending.
	Ran bool
}

// ContractChange is a change of the Contract of one broker: by SIGHUP, on which the running process reads a changed configuration, or by the
// start of a process.
type ContractChange struct {
	// Broker names the broker's process.
	Broker string
	// At is when SIGHUP was sent: from then on the broker may apply the new contract. It is zero for the contract that a process starts
	// with.
	At time.Time
	// SwitchedAt is when the scenario saw in the broker's log that it applies the changed configuration, or stopped waiting for that; zero
	// before that, and for the contract that a process starts with.
	SwitchedAt time.Time
	// Contract is the new contract.
	Contract
}

// settledAt returns the time from which on the broker certainly applies the new contract alone: slack, which is Contract.Slack, after
// SIGHUP, or SwitchedAt if that is later, because a broker on a busy machine may read the settings late.
func (c *ContractChange) settledAt(slack time.Duration) time.Time {
	if settled := c.At.Add(slack); !c.SwitchedAt.After(settled) {
		return settled
	}
	return c.SwitchedAt
}

// Kill is one SIGKILL of a broker's process.
type Kill struct {
	// Broker names the broker's process.
	Broker string
	// At is when the signal was sent.
	At time.Time
}

// Termination is one SIGTERM that was sent to a broker's process.
type Termination struct {
	// Broker names the broker's process.
	Broker string
	// At is when the signal was sent.
	At time.Time
}

// Pause is a time in which a broker's process was stopped by SIGSTOP.
type Pause struct {
	// Broker names the broker's process.
	Broker string
	// From is a time just before the process was stopped.
	From time.Time
	// Until is a time just after the process was continued.
	Until time.Time
}

// History is all that clients and nodes recorded in one scenario.
type History struct {
	// Contract holds the rules that brokers start with.
	Contract
	// ContractChanges are the changes of single brokers' contracts, and the contract that each process started with.
	ContractChanges []ContractChange
	// Deliveries are the requests that clients wrote, in the order in which they began to write.
	Deliveries []Delivery
	// Attempts are the attempts that came to nodes, in the order in which these recorded them.
	Attempts []Attempt
	// Pauses are the times in which processes were stopped, in order for each broker.
	Pauses []Pause
	// Kills are the kills that no delivery's BrokerKilledAt states, because no delivery was unanswered at the time.
	// Only hand-written histories have any (see Delivery.Broker).
	Kills []Kill
	// Terminations are the SIGTERM signals that were sent to brokers' processes.
	Terminations []Termination
	// ListedGroups holds, by node name, all replica groups that discovery has listed the node with since the scenario's start: a broker may
	// still use an older list.
	ListedGroups map[string][]int
}
