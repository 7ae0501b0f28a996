package flightfrontend

import "github.com/sirupsen/logrus"

// LogCounters writes the totals to log in one line, each under its own field.
func (f *Frontend) LogCounters(log *logrus.Logger) {
	counts := f.Counts()
	log.WithFields(logrus.Fields{
		"accepted": counts.Accepted,
		"closed":   counts.Closed,
		"refused":  counts.RejectedConns,
		"streams":  counts.Streams,
		"bad":      counts.BadRequests,
		"statuses": counts.StreamsByStatus,
		"codes":    counts.ClosedByCode,
	}).Info("counters: flight clients")
}
