package flightnodes

import (
	"maps"

	"github.com/sirupsen/logrus"
)

// Counts are totals over all connections of a ConnPool since it was made.
type Counts struct {
	// ConnectionsDialled counts the connections that were dialled, also those that failed.
	ConnectionsDialled int
	// ConnectionsClosed counts the connections that have ended, including those whose dial failed.
	ConnectionsClosed int
	// AttemptsWritten counts the requests that the operating system has taken completely.
	AttemptsWritten int
	// AttemptsCancelled counts the attempts that were in flight, and not cancelled before, when Cancel was called for them.
	AttemptsCancelled int
	// Replies counts the attempts that succeeded: their nodes answered with a table.
	Replies int
	// Probes counts the health probes that were begun.
	Probes int
	// MessagesAfterEnd counts the messages that nodes sent on a stream after the result message, which should be the last one.
	MessagesAfterEnd int
	// InvalidMessages counts the messages that checkMessage rejected, and those in the wrong order: a second schema, or a batch
	// before the schema.
	InvalidMessages int
	// OversizedParts counts the attempts whose answers were dropped because they exceeded Limits.MaxPartBytes.
	OversizedParts int
	// PartsWithoutMemory counts the attempts whose answers were dropped because Limits.AnswerMemory, the memory for all unfinished
	// answers together, had no room for them.
	PartsWithoutMemory int
	// BytesReceived is the size, in bytes, of all Arrow messages (header and body) that came in answers, also of rejected ones.
	// Result messages, which have no header, do not count.
	BytesReceived int64
	// ClosedByCode counts the closed connections by close code, a word for the reason: "refused", "descriptors" (none was free to
	// dial) or "unreached" (any other failed dial); "ended" (by the node, or retiring), "idle", "renewed" (CloseIdleOrSilent, while
	// unused), "silent", "short" (CloseUnused), "stuck" (codeSendTimeout) or "stopped" (Close).
	ClosedByCode map[string]int
	// StreamsByStatus counts the ended attempts by how their streams ended: the name of the gRPC status, or "moot" (cancelled or
	// too late before the request was sent), "unreached" (the connection was closed), "spoilt" (invalid messages), "wordless"
	// (no result message) or "tableless" (a success without a table).
	StreamsByStatus map[string]int
}

// Counts returns a copy of the totals.
func (p *ConnPool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.ClosedByCode = maps.Clone(counts.ClosedByCode)
	counts.StreamsByStatus = maps.Clone(counts.StreamsByStatus)
	return counts
}

// LogCounters writes the totals to log in one line, each under its own field, along with the number of bytes now reserved in
// Limits.AnswerMemory.
func (p *ConnPool) LogCounters(log *logrus.Logger) {
	counts := p.Counts()
	log.WithFields(logrus.Fields{
		"dialled":  counts.ConnectionsDialled,
		"closed":   counts.ConnectionsClosed,
		"written":  counts.AttemptsWritten,
		"givenup":  counts.AttemptsCancelled,
		"replies":  counts.Replies,
		"probes":   counts.Probes,
		"strays":   counts.MessagesAfterEnd,
		"spoilt":   counts.InvalidMessages,
		"large":    counts.OversizedParts,
		"noroom":   counts.PartsWithoutMemory,
		"held":     p.limits.AnswerMemory.Reserved(),
		"bytesin":  counts.BytesReceived,
		"codes":    counts.ClosedByCode,
		"statuses": counts.StreamsByStatus,
	}).Info("counters: flight leaves")
}
