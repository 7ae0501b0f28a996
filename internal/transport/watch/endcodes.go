package watch

// End codes: the words that say in the log why a call to discovery ended.
const (
	// codeMoved: SwitchDiscovery ended the call, to call another discovery or for another list of nodes.
	codeMoved = "moved"
	// codeUnreached: the call ended before a response came, because the connection could not be opened or failed.
	codeUnreached = "unreached"
	// codeStatus: the response had another HTTP status than 200, and was not read.
	codeStatus = "status"
	// codeSilent: no heartbeat of discovery came in time, or discovery took too long for the response's head or for one update, or the
	// watcher was closed.
	codeSilent = "silent"
	// codeEnded: discovery ended the response between two updates.
	codeEnded = "ended"
	// codeMalformed: an update could not be parsed or was longer than maxUpdateBytes.
	codeMalformed = "malformed"
	// codeBroken: the call failed in another way, such as by an end of the response within an update.
	codeBroken = "broken"
)
