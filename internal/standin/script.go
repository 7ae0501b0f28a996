package standin

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the responses to an attempt that a script can choose, over frames and over Flight alike. In their names, a "word"
// is the final message of a reply, with the outcome of the attempt and the node's load report.
//
//   - hit: a good reply. hit twice: the same reply twice. empty: a reply with no value or rows.
//   - hit and bye: a good reply, after which the server ends the connection in an orderly way.
//   - hit and status: a good reply, and over Flight an error status behind it; over frames it is as "hit".
//   - fault, overload: the node reports that it failed, or that it is overloaded and never ran the attempt.
//   - fault after half: the node fails after half of the value.
//   - reset, reset after half, reset in a header: the connection ends, over Flight by a reset of all connections of the node, before
//     the reply, within its value or within its header.
//   - spoilt kind, spoilt header, spoilt word, spoilt score, spoilt report: that item of the reply is malformed. The kind is the
//     letter of the frame's type; over Flight, a record batch comes where the schema is due. The score and the report are those of
//     the word.
//   - another's word: over Flight, the reply names the attempt of another search; over frames it is as "spoilt score".
//   - huge, endless: a reply larger than the broker accepts, or one without an end.
//   - wordless: the reply ends without its final message; over frames the connection ends without a reply.
//   - stalled, silent: the reply stops halfway, or never begins, while the connection stays open.
var Faults = []string{"hit", "hit twice", "hit and bye", "hit and status", "fault", "fault after half", "overload",
	"reset", "reset after half", "reset in a header", "spoilt kind", "spoilt header", "spoilt word", "spoilt score",
	"another's word", "huge", "endless", "wordless", "silent", "stalled", "empty", "spoilt report"}

// ReceivedAttempt is one attempt as a stand-in node received it.
type ReceivedAttempt struct {
	// PartID identifies the part: the search's id, a dot and the shard, and for the second step of a search ".load" behind these.
	// Every attempt of the part has the same.
	PartID string
	// Fields is the text of the fields that come with the part, such as "d=240", which says that the client has 240 ms left.
	Fields string
	// SearchText is the search's text.
	SearchText string
	// NodeName is the name of the node that received the attempt.
	NodeName string
	// Shard is the shard to be searched.
	Shard int
	// AttemptNumber counts the attempts of the part at all nodes of the script, from 1.
	AttemptNumber int
	// ReceivedAt is when the attempt arrived.
	ReceivedAt time.Time
}

// Script determines how a set of stand-in nodes responds to attempts, and records the attempts that they received. The response
// depends on the part and on how many attempts the part has had, not on the node, so that it is the same whichever node the broker
// chooses. The methods may be called from any goroutine.
type Script struct {
	// FaultFor returns the response to an attempt, an element of Faults such as "hit" (a good reply), whichever node received
	// it. It is called without the script's lock, and may block. It may be assigned only before the first node starts;
	// SetFaultFor replaces it later.
	FaultFor func(attempt ReceivedAttempt) string

	// mu guards the fields below.
	mu sync.Mutex
	// changed is signalled whenever one of the fields below changes, to wake those who wait in WaitUntil.
	changed *sync.Cond
	// attemptCounts counts the attempts received so far by the part's id, for ReceivedAttempt.AttemptNumber.
	attemptCounts map[string]int
	// received lists the attempts that nodes have received so far, in the order of their arrival.
	received []ReceivedAttempt
	// cancelledCount counts the cancellations so far, as CancelledCount describes.
	cancelledCount int
}

// NewScript makes a script by which every node gives a good reply to every attempt.
func NewScript() *Script {
	script := &Script{
		FaultFor:      func(ReceivedAttempt) string { return "hit" },
		attemptCounts: map[string]int{},
	}
	script.changed = sync.NewCond(&script.mu)
	return script
}

// SetFaultFor replaces FaultFor, at any time, for the attempts that arrive from now on.
func (s *Script) SetFaultFor(faultFor func(attempt ReceivedAttempt) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.FaultFor = faultFor
}

// WakeWaiters makes every goroutine that waits in WaitUntil check its condition again, for conditions that depend on
// something else than the attempts and cancellations.
func (s *Script) WakeWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// Received returns a copy of the list of the attempts received so far.
func (s *Script) Received() []ReceivedAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedAttempt(nil), s.received...)
}

// CancelledCount counts the attempts that the broker has cancelled so far: over frames, the cancel frames that arrived; over Flight,
// the streams that ended while their node left the attempt without an end ("silent", "stalled").
func (s *Script) CancelledCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelledCount
}

// WaitUntil waits until a condition holds; its arguments are the attempts received so far and the number of those that were
// cancelled. It returns false if the condition does not hold within timeout. The condition is called under the script's lock, and
// must not call the script's methods.
func (s *Script) WaitUntil(timeout time.Duration, condition func(received []ReceivedAttempt, cancelled int) bool) bool {
	// The end comes before the timer starts, so that the timer's only wake finds the time over.
	end := time.Now().Add(timeout)
	timer := time.AfterFunc(timeout, s.WakeWaiters)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for ; !condition(s.received, s.cancelledCount); s.changed.Wait() {
		if !time.Now().Before(end) {
			return false
		}
	}
	return true
}

// receive records an attempt that the named node received. line is the attempt's header line in the call and text the text after it.
// It returns the attempt, and the response that the node has to give, an element of Faults. The error reports a malformed line.
func (s *Script) receive(node, line, text string) (attempt ReceivedAttempt, fault string, err error) {
	fields := strings.Fields(line)
	if len(fields) != partLineFields {
		return attempt, "", fmt.Errorf("malformed line of a part: %q", line)
	}
	attempt = ReceivedAttempt{PartID: fields[0], Fields: fields[2], SearchText: text, NodeName: node, ReceivedAt: time.Now()}
	if attempt.Shard, err = strconv.Atoi(fields[1]); err != nil {
		return attempt, "", err
	}
	s.mu.Lock()
	s.attemptCounts[attempt.PartID]++
	attempt.AttemptNumber = s.attemptCounts[attempt.PartID]
	s.received = append(s.received, attempt)
	s.changed.Broadcast()
	faultFor := s.FaultFor
	s.mu.Unlock()
	return attempt, faultFor(attempt), nil
}

// countCancel records that the broker cancelled an attempt, for CancelledCount, and wakes those who wait in WaitUntil.
func (s *Script) countCancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelledCount++
	s.changed.Broadcast()
}
