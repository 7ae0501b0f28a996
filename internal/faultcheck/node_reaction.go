package faultcheck

import (
	"time"
)

// reactionKind is what a node does with a part of a search whose frame it has received completely.
type reactionKind int

const (
	// reactHit: the node answers with a value and a score.
	reactHit reactionKind = iota
	// reactFault: the node answers with an error, after which the attempt may have run.
	reactFault
	// reactOverload: the node answers that it is overloaded and that the attempt never ran.
	reactOverload
	// reactSilence: the node sends no answer, and leaves the connection open.
	reactSilence
	// reactReset: the node resets the connection on which the attempt came.
	reactReset
	// reactHalfClose: the node closes its sending side of the connection, and continues to read.
	reactHalfClose
	// reactRefusal: the node answers that it could not use the frame, and closes the connection.
	reactRefusal
	// reactGarbage: the node sends bytes that are not a valid frame.
	reactGarbage
)

// reaction is what a node does with one attempt. The zero value runs it and answers at once with its value (outcome Hit).
type reaction struct {
	// kind is what the node answers, or what it does instead of an answer.
	kind reactionKind
	// delay is how long the node waits before it reacts, counted from the closing of waitFor if that is set.
	delay time.Duration
	// waitFor, if set, is a channel whose closing the node waits for before it reacts.
	waitFor <-chan struct{}
	// workDone is set if the node executes the part, whatever it answers. It makes no difference with reactHit, where the node always
	// executes the part.
	workDone bool
	// duplicate sends the answer twice.
	duplicate bool
	// repeatOn, if set, is a channel; once it is closed, the answer is sent a second time.
	repeatOn <-chan struct{}
	// byteByByte sends the answer in pieces of one byte.
	byteByByte bool
	// strayOutcome, if set, is the protocol's word for the outcome of an additional answer, under the id of an attempt that is in flight on
	// another connection.
	strayOutcome string
	// answerGivenUp makes the node answer the attempt even if the broker has given it up meanwhile.
	answerGivenUp bool
}

// connectionPlan says whether and when a node ends a connection that it accepts. The zero value does not end it.
type connectionPlan struct {
	// cut says that the node ends the connection; the other fields only matter if it is set.
	cut bool
	// cutAfterBytes is how many bytes the node reads before it ends the connection.
	cutAfterBytes int
	// halfClose says that the node closes only its sending side of the connection, and continues to read; otherwise the
	// connection is reset.
	halfClose bool
	// onCut, unless nil, is called just before the node ends the connection because this plan says so.
	onCut func()
}
