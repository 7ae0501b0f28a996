package wire

import (
	"errors"
	"net"
)

// ErrUnknownKey means that a hello names a key that this side does not have.
var ErrUnknownKey = errors.New("wire: unknown key")

// ErrForged means that the MAC of a hello or of a frame is wrong.
var ErrForged = errors.New("wire: wrong MAC")

// ErrTooLarge means that a hello or a frame's payload is longer than the reader accepts.
var ErrTooLarge = errors.New("wire: too large")

// ErrVersion means that the other side speaks another version of the protocol.
var ErrVersion = errors.New("wire: unsupported protocol version")

// ErrMalformed means that a hello or a payload cannot be decoded, or that a frame of another kind was expected.
var ErrMalformed = errors.New("wire: malformed message")

// ReasonCode names why a connection or its handshake ended, in one word, as a label for counters: "key", "forged", "big",
// "version" or "bad" for this package's errors, "slow" for a timeout of the network, and "closed" for every other error.
func ReasonCode(err error) string {
	var network net.Error
	switch {
	case errors.Is(err, ErrUnknownKey):
		return "key"
	case errors.Is(err, ErrForged):
		return "forged"
	case errors.Is(err, ErrTooLarge):
		return "big"
	case errors.Is(err, ErrVersion):
		return "version"
	case errors.Is(err, ErrMalformed):
		return "bad"
	case errors.As(err, &network) && network.Timeout():
		return "slow"
	}
	return "closed"
}
