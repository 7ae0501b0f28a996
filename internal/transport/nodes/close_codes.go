package nodes

import (
	"errors"
	"io"
	"os"
	"syscall"

	"brackenfront/internal/transport/parts"
)

// Close codes say why a connection ended. They are written to the log and are the keys of Counts.ClosedByCode.
const (
	// codeRefused: the node's machine refused the connection.
	codeRefused = "refused"
	// codeOutOfDescriptors: no file descriptor was free to dial with.
	codeOutOfDescriptors = "descriptors"
	// codeUnreachable: the dial failed for another reason than those of codeRefused and codeOutOfDescriptors, such as a timeout.
	codeUnreachable = "unreached"
	// codeExcess: the connection was unused, and there were more connections to the node than the connection limit allows.
	codeExcess = "share"
	// codeCancelled: an attempt was cancelled on a connection that carries the largest allowed number of calls, on which the
	// node would not read the cancellation.
	codeCancelled = "given"
	// codeSendTimeout: written bytes did not leave this machine in time, or the node's machine shrank its receive window and did not
	// acknowledge them in time (parts.WindowCheck), or AbortWrites or RecallUnsent ended a write in progress.
	codeSendTimeout = "stuck"
	// codeReplaced: the connection was unused when CloseIdleOrSilent was called for its node with a silence of 0, which closes
	// unused connections, or when a new connection had to take its place (nodeConns.replace).
	codeReplaced = "renewed"
	// codeSilent: no byte came from the node while a reply was awaited: within Limits.MaxWait, or, for a probe, within
	// Limits.ConnectTimeout, or for as long as the silence given to CloseIdleOrSilent.
	codeSilent = "silent"
	// codeIdle: the connection was unused for so long that the node might close it (Limits.PeerIdleTimeout less
	// Limits.ConnectTimeout).
	codeIdle = "idle"
	// codeReclaimed: the connection was unused, and CloseUnused closed it because its file descriptor was needed.
	codeReclaimed = "short"
	// codeStopped: the pool was closed.
	codeStopped = "stopped"
	// codeExhausted: all of the connection's capacity is taken up by cancelled attempts whose clients' deadlines have passed.
	codeExhausted = "spent"
	// codeInvalidFrame: the node sent a frame that is malformed or of an unknown kind.
	codeInvalidFrame = "malformed"
	// codeFrameRefused: the node reported that it could not use a frame of this side.
	codeFrameRefused = "misread"
	// codePeerClosed: the node closed the connection.
	codePeerClosed = "ended"
	// codePeerReset: the node's machine reset the connection.
	codePeerReset = "reset"
	// codeFailed: the socket of an established connection failed for any other reason.
	codeFailed = "broken"
)

// closeCodeOf returns the close code for err, an error of reading from or writing to a socket; if err says that a deadline of the
// socket has passed, it returns timeoutCode.
func closeCodeOf(err error, timeoutCode string) string {
	switch {
	case errors.Is(err, parts.ErrSendTimeout):
		return codeSendTimeout
	case errors.Is(err, os.ErrDeadlineExceeded):
		return timeoutCode
	case errors.Is(err, io.EOF):
		return codePeerClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return codePeerReset
	}
	return codeFailed
}
