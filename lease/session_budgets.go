package lease

import "brackenfront/budget"

// DefineBudget sets the definition of the budget with this name to spec, or removes the budget if spec is nil. It returns
// false, and does nothing, if the session does not hold BudgetsLease or is ending. The outcome comes as an Event with the name
// BudgetsLease and Note set.
func (s *Session) DefineBudget(name string, spec *budget.Spec) bool {
	lease := s.requests[BudgetsLease]
	if lease == nil || lease.status != Granted || lease.releasing || s.ending {
		return false
	}
	s.queuedOps = append(s.queuedOps, Op{Kind: DefineBudget, Name: name, Budget: spec})
	return true
}

// ReportUsage sets the report of what the process could use, used and refused of a budget since its last report, in thousandths
// of a unit (for a rate: of a unit per second). The report is sent with the next call: at once if soon is set, otherwise with
// the next renewal.
func (s *Session) ReportUsage(name string, available, used, refused budget.Amount, soon bool) {
	usage := s.usage[name]
	usage.Name = name
	usage.Available = available
	usage.Used = used
	usage.Refused = refused
	s.usage[name] = usage
	s.unsentUsage[name] = true
	s.callSoon = s.callSoon || soon
}

// AcknowledgeShare tells the council, with the next call, which is made at once, that the share of the budget with this
// Share.Number is in force: the process uses no more than that share now, and will not go back to an earlier, larger one.
func (s *Session) AcknowledgeShare(name string, number uint64) {
	usage := s.usage[name]
	usage.Name = name
	usage.AckedShare = max(usage.AckedShare, number)
	s.usage[name] = usage
	s.unsentUsage[name] = true
	s.callSoon = true
}

// TakeShares returns the shares of budgets that were received since it was last called, in their order. A zero Share among
// them means that the session was lost: of each budget only the floor may be used then. Later shares overwrite the returned
// slice.
func (s *Session) TakeShares() []Share {
	shares := s.newShares
	s.newShares = s.newShares[:0]
	return shares
}
