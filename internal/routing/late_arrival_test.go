package routing

import (
	"context"
	"testing"
	"time"

	"brackenfront/internal/protocol"
)

// TestSearchThatWaitedUnreadIsServed guards against rejecting a search because it waited unread, behind others on its
// connection or while this process was paused. By its remaining time alone it would look like a client's retry that can no longer
// be answered within the latency target (the time after which an answer loses utility). It must be served like a search of its
// class that has just arrived with a short deadline.
func TestSearchThatWaitedUnreadIsServed(t *testing.T) {
	const (
		// latencyTarget is the latency target of the class, after which an answer loses utility.
		latencyTarget = 3 * time.Second
		// classTimeout is the longest deadline of the class.
		classTimeout = 90 * time.Second
		// clientTimeout is how long a client waits for its answer from when it sends the search.
		clientTimeout = classTimeout - latencyTarget + time.Second
		// waited is how long the search waits, after it has arrived, until the broker reads it.
		waited = 2 * time.Second
	)
	rig := newTestRig(t)
	// sendSearch starts a search with this id that arrived at arrivedAt; the channel receives its answer.
	sendSearch := func(id string, arrivedAt time.Time) chan protocol.FinalAnswer {
		search := rig.newSearch("all")
		search.ID = id
		search.RemainingSeconds = clientTimeout.Seconds()
		answers := make(chan protocol.FinalAnswer, 1)
		go func() {
			answer, _ := rig.router.Search(context.Background(), search, arrivedAt, nil)
			answers <- answer
		}()
		return answers
	}
	for _, id := range []string{"first", "second"} {
		answers := sendSearch(id, time.Now())
		rig.answerBothParts(id)
		receive(rig, "an answer", answers)
	}
	answers := sendSearch("unread", time.Now().Add(-waited))
	rig.waitFor("an attempt or an answer", func() bool { return rig.router.Counts().AttemptsSent > 4 || len(answers) > 0 })
	if len(answers) > 0 {
		t.Fatalf("ended with status %d and nothing sent", (<-answers).Status)
	}
	rig.answerBothParts("unread")
	if answer := receive(rig, "an answer", answers); answer.Status != protocol.StatusSucceeded {
		t.Errorf("ended with status %d, expected an answer", answer.Status)
	}
}
