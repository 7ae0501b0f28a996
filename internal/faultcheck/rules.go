package faultcheck

import "fmt"

// Rule is a rule of the operators' contract that a violation breaks.
type Rule string

// The rules that Check applies.
const (
	// RuleRepeated forbids a non-idempotent attempt after an earlier one that may have run.
	RuleRepeated Rule = "non-idempotent attempt after one that may have run"
	// RuleRefused forbids the refusal of a non-idempotent search of which a part may have run.
	RuleRefused Rule = "refused though a part may have run"
	// RuleConcurrentAttempts forbids two attempts of a part in flight at once, where the settings allow no second copies.
	RuleConcurrentAttempts Rule = "two attempts of a part at once"
	// RuleKeyWindow forbids an idempotency-keyed attempt later than the key's window plus Contract.Slack after one that may have run.
	RuleKeyWindow Rule = "idempotency-keyed attempt past its window"
	// RuleUnrequested forbids an attempt that no client's request can have caused.
	RuleUnrequested Rule = "attempt that no client requested"
	// RuleValue forbids a value in an answer that no node gave for a shard of the request.
	RuleValue Rule = "answer with a value that no node gave"
	// RulePartial forbids an answer from fewer shards than its class needs, or one marked whole that is not.
	RulePartial Rule = "answer from too few shards, or wrongly marked whole"
	// RuleAttempts forbids more attempts of a part than the settings allow.
	RuleAttempts Rule = "more attempts than the settings allow"
	// RuleAfterClientClosed forbids an attempt for a search whose client closed more than clientClosedAllowance earlier.
	RuleAfterClientClosed Rule = "attempt after the client had closed"
	// RuleAfterAnswer forbids an attempt for a search that was answered, or whose connection ended, more than Contract.Slack earlier.
	RuleAfterAnswer Rule = "attempt after the answer"
	// RulePlacement forbids an attempt at a node that does not hold its shard.
	RulePlacement Rule = "attempt at a node that does not hold its shard"
	// RuleUnanswered forbids that a request which the broker can have read has no complete answer by the client's deadline plus
	// Contract.Slack and schedulingAllowance (see checkUnanswered for pauses and SIGTERM).
	RuleUnanswered Rule = "request read and not answered in time"
	// RuleDeadline forbids an attempt whose stated wait exceeds the time that its client has left by more than deadlineAllowance.
	RuleDeadline Rule = "attempt that states a longer wait than its client has left"
)

// Violation is one violation of a rule, as Check reports it.
type Violation struct {
	// Rule is the rule that was broken.
	Rule Rule
	// Search is the id of the search in which the rule was broken.
	Search string
	// Shard is the shard that is concerned; -1 where the violation concerns the whole search.
	Shard int
	// Detail says in words how the rule was broken.
	Detail string
	// Attempts are the indices, in History.Attempts, of the attempts that show the violation; none for RuleValue,
	// RulePartial and RuleUnanswered, which concern a delivery.
	Attempts []int
	// OtherBroker is set if the same request was delivered to another broker or to a later process, and the violation may consist of what
	// both did: without communication between them, neither can know of it.
	OtherBroker bool
}

// String returns the violation as one line of a report, in the form "RULE: search ID, shard NUMBER: DETAIL".
func (v Violation) String() string {
	return fmt.Sprintf("%s: search %s, shard %d: %s", v.Rule, v.Search, v.Shard, v.Detail)
}
