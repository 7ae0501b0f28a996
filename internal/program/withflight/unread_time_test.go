package withflight

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"brackenfront/internal/rig"
	"brackenfront/internal/standin"
)

const (
	// callerTimeout is the time that the calls of a flightCaller state (encodeHeaders).
	callerTimeout = 9 * time.Second
	// unreadTime is for how long a request lies unread.
	unreadTime = 500 * time.Millisecond
	// timeLeftSlack is by how much a node may be told more than the client has left, as the operating rules state it.
	timeLeftSlack = 150 * time.Millisecond
)

// TestUnreadTimeCountsOverFlight guards against time that a Flight client has waited and that does not count: its request lies unread,
// as in a pause of the process, and the node is then told that the client has its whole time left.
func TestUnreadTimeCountsOverFlight(t *testing.T) {
	reads := &standin.HeldReads{}
	s := startSystemWith(t, rig.AllSpeakFrames, rig.FlightLimits{WrapListener: reads.Listen})
	defer reads.Release()
	client := s.newFlightCaller()
	defer client.Close()
	client.call(t, 1, s.NewSearch("all", 0))
	s.Script.WaitUntil(testTimeout, func(received []standin.ReceivedAttempt, _ int) bool { return len(received) == 1 })
	reads.Hold()
	search := s.NewSearch("all", 0)
	client.call(t, 3, search)
	sentAt := time.Now()
	time.Sleep(unreadTime)
	reads.Release()
	if !s.Script.WaitUntil(testTimeout, func(received []standin.ReceivedAttempt, _ int) bool { return len(received) == 2 }) {
		t.Fatal("the attempt did not come to a node")
	}
	attempt := s.Script.Received()[1]
	told := timeLeftOf(t, attempt)
	left := callerTimeout - attempt.ReceivedAt.Sub(sentAt)
	if told > left+timeLeftSlack {
		t.Errorf("a node was told that the client had %s left, when it had %s", told, left)
	}
}

// timeLeftOf returns the time that an attempt tells its node.
func timeLeftOf(t *testing.T, attempt standin.ReceivedAttempt) time.Duration {
	t.Helper()
	for field := range strings.SplitSeq(attempt.Fields, ",") {
		if text, ok := strings.CutPrefix(field, "d="); ok {
			milliseconds, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	t.Fatalf("no time in the fields %q", attempt.Fields)
	return 0
}
