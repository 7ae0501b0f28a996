package faultcheck

import (
	"fmt"
	"strings"
	"time"
)

// SearchLog returns, as text, what was recorded of a search: one line for each delivery, each attempt, and each change by SIGHUP of the
// contract of a broker that a delivery went to. Times are in milliseconds after the search's first request that was completely written; a
// hyphen stands for a zero time.
func (h *History) SearchLog(search string) string {
	var first time.Time
	for _, d := range h.Deliveries {
		if d.Search == search && first.IsZero() {
			first = d.WrittenAt
		}
	}
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", milliseconds(t.Sub(first)))
	}
	var lines []string
	brokers := map[string]bool{}
	for _, d := range h.Deliveries {
		if d.Search == search {
			brokers[d.Broker] = true
			lines = append(lines, fmt.Sprintf("delivery %d to %s (%s) whole %s closed %s ended %s status %d complete %t unread %t killed %s: %s %v",
				d.Index, d.Broker, d.Fault, since(d.WrittenAt), since(d.ClientClosedAt), since(d.EndedAt), d.Status, d.Complete, d.Unread,
				since(d.BrokerKilledAt), d.Class, d.Shards))
		}
	}
	for _, a := range h.Attempts {
		if a.Search == search {
			lines = append(lines, fmt.Sprintf("attempt %d shard %d second %t on %s came %s waits %s ended %s %v ran %t value %q", a.Index, a.Shard,
				a.SecondStep, a.Connection, since(a.ArrivedAt), a.BrokerWait, since(a.EndedAt), a.Outcome, a.Ran, a.Value))
		}
	}
	for _, change := range h.ContractChanges {
		if brokers[change.Broker] && !change.At.IsZero() {
			lines = append(lines, fmt.Sprintf("%s changes at %s to %v", change.Broker, since(change.At), change.Contract))
		}
	}
	return strings.Join(lines, "\n")
}
