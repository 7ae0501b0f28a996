package clients

// End codes: why a connection ended, as it is counted in Counts.ClosedByCode and logged.
const (
	// codeDone: the server closed the connection after a response that announced that.
	codeDone = "done"
	// codeDrained: the server closed the connection because it drains (Server.Drain).
	codeDrained = "drained"
	// codeShort: the server closed the unused connection (Server.CloseUnused) because file descriptors were short or
	// Limits.MaxConnections was exceeded.
	codeShort = "short"
	// codeKept: the server closed the unused connection because more than Limits.MaxUnused were open unused.
	codeKept = "kept"
	// codeMute: the server closed the connection for the same reasons as with codeShort; its client had sent nothing on it since it
	// was accepted, at least minSilentAge ago.
	codeMute = "mute"
	// codePartial: the server ended the connection for the same reasons as with codeShort; its client had sent part of a request, and
	// nothing more for minSilentAge.
	codePartial = "partial"
	// codeUnusable: the client pipelined maxBadRequests requests that were answered with a 4xx status.
	codeUnusable = "unusable"
	// codeFraming: the client sent a request that is malformed, or whose end two HTTP readers could place differently.
	codeFraming = "framing"
	// codeTooLarge: the client sent a request with more header fields than are allowed.
	codeTooLarge = "too large"
	// codeMemory: the requests of all clients took as much memory as they may when the client sent one that needs more than a connection
	// has to itself (freeRequestMemory).
	codeMemory = "memory"
	// codeIdle: no further request came on the connection within Limits.IdleTimeout.
	codeIdle = "idle"
	// codeSlow: a request was not received, or a response could not be written, within Limits.RequestTimeout (or what
	// SetRequestTimeout replaced it with).
	codeSlow = "slow"
	// codeLeft: the client closed the connection, or ended its sending side.
	codeLeft = "left"
	// codeReset: the client reset the connection.
	codeReset = "reset"
	// codeBroken: reading from or writing to the connection failed in another way.
	codeBroken = "broken"
)
