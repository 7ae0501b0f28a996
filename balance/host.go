package balance

// Host is what a broker needs from the process around it. All of its methods are called from inside a call on the
// Broker or on a Search, never from another goroutine, and must not call either: the caller reports what they bring
// about after that call has returned. Nodes are indices as in NodeEntry, parts are indices as Search.AddPart returns
// them, times are seconds.
type Host interface {
	// Send starts the next attempt of a part at a node. Sends to one node in the same turn may share a call to it, as
	// far as Settings.MaxPartsPerCall allows. After timeout seconds the attempt ends as TimedOut; 0 stands for no limit
	// but the client's deadline.
	Send(search *Search, part, node int, timeout float64)
	// Cancel makes the host stop waiting for a part's newest attempt; attempt is its number, counted from 0 within the
	// part. The attempt's end still has to be reported through Search.AttemptEnded.
	Cancel(search *Search, part, attempt int)
	// Answer answers the client from the parts that are in; complete says whether they make a complete answer. In a
	// class with a second step the first Answer does not end the search: the host then adds the parts of the second
	// step with Search.AddPart.
	Answer(search *Search, complete bool)
	// Reject ends a search as rejected and assures the client that repeating it does no harm. retryAfter is how many
	// seconds the client should wait before that; 0 for no advice.
	Reject(search *Search, retryAfter float64)
	// Fail ends a search with an error, without the assurance that repeating it does no harm.
	Fail(search *Search)
	// Probe sends a node a health probe, which tests whether it works; the result is reported through
	// Broker.ProbeEnded.
	Probe(node int)
	// CloseConnections closes connections to a node, so that the next Send opens a new one. With quiet 0 it closes
	// those without an attempt in flight; otherwise those on which, for at least quiet seconds, an attempt has been in
	// flight and nothing has been received.
	CloseConnections(node int, quiet float64)
	// WatchNodeList subscribes to the node list of discovery. It is only called if Settings.NodeListOnRequest is set.
	WatchNodeList()
	// WakeAt asks the caller to run a turn (BeginTurn and EndTurn) at the time at, in seconds of its clock, or soon
	// after it.
	WakeAt(at float64)
}
