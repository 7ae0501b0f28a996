// Package wire is the protocol between the brokers of a fleet: frames over TCP, each with a MAC that is bound to the
// connection, to the direction and to the frame's number in that direction. Whoever has a key belongs to the fleet; nothing
// is encrypted. A frame that is unknown, forged, replayed, too large or too slow ends the connection, with an error for which
// the package has a short label for counters.
//
// Terms of this package:
//   - The dialling side of a connection has opened it; the accepting side has accepted it.
//   - A frame is one message on a connection: a header with the payload's length and the frame's kind, a number that says
//     what the payload is, then the payload and the MAC.
//   - The handshake is the exchange of the first messages, in which both sides prove that they have a common key.
//   - A hello is the message of the handshake in which a side describes itself.
//   - A MAC is a message authentication code: a number that only somebody with the key can compute from a message.
//   - A disk is the durable storage in which a member of the council keeps the council's state.
package wire

import (
	"fmt"

	"brackenfront/lease"
)

// Encode encodes v, a message between brokers, as the payload of a frame or of a hello.
func Encode(v any) []byte { return lease.Encode(v) }

// Decode decodes b, the payload of a frame or a hello, into the variable that v points to. It returns an error that wraps
// ErrMalformed if the payload, or any part of it, cannot be decoded.
func Decode(b []byte, v any) error {
	if err := lease.Decode(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
