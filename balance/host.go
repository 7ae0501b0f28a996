package balance

import "brackenfront/halls"

// Host is what a broker needs from the process around it. All calls are made
// from inside a call on the Broker or on a Search, never from another goroutine.
type Host interface {
	// Send starts the next sub-request of a part. Sends to one node between two
	// Close calls may share a call. tryFor 0 lasts until the client gives up.
	Send(q *Search, part, node int, tryFor float64)
	// Cancel stops waiting on a part's newest sub-request; its outcome still
	// comes through Search.Reply.
	Cancel(q *Search, part, try int)
	// Answer answers from the parts that are in. In a query type with a second
	// step the first Answer brings more parts through Search.Part.
	Answer(q *Search, whole bool)
	// Shed turns a search away and promises that asking again is harmless;
	// after is how long to hold off, 0 for no advice.
	Shed(q *Search, after float64)
	// Error ends a search with no promise.
	Error(q *Search)
	// Probe tests a node; what it finds comes through Broker.Probed.
	Probe(node int)
	// Renew closes connections to a node, so that the next Send opens one: the unused ones for 0, else
	// those on which nothing has come for so many seconds since something was asked there.
	Renew(node int, quiet float64)
	// Watch subscribes to the node list where it does not come unasked.
	Watch()
	// Wake asks for a Close at that time or soon after it.
	Wake(at float64)
}

// Outcome is how a sub-request ended.
type Outcome uint8

const (
	OK        Outcome = iota
	Errored           // the node answered with an error; may have run
	Full              // turned away unseen
	TimedOut          // no answer in time; may have run or run yet
	Unreached         // no connection
	Dropped           // the connection broke; may have run
	Cancelled         // called off; may have run
	Moot              // never sent
)

// Effect says what running a part twice does.
type Effect uint8

const (
	Idempotent Effect = iota
	Tokened
	NonIdempotent
)

// QueryType is what the deployment states of one query type. Times are seconds.
type QueryType struct {
	Target, Timeout, Window float64
	Value, LateValue        float64
	Effect                  Effect
	Need, Least             float64 // shares that make a whole answer, and any answer
	Partial                 float64 // value of an answer not marked whole
	Fetch                   int     // parts of a second step
}

// Terms is what the deployment tells a broker at start; New keeps figures
// derived from it, not the terms themselves.
type Terms struct {
	Seed                 uint64
	Brokers              int
	Tick                 float64
	Types                []QueryType
	Quotas               []float64 // per dealer: searches a second within its share, all brokers together
	OverShare            float64   // value beyond the share
	Cells, Reach, Shards int
	PerCall              int
	Tries                int
	MayCancel, MayProbe  bool
	Advice               float64 // longest hold-off that clients are told, 0 for none
	Asked                bool    // the node list comes only when asked for
	Cold, ColdFrom       float64
	Fall, FallMultiple   float64
	Extra, ExtraShare    float64 // budget of further sub-requests; Over 0 for none stated
	Over                 float64
	Halls                *halls.Stated // of the guard on whole halls; nil for none
}

// Standing is what the node list says of a node.
type Standing uint8

const (
	Active Standing = iota
	Draining
	Gone
)

// Listed is one entry of the node list. Started 0 means long ago.
type Listed struct {
	Node, Cell int
	Zone       int // 0 is this broker's own
	Rank       int // of the zone in this broker's order; 0 is preferred
	Standing   Standing
	Started    float64
}
