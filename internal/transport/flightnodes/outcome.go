package flightnodes

import (
	"google.golang.org/grpc/codes"

	"brackenfront/balance"
)

// NeverRanTrailer is the name of the trailer by which a node says that it ended a stream without having run its part.
const NeverRanTrailer = "brackenfront-never-ran"

// StreamOutcome returns the outcome of an attempt whose stream ended, with that gRPC status, without a result message. neverRan
// says that the trailer NeverRanTrailer came, requestLeft that the request may have left this machine completely, begun that a
// message had come. The table, which docs/flight.md shows too, has one more line, for streams with a result message:
//
//	status                              request not left   left, nothing came   left, something came
//	a result message, whatever follows  -                  as it says           as it says
//	OK without one                      Failed             Failed               Failed
//	any, trailer brackenfront-never-ran Overloaded         Overloaded           Failed
//	UNAVAILABLE                         Unreachable        ConnectionLost       ConnectionLost
//	CANCELLED, not by this side         Unreachable        ConnectionLost       ConnectionLost
//	DEADLINE_EXCEEDED                   Unreachable        TimedOut             TimedOut
//	every other one                     Unreachable        Failed               Failed
//
// Unreachable and Overloaded promise that the part never ran; after every other outcome it may have run.
func StreamOutcome(code codes.Code, neverRan, requestLeft, begun bool) balance.Outcome {
	switch {
	// The result message is missing, or this function would not have been called.
	case code == codes.OK:
		return balance.Failed
	case neverRan && !begun:
		return balance.Overloaded
	case !requestLeft:
		return balance.Unreachable
	case code == codes.Unavailable, code == codes.Canceled:
		return balance.ConnectionLost
	case code == codes.DeadlineExceeded:
		return balance.TimedOut
	}
	return balance.Failed
}
