// Package zones tracks the health of whole zones (data centres or availability zones) on behalf of one broker. It detects that
// a zone is lost, caps how much of a lost zone's load each other zone may take over, and lets a lost zone return step by step.
// Which node gets a part and which search is rejected is decided by package balance; while all zones are healthy, this package
// restricts nothing.
//
// The caller creates a Guard with New and reports to it the node list (SetNode, EndList), the time (Tick, several times a
// second) and events (RecordDemand, RecordSent, RecordSuccess, RecordFailure, RecordProbeResult). It asks Admits before it
// sends a part, Utilization before it accepts a search, and NextProbe for nodes that are to be probed. The package does no I/O,
// reads no clock and starts no goroutine. Times are in seconds of the caller's clock, work is in seconds of one node's
// processing time, and zones and nodes are identified by small indices.
//
// A broker sees only its own traffic, so every load figure is this broker's share only: the load that it sent to a zone while
// the zone was healthy. The shares of all brokers add up to the whole, and so do the caps on them, without any message between
// brokers; docs/halls.md says for which cases this holds.
//
// Terms of this package:
//   - A zone is lost if it fails as a whole, or has no active node on the node list.
//   - A zone is unhealthy if it is not in stage Healthy, answers far more slowly than another zone, or lacks many of its
//     usual nodes, or if it is one of the configured zones and never had an active node on the node list.
//   - A trial is the test of a lost zone with a few parts of real searches, after a delay.
//   - A trial part is a part, at most one at a time for each node, that is sent to a node of a zone on trial, or to a down
//     node of any other zone, while caps are in force.
//   - The healthy load of a zone is the load that this broker sends it when it is healthy.
//   - A zone is returning from its trial on until it gets its whole load again: in the stages Trial and RampingUp.
//   - The ramp-up is the time after a passed trial in which the zone's share of its load is raised step by step.
//   - A node is down if it failed twice or more in a row, or has not completed a part since its zone was lost.
//   - A failure run is all failures of a zone since its last success, or since its stage last changed; failures of trial parts
//     are left out.
//   - A zone is flapping if it alternates between failures and successes so fast that its failure runs stay short.
//   - A round of probes is a set of health probes that are sent to several nodes of a zone at about the same time.
//   - The demand is the work that clients ask of this broker, in seconds of work per second.
//   - The relative reply time is a part's reply time as a multiple of the usual one of its search class, a ratio without unit.
//   - A zone's token bucket holds the work that this broker may send to the zone now; while caps are in force, each part that
//     is sent lowers its level, and time refills it.
//   - A snapshot is a record of the load of each zone, taken at regular intervals while no caps are in force.
//   - A load cap is the most work that this broker may send to a zone, in seconds of work per second.
//   - Spillover is the load of a lost zone that other zones take over.
//   - A node is cold for some time after its start, in which it has only part of its capacity.
package zones

import (
	"errors"
	"math"

	"brackenfront/random"
)

// Config holds the settings of a Guard, which the operator and the deployment choose.
type Config struct {
	// Seed is the seed of the random numbers that make delays differ from broker to broker, so that brokers need different
	// seeds.
	Seed uint64
	// SpilloverShare is how much load the zones may take beyond their healthy loads while a zone is lost: a fraction of the
	// healthy load of all zones (0.25 is a quarter), divided among the zones by their number of nodes. It must be 0 or more.
	SpilloverShare float64
	// InitialShare is the fraction of its healthy load that a lost zone may get in its trial and right after passing it,
	// above 0 and at most 1.
	InitialShare float64
	// WarmupSeconds is the least time, in seconds, from when a lost zone passes its trial until it may have its whole load
	// again, 0 or more.
	WarmupSeconds float64
	// RetryDelaySeconds is the delay in seconds, above 0, from a zone's loss until its first health probe or, if probes are
	// not allowed, its trial. It doubles with each further loss by failures; a zone that left the node list always has this
	// delay. A random factor of 0.75 to 1.25 is applied to it.
	RetryDelaySeconds float64
	// MaxRetryDelaySeconds is the upper bound, in seconds, of the delay from a zone's loss until its first health probe or
	// trial, however many losses there were. A random factor of 0.75 to 1.25 is applied afterwards.
	MaxRetryDelaySeconds float64
	// LossMemorySeconds is how many seconds, above 0, a zone must stay healthy until one earlier loss no longer lengthens
	// the delay (RetryDelaySeconds) after its next loss.
	LossMemorySeconds float64
	// ConfiguredZones is the number of zones that exist, whether the node list names them or not; 0 to go by the zones that
	// the list has named. A zone of these that the list never named counts as unhealthy, so that a broker that starts
	// during a loss does not take the remaining zones for the whole fleet.
	ConfiguredZones int
	// ProbesAllowed is true if nodes may be sent health probes. If not, a lost zone is tried, once its delay is over, with
	// parts of searches and no probe before them.
	ProbesAllowed bool
}

// Guard tracks the health of all zones for one broker and limits the work that each may be sent. It is not safe for
// concurrent use.
type Guard struct {
	// Config holds the settings that New was given.
	Config
	// random is the source of the random numbers that make delays, and the first levels of token buckets, differ from broker to
	// broker.
	random random.Source
	// lastTickAt is the time, in seconds, of the last call of Tick, which reassesses all zones; 0 before the first.
	lastTickAt float64
	// refilledAt is the time, in seconds, up to which the zones' token buckets have been refilled.
	refilledAt float64
	// zones holds the state of each zone by the index that SetNode was given for it.
	zones []zoneState
	// nodes holds the state of each node by the index that SetNode was given for it.
	nodes []nodeState
	// capsActive is true while the zones' load caps are in force, because a zone is unhealthy or was so within the last
	// capLiftDelaySeconds.
	capsActive bool
	// lastUnhealthyAt is the last time, in seconds, at which a zone was found unhealthy; -Inf for never.
	lastUnhealthyAt float64
	// snapshotAt is the time, in seconds, of the last snapshot of the zones' loads; 0 before the first.
	snapshotAt float64
	// demandSinceTick is the work that searches asked of this broker since the last call of Tick, in seconds of work.
	demandSinceTick float64
	// demand is the running mean, over about demandWindowSeconds, of the work asked of this broker, in seconds of work per
	// second; each Tick updates it.
	demand float64
	// demandSeconds is the time, in seconds, over which demand was averaged, at most demandWindowSeconds.
	demandSeconds float64
	// steadyDemand is a running mean of the work asked of this broker, in seconds of work per second. Unlike demand it
	// rises only slowly, so that a short surge hardly changes it. The load caps are derived from it while there is no
	// record of the zones' healthy loads.
	steadyDemand float64
	// largestSearch is the work of the largest recent search, in seconds of work; it decays with each Tick. The zones'
	// token buckets are made large enough for it, as far as burstSeconds says.
	largestSearch float64
	// largestPart is the work of the largest part, in seconds of work, for which Admits was recently asked while caps were
	// in force; it decays with each Tick. The token buckets have room for minBucketParts such parts at least.
	largestPart float64
	// counts are the totals over all zones, since New made the Guard, of losses, recoveries, trials and changes of stage.
	counts Counts
}

// zoneState is what a Guard knows of one zone. Loads and rates are in seconds of work per second, of this broker alone. Each
// call of evaluate sets loadCap and, while caps are in force, also refillRate, bucketSize and trialRate.
type zoneState struct {
	// stage says whether the zone is healthy, lost, or how far it has returned from a loss.
	stage Stage
	// listedNodes is the number of the zone's nodes that the node list names as active.
	listedNodes int
	// downNodes is the number of listed nodes that are down: they have failed twice or more in a row, or have not completed
	// a part since the zone was lost.
	downNodes int
	// probedUpNodes is how many of the down nodes a health probe found working.
	probedUpNodes int
	// usualNodes is the number of nodes that the zone usually has. Each snapshot takes over a rise of listedNodes in full,
	// and a fall slowly (as a moving average, so that usualNodes need not be whole). It starts at the first number that was
	// listed; 0 before that.
	usualNodes float64
	// workSinceTick is the work that succeeded in the zone since the last call of Guard.Tick, in seconds of work.
	workSinceTick float64
	// meanLoad is the running mean, over about loadWindowSeconds, of the work that succeeds in the zone, in seconds of work per
	// second. It is updated only while all zones are healthy and have been so for relearnDelaySeconds.
	meanLoad float64
	// snapshotLoad is the value that meanLoad had at the last snapshot, in seconds of work per second.
	snapshotLoad float64
	// healthyLoad is the zone's healthy load by this broker's record, in seconds of work per second: the value that meanLoad
	// had at the snapshot before the last one. A later value may be too low, because a loss is noticed late.
	healthyLoad float64
	// meanLoadSeconds is the length of time, in seconds, over which meanLoad was averaged, at most loadWindowSeconds. Below
	// half of that, the zone's load counts as not known.
	meanLoadSeconds float64
	// failureShare is the moving average, from 0 to 1, of the outcomes of the zone's parts, in which a failure is 1 and a
	// success 0; the newest outcome has the weight failureLearnRate. A change of stage sets it to 0.
	failureShare float64
	// recentlyFailedNodes is the number of nodes that failed within the last flapWindowSeconds, even if they have succeeded
	// since. Each Tick counts them anew; in between only failures are added.
	recentlyFailedNodes int
	// relativeReplyTime is the moving average of the relative reply times of the zone's parts (a ratio without unit), in which
	// the newest one has the weight replyTimeLearnRate; 0 before the first.
	relativeReplyTime float64
	// slowed is true while the zone's reply times are far above those of the fastest zone: from slowFactor times those
	// until they are below slowEndFactor times those. In a stage other than Healthy it is false.
	slowed bool
	// failureRunNodes is the number of different nodes with failures in the current failure run. If it is large enough the
	// zone is taken for lost.
	failureRunNodes int
	// failureRunFailures is the number of failures, of any of its nodes, in the current failure run.
	failureRunFailures int
	// failureRunNumber is the serial number of the zone's current failure run; it is not a count of failures. By
	// nodeState.countedInRun, each node is counted once in a run.
	failureRunNumber int
	// failureRunStartedAt is the time, in seconds, of the first failure of the current failure run; without meaning while
	// failureRunNodes is 0.
	failureRunStartedAt float64
	// lastSuccessAt is the time, in seconds, of the last success from this zone; -Inf for never.
	lastSuccessAt float64
	// loadCap is the most work that this broker may send to the zone, in seconds of work per second, on average over any
	// capWindowSeconds; +Inf for no bound.
	loadCap float64
	// refillRate is the rate at which the zone's token bucket is refilled, in seconds of work per second.
	refillRate float64
	// bucketSize is the size of the zone's token bucket, in seconds of work: what the zone may get at once.
	bucketSize float64
	// bucketLevel is the work left in the zone's token bucket, in seconds of work.
	bucketLevel float64
	// reservedWork is the part of bucketLevel, in seconds of work, that ReserveAllowance has set aside for parts of the search
	// on which the caller is deciding; ReleaseReservations sets it to 0 after the decision.
	reservedWork float64
	// trialRate is the rate at which the token bucket for trial parts is refilled, in seconds of work per second.
	trialRate float64
	// trialLevel is the work left in the token bucket for trial parts, in seconds of work; it is refilled up to
	// minBucketParts of the largest recent part. Each trial starts it at a random level.
	trialLevel float64
	// rampShare is the fraction, from 0 to 1, of its healthy load that a zone may get while it returns from a loss. It is
	// InitialShare in stage Trial, and rises in stage RampingUp.
	rampShare float64
	// workSinceRampStep is the work that succeeded since the zone passed its trial or rampShare was last raised, in seconds
	// of work.
	workSinceRampStep float64
	// rampStartedAt is the time, in seconds, at which the zone passed its trial.
	rampStartedAt float64
	// lossScore is the weighted number of recent failures of the zone. Each point doubles the delay after a loss or a failed
	// trial until the zone is tried again (markLost). A loss adds 1, a failed trial failedTrialLossScore, and each
	// LossMemorySeconds in stage Healthy subtract 1.
	lossScore float64
	// lossMemoryStartedAt is the time, in seconds, at which the zone's stage last changed or lossScore was last lowered.
	// Once the zone has been healthy for LossMemorySeconds since then, lossScore is lowered by 1.
	lossMemoryStartedAt float64
	// retryAt is the time, in seconds, of the next trial of a lost zone, or of the next round of health probes. A loss and
	// each round set it; without meaning in stage Healthy.
	retryAt float64
	// probeGapSeconds is the time, in seconds, between two rounds of health probes of the zone, before it is multiplied by a
	// random factor (delayFactor). It doubles with each round that finds no working node.
	probeGapSeconds float64
	// probeRoundNodes is the number of the zone's nodes that are probed in the next round of health probes:
	// firstProbeRoundNodes after a loss, doubled after each round that found a working node.
	probeRoundNodes int
	// nextProbedNode is the index of the node at which the next round of health probes begins its search for down nodes.
	nextProbedNode int
	// probesInFlight is the number of health probes of the current round whose result is not known yet. No decision depends
	// on it.
	probesInFlight int
	// probesSucceeded is the number of nodes that the last round of health probes has found working so far.
	probesSucceeded int
	// trialSuccesses is the number of parts that succeeded in the current trial.
	trialSuccesses int
	// trialFailures is the number of failures in the current trial; a part without any answer counts silenceFailureWeight.
	trialFailures float64
	// losses is how many times the zone was lost since New made the Guard; a failed trial is not counted.
	losses int
}

// nodeState is what a Guard knows of one node.
type nodeState struct {
	// zone is the index of the node's zone in Guard.zones.
	zone int
	// listed is true if the node list names the node as active.
	listed bool
	// inNewList is true if SetNode has named the node since BeginFullList announced a full node list. At the end of that list,
	// EndList takes the nodes for which it is false off the list.
	inNewList bool
	// down is true if the node failed twice or more in a row, or has not completed a part since its zone was lost.
	down bool
	// probedUp is true if the node is down and a probe found it working.
	probedUp bool
	// probeDue is true if NextProbe is to return the node, for the caller to send it a health probe. A round of probes sets
	// it. NextProbe, a loss of the zone or removal from the list clears it.
	probeDue bool
	// failuresInRow is the number of failures since the node's last success.
	failuresInRow int
	// firstFailureAt is the time, in seconds, of the first failure since the node's last success; without meaning while
	// failuresInRow is 0.
	firstFailureAt float64
	// trialPartTimeoutAt is the time, in seconds, from which on the node may get another trial part although the last one
	// has neither succeeded nor failed yet.
	trialPartTimeoutAt float64
	// lastFailureAt is the time, in seconds, of the node's last failure; -Inf for none.
	lastFailureAt float64
	// countedInRun is the number (zoneState.failureRunNumber) of the failure run in which the node was last counted as
	// failed; -1 for none.
	countedInRun int
	// trialPartInFlight is true from when the node is sent a trial part until the part succeeds, fails or is reported
	// silent, the zone is lost, or the node is taken off the list.
	trialPartInFlight bool
}

// Counts are totals over all zones, since New made the Guard, of losses, recoveries, trials and changes of stage.
type Counts struct {
	// Losses is how many times any of the zones was lost; a failed trial is not counted.
	Losses int
	// Recoveries is how many times a zone became healthy again after a loss.
	Recoveries int
	// Trials is the number of trials that were started.
	Trials int
	// FailedTrials is the number of trials that failed, each of which put the zone back in stage Lost.
	FailedTrials int
	// StageChanges is the number of changes of any zone's Stage, such as from Healthy to Lost. A change of this number
	// tells a caller to report the zones' states again.
	StageChanges int
}

// New returns a Guard that knows no zones yet. It returns an error if a setting is out of range.
func New(config Config) (*Guard, error) {
	switch {
	case !(config.SpilloverShare >= 0) || math.IsInf(config.SpilloverShare, 0):
		return nil, errors.New("zones: the spillover share must be finite and 0 or more")
	case !(config.InitialShare > 0 && config.InitialShare <= 1) || !(config.WarmupSeconds >= 0):
		return nil, errors.New("zones: the initial share must be above 0 and at most 1, and the warm-up time 0 or more")
	case !(config.RetryDelaySeconds > 0) || !(config.MaxRetryDelaySeconds >= config.RetryDelaySeconds) || !(config.LossMemorySeconds > 0):
		return nil, errors.New("zones: retry delay and loss memory must be above 0, and the longest delay no less than the first")
	}
	guard := &Guard{Config: config, lastUnhealthyAt: math.Inf(-1)}
	guard.random.Seed(config.Seed)
	return guard, nil
}

// CapsActive returns true while the load caps are in force, because a zone is unhealthy or was so within the last
// capLiftDelaySeconds.
func (g *Guard) CapsActive() bool { return g.capsActive }

// Counts returns the numbers of losses, recoveries, trials and changes of stage in all zones since New made the Guard.
func (g *Guard) Counts() Counts { return g.counts }

// Status describes one zone as this broker sees it. Loads are in seconds of work per second, of this broker alone.
type Status struct {
	// Stage says whether the zone is healthy, lost, or how far it has returned from a loss.
	Stage Stage
	// ListedNodes is the number of nodes that the list names as active.
	ListedNodes int
	// DownNodes is how many of the listed nodes have failed twice or more in a row, or have not completed a part since the zone
	// was lost.
	DownNodes int
	// HealthyLoad is the load from this broker that the zone carries when healthy, in seconds of work per second, by this
	// broker's record; 0 while it has none.
	HealthyLoad float64
	// LoadCap is the load that this broker may send to the zone now, in seconds of work per second; +Inf for no bound, 0
	// for a zone that gets no parts or trial parts only.
	LoadCap float64
	// Share is the fraction, from 0 to 1, of its healthy load that the zone may get while it returns from a loss, in the
	// stages Trial and RampingUp; without meaning in other stages.
	Share float64
	// RelativeReplyTime is the moving average of the relative reply times of the zone's parts (a ratio without unit), in which
	// the newest one has the weight replyTimeLearnRate; 0 before the first.
	RelativeReplyTime float64
	// Losses is how many times the zone was lost since New made the Guard; a failed trial is not counted.
	Losses int
	// LossScore is the weighted number of the zone's recent failures, which lengthen the delay until it is tried again after a
	// loss or a failed trial: a loss adds 1, a failed trial less, and each LossMemorySeconds in stage Healthy subtract 1.
	LossScore float64
	// RetryAt is the time, in seconds of the caller's clock, at which a zone that is not healthy is next tested, with
	// health probes or with a few parts of searches; without meaning in stage Healthy.
	RetryAt float64
}

// Status returns the state of the zone with this index; it is zero for a zone that the list never named.
func (g *Guard) Status(zoneIndex int) (status Status) {
	if zoneIndex < len(g.zones) {
		zone := &g.zones[zoneIndex]
		status = Status{Stage: zone.stage, ListedNodes: zone.listedNodes, DownNodes: zone.downNodes, HealthyLoad: zone.healthyLoad,
			LoadCap: zone.loadCap, Share: zone.rampShare, RelativeReplyTime: zone.relativeReplyTime,
			Losses: zone.losses, LossScore: zone.lossScore, RetryAt: zone.retryAt}
	}
	return status
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
