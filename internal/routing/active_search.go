package routing

import (
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// activeSearch is one search from its arrival until its last attempt has ended. Only the router's goroutine uses its fields,
// except for the first group, which other goroutines use as well.
type activeSearch struct {
	// router is the router that runs the search.
	router *Router
	// request is the search as the client asked for it: its id, class, parts and text.
	request *protocol.Search
	// deadline is when the client stops waiting for the answer or, if that is earlier, when the time ends in which a search
	// that was delivered before may be run again (repeatDeadline).
	deadline time.Time
	// answers receives the final answer, for the goroutine that called Search; it has room for one element, so that the
	// router never waits.
	answers chan pendingAnswer
	// permission is shared by all attempts of the search: they may be written to nodes only until it is withdrawn, which
	// happens once the client has left or its deadline has passed, and before a final answer that an attempt could still
	// follow.
	permission parts.SendPermission
	// clientSeenAt is when the client was last known to be connected: the arrival of the search, or the latest check of the
	// connection.
	clientSeenAt time.Time

	// brokerSearch is the search as package balance keeps it; nil until the router has accepted the search.
	brokerSearch *balance.Search
	// parts are the parts of the first step, in the order of their indexes at the broker, and then those of the second.
	parts []*activePart
	// fetchParts is the maximum number of parts of the second step, as the class stated when the search was accepted; 0 if the
	// class has no second step.
	fetchParts int
	// stepBegin is the index in parts of the first part of the current step; 0 during the first step, and the number of the
	// first step's parts during the second.
	stepBegin int
	// stepFields are the extra fields in the part requests of the second step, each with a comma before it; see
	// planSecondStep.
	stepFields string
	// schema is the Arrow schema message of the first table that arrived in the current step; the other tables must have the
	// same. It is nil before that.
	schema []byte
	// textValues is set if the first value of the current step is not a table.
	textValues bool
	// ended is set once the search has its final answer, or needs none because its client has left.
	ended bool
	// acceptedAt is when the turn began in which the router accepted the search.
	acceptedAt time.Time
	// attemptsInFlight is the number of attempts of all parts that have begun and not ended.
	attemptsInFlight int

	// pastSearch says whether, and when, earlier deliveries of the same request may have run on nodes; the zero value if
	// there is no record of one.
	pastSearch balance.PastSearch
	// repeatDeadline is the time, in seconds of the broker's clock, until which this search may run although pastSearch says
	// that it may have run before; 0 for no limit.
	repeatDeadline float64
	// recordReserved is set if room in Router.pastSearches is reserved for a record of this search, which is stored at its
	// end if running it again would do harm.
	recordReserved bool

	// answer is the final answer from when the broker decides on it until sendFinalAnswers passes it to answers.
	answer pendingAnswer
}

// activePart is one part of an activeSearch.
type activePart struct {
	// shard is the index of the part's shard.
	shard int
	// hasValue is set if the part's attempt has succeeded before the search ended, so that result holds its value.
	hasValue bool
	// result is the result of the attempt that succeeded; only valid if hasValue is set.
	result protocol.AttemptResult
	// attempt is the newest attempt while it is in flight, otherwise nil.
	attempt *parts.Attempt
	// backend is the backend of the node that the newest attempt was decided for, also after an update of the list has given
	// that node another backend.
	backend NodeBackend
	// givenUp is set if the newest attempt has been given up but the backend has not reported its end yet.
	givenUp bool
	// decidedAtSeconds is when the broker decided on the newest attempt, in seconds of the broker's clock.
	decidedAtSeconds float64
	// inFlightIndex is the part's index in Router.partsInFlight; only valid while the part has an attempt in flight.
	inFlightIndex int
	// search is the search that the part belongs to.
	search *activeSearch
	// index is the part's index in search.parts.
	index int
}

// pendingAnswer is a final answer on its way from the router's goroutine to the goroutine that called Search.
type pendingAnswer struct {
	// FinalAnswer is what Search returns: the status and the values.
	protocol.FinalAnswer
	// awaitWrites is set if a write to a node that contains an attempt of the search may be in progress or still begin. The
	// answer is then held back until that is no longer possible.
	awaitWrites bool
	// acceptedAt is when the turn began in which the router accepted or refused the search.
	acceptedAt time.Time
	// decidedAt is when the answer was decided.
	decidedAt time.Time
}

// addPart adds a part for the shard with the given index to the search, and returns it.
func (s *activeSearch) addPart(shard int) *activePart {
	part := &activePart{shard: shard, search: s, index: len(s.parts)}
	s.parts = append(s.parts, part)
	return part
}

// reject gives a search that has not been accepted its final answer, with the given status and no values.
func (s *activeSearch) reject(status protocol.FinalStatus) {
	turnTime := s.router.turnTime
	s.answers <- pendingAnswer{FinalAnswer: protocol.FinalAnswer{Status: status}, acceptedAt: turnTime, decidedAt: turnTime}
}

// AttemptEnded implements parts.Owner: a backend calls it with the result of an attempt, which is identified by the index of
// its part and its number, and it passes the result to the router's goroutine. It may be called from any goroutine and
// blocks while the router's queue is full.
func (s *activeSearch) AttemptEnded(partIndex, number int, result protocol.AttemptResult) {
	s.router.post(func() { s.router.handleResult(s, partIndex, number, result) })
}

// notifyClientLeft queues handleClientLeft for the router's goroutine, once the client has disconnected or its deadline has
// passed. If the queue is full it leaves the wait to a new goroutine, so that its caller, Search, can withdraw the search's
// SendPermission and answer at once.
func (s *activeSearch) notifyClientLeft() {
	notify := func() { s.router.handleClientLeft(s) }
	select {
	case s.router.callQueue <- notify:
	default:
		go s.router.post(notify)
	}
}

// clientDisconnected checks, on the connection itself, whether the client has closed it, even if no goroutine has read the
// close yet. If the client has not, it sets clientSeenAt to now.
func (s *activeSearch) clientDisconnected(now time.Time) bool {
	if s.permission.ClientDisconnected() {
		return true
	}
	s.clientSeenAt = now
	return false
}

// disconnectedBeforeSend reports whether the client has closed its connection when an attempt is about to be sent; if not, it
// sets the attempt's ClientSeenAt. It checks the connection only in two cases: before a further attempt of a part, as these
// are rare and follow a failure or a delay, and if the client was last known to be connected more than
// parts.ClientSeenValidity before now. For a part of the second step, the client counts as connected at turnTime, when the
// current turn began, as the first step ended in that turn.
func (s *activeSearch) disconnectedBeforeSend(attempt *parts.Attempt, now, turnTime time.Time) bool {
	seenAt := s.clientSeenAt
	if attempt.PartIndex >= len(s.request.Parts) && seenAt.Before(turnTime) {
		seenAt = turnTime
	}
	if attempt.Number > parts.FirstAttempt && seenAt.Before(turnTime) || now.Sub(seenAt) > parts.ClientSeenValidity {
		if s.clientDisconnected(now) {
			return true
		}
		seenAt = now
	}
	attempt.ClientSeenAt = seenAt
	return false
}
