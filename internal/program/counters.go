package program

import (
	"fmt"
	"runtime"
	"runtime/metrics"

	"github.com/sirupsen/logrus"

	"brackenfront/balance"
	"brackenfront/internal/routing"
	"brackenfront/internal/transport/clients"
	"brackenfront/internal/transport/nodes"
	"brackenfront/internal/transport/watch"
)

// logZone logs a message with the status of one zone in the failover between zones. The loads in it are those of this broker
// alone, in seconds of the nodes' work per second.
func logZone(log *logrus.Logger, message string, zone routing.ZoneStatus) {
	log.WithFields(logrus.Fields{
		"hall":    zone.Name,
		"stage":   zone.Stage.String(),
		"listed":  zone.ListedNodes,
		"down":    zone.DownNodes,
		"bears":   fmt.Sprintf("%.3f", zone.HealthyLoad),
		"may":     fmt.Sprintf("%.3f", zone.LoadCap),
		"share":   fmt.Sprintf("%.2f", zone.Share),
		"slow":    fmt.Sprintf("%.2f", zone.RelativeReplyTime),
		"losses":  zone.Losses,
		"strikes": zone.LossScore,
	}).Info(message)
}

// logCounters logs the counts of the components that every broker has, in one line for each group of counts.
func logCounters(log *logrus.Logger, router *routing.Router, roundTripper *routing.RoundTripper, nodePool *nodes.ConnPool, server *clients.Server,
	watcher *watch.Watcher) {
	searchCounts := router.Counts()
	nodeCounts := nodePool.Counts()
	clientCounts := server.Counts()
	discoveryCounts := watcher.Counts()
	logSearchCounts(log, searchCounts, roundTripper.InvalidRequests())
	logAttemptCounts(log, searchCounts)
	logNodeCounts(log, nodeCounts, searchCounts)
	log.WithFields(logrus.Fields{
		"accepted": clientCounts.Accepted,
		"closed":   clientCounts.Closed,
		"peak":     clientCounts.PeakOpen,
		"codes":    clientCounts.ClosedByCode,
	}).Info("counters: clients")
	logProcessCounts(log, router.SlowSearches())
	logZoneCounts(log, router)
	log.WithFields(logrus.Fields{
		"watches":  discoveryCounts.Calls,
		"updates":  discoveryCounts.Updates,
		"entries":  discoveryCounts.HostEntries,
		"broken":   discoveryCounts.MalformedUpdates,
		"old":      discoveryCounts.StaleUpdates,
		"astray":   searchCounts.OutdatedUpdates,
		"lists":    searchCounts.ListUpdates,
		"restated": searchCounts.SettingsUpdates,
	}).Info("counters: discovery")
}

// logSearchCounts logs the router's counts of searches. invalidRequests is RoundTripper.InvalidRequests, of the requests over
// HTTP.
func logSearchCounts(log *logrus.Logger, counts routing.Counts, invalidRequests int) {
	log.WithFields(logrus.Fields{
		"taken":        counts.Accepted,
		"answered":     counts.Succeeded,
		"partial":      counts.Partial,
		"shed":         counts.Rejected,
		"errored":      counts.Failed,
		"gone":         counts.ClientsLeft,
		"inhand":       counts.InFlight,
		"full":         counts.Overloaded,
		"twice":        counts.Duplicates,
		"redelivered":  counts.RefusedRedeliveries,
		"unremembered": counts.RefusedUnrecordable,
		"remembered":   counts.RecordedSearches,
		"refetched":    counts.SecondSteps,
		"bad":          invalidRequests,
	}).Info("counters: searches")
}

// logAttemptCounts logs the router's counts of attempts, by their outcomes.
func logAttemptCounts(log *logrus.Logger, counts routing.Counts) {
	log.WithFields(logrus.Fields{
		"sent":      counts.AttemptsSent,
		"ok":        counts.Outcomes[balance.OK],
		"error":     counts.Outcomes[balance.Failed],
		"overload":  counts.Outcomes[balance.Overloaded],
		"timeout":   counts.Outcomes[balance.TimedOut],
		"unreached": counts.Outcomes[balance.Unreachable],
		"reset":     counts.Outcomes[balance.ConnectionLost],
		"cancelled": counts.Outcomes[balance.Cancelled],
		"moot":      counts.Outcomes[balance.NotSent],
		"out":       counts.AttemptsInFlight,
		"late":      counts.LateResults,
	}).Info("counters: sub-requests")
}

// logNodeCounts logs the counts of the connections to nodes that speak frames, and the router's counts of its turns and of its
// calls of nodes' backends.
func logNodeCounts(log *logrus.Logger, nodeCounts nodes.Counts, searchCounts routing.Counts) {
	log.WithFields(logrus.Fields{
		"dialled":  nodeCounts.Dialled,
		"closed":   nodeCounts.Closed,
		"written":  nodeCounts.AttemptsWritten,
		"givenup":  nodeCounts.AttemptsCancelled,
		"replies":  nodeCounts.Replies,
		"strays":   nodeCounts.UnmatchedReplies,
		"probes":   nodeCounts.Probes,
		"bytesout": nodeCounts.BytesOut,
		"bytesin":  nodeCounts.BytesIn,
		"codes":    nodeCounts.ClosedByCode,
		"turns":    searchCounts.Turns,
		"calls":    searchCounts.Calls,
	}).Info("counters: nodes")
}

// logZoneCounts logs the counts of the failover between zones, in one line for all zones and one for each of them. It logs
// nothing if that failover is off.
func logZoneCounts(log *logrus.Logger, router *routing.Router) {
	zoneStatuses, zoneCounts := router.ZoneStatuses()
	if len(zoneStatuses) == 0 {
		return
	}
	log.WithFields(logrus.Fields{
		"losses":       zoneCounts.Losses,
		"returns":      zoneCounts.Recoveries,
		"trials":       zoneCounts.Trials,
		"failedtrials": zoneCounts.FailedTrials,
	}).Info("counters: halls")
	for _, zone := range zoneStatuses {
		logZone(log, "counters: hall", zone)
	}
}

// logSlowSearch logs a search that waited for this process for long at one step, with its delays in milliseconds.
func logSlowSearch(log *logrus.Logger, slow routing.SlowSearch) {
	log.WithFields(logrus.Fields{
		"id":         slow.ID,
		"class":      slow.Class,
		"answered":   slow.Answered,
		"unread_ms":  slow.Delays.Unread.Milliseconds(),
		"queued_ms":  slow.Delays.Queued.Milliseconds(),
		"routed_ms":  slow.Delays.Routed.Milliseconds(),
		"woken_ms":   slow.Delays.Woken.Milliseconds(),
		"suppressed": slow.Suppressed,
	}).Warn("slow search")
}

// logProcessCounts logs what the process takes, and how long goroutines that could run waited for a processor since the start. slowSearches
// is Router.SlowSearches.
func logProcessCounts(log *logrus.Logger, slowSearches int64) {
	heap, live := heapBytes()
	waits := schedulingWaits()
	log.WithFields(logrus.Fields{
		"goroutines":       runtime.NumGoroutine(),
		"heap":             heap,
		"live":             live,
		"slow":             slowSearches,
		"wait_p99_us":      waits.waitQuantile(0.99).Microseconds(),
		"wait_p999_us":     waits.waitQuantile(0.999).Microseconds(),
		"wait_longest_us":  waits.waitQuantile(1).Microseconds(),
		"collections":      waits.collections,
		"collect_p99_us":   waits.pauseQuantile(0.99).Microseconds(),
		"collect_worst_us": waits.pauseQuantile(1).Microseconds(),
	}).Info("counters: process")
}

// heapBytes returns how many bytes of the heap are occupied now, and how many were in use at the last garbage collection (0
// before the first). Reading them does not stop the program's goroutines.
func heapBytes() (occupied, live uint64) {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64(), samples[1].Value.Uint64()
}

// fleetCounters returns this broker's counts since its start, such as of accepted searches, by their names in the report on the
// whole fleet, which adds up those of all brokers.
func fleetCounters(router *routing.Router, roundTripper *routing.RoundTripper) map[string]int64 {
	counts := router.Counts()
	return map[string]int64{
		"taken":    int64(counts.Accepted),
		"answered": int64(counts.Succeeded),
		"partial":  int64(counts.Partial),
		"shed":     int64(counts.Rejected),
		"errored":  int64(counts.Failed),
		"gone":     int64(counts.ClientsLeft),
		"inhand":   int64(counts.InFlight),
		"full":     int64(counts.Overloaded),
		"twice":    int64(counts.Duplicates),
		"bad":      int64(roundTripper.InvalidRequests()),
		"sent":     int64(counts.AttemptsSent),
		"out":      int64(counts.AttemptsInFlight),
	}
}
