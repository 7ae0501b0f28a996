package routing

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/replay"
)

// TestRedeliveredBeforeCancellation guards against two concurrent attempts of one part: a client leaves, and its request is
// delivered again before the nodes have been sent the cancellations of the first attempts. It must be refused then, though
// its class may be repeated.
func TestRedeliveredBeforeCancellation(t *testing.T) {
	rig := newTestRig(t)
	ctx, leave := context.WithCancel(context.Background())
	id, status := rig.sendSearch(ctx, "all", "90000m")
	for _, write := range rig.waitFirstWrites(id) {
		write.Release()
	}
	leave()
	receive(rig, "the client's end", status)
	cancellation := receive(rig, "a cancellation", rig.gate.Writes)
	rig.waitFor("the end of the search", func() bool { return rig.router.Counts().InFlight == 0 })
	if got := receive(rig, "an answer", rig.sendSearchWithID(context.Background(), id, "all", "90000m")); got != http.StatusConflict {
		t.Errorf("delivered again before the cancellations have been sent: got %d", got)
	}
	cancellation.Release()
	receive(rig, "the other cancellation", rig.gate.Writes).Release()
	rig.waitFor("the end of the attempts", func() bool { return rig.router.Counts().AttemptsInFlight == 0 })
	again := rig.sendSearchWithID(context.Background(), id, "all", "90000m")
	rig.answerBothParts(id)
	if got := receive(rig, "an answer", again); got != http.StatusOK {
		t.Errorf("delivered again after they have been sent: got %d", got)
	}
}

// TestNoRoomForRecord guards against a search that must not be repeated but cannot be recorded: if the memory for records of
// past searches is full, it must be refused before any of it is sent, and no record is discarded for it. Classes that may be
// repeated are still served.
func TestNoRoomForRecord(t *testing.T) {
	rig := newTestRig(t)
	// LimitReplayMemory must be called before Start, so the router's goroutine is stopped and started again.
	rig.router.Stop()
	rig.router.stop = make(chan struct{})
	rig.router.ended = make(chan struct{})
	rig.router.LimitReplayMemory(2 * replay.RecordBytes)
	go rig.router.run()
	// serve sends a search, lets the nodes answer both of its parts, and returns the HTTP status of its answer.
	serve := func(id, class string) int {
		status := rig.sendSearchWithID(context.Background(), id, class, "90000m")
		rig.answerBothParts(id)
		return receive(rig, "an answer", status)
	}
	for _, id := range []string{"a", "b"} {
		if status := serve(id, "once"); status != http.StatusOK {
			t.Fatalf("%s: got %d", id, status)
		}
	}
	sent := rig.router.Counts().AttemptsSent
	for id, expected := range map[string]int{"c": http.StatusServiceUnavailable, "a": http.StatusConflict, "b": http.StatusConflict} {
		if status := receive(rig, "an answer", rig.sendSearchWithID(context.Background(), id, "once", "90000m")); status != expected {
			t.Errorf("%s: got %d, expected %d", id, status, expected)
		}
	}
	counts := rig.router.Counts()
	if counts.AttemptsSent != sent || counts.RefusedUnrecordable != 1 || counts.RefusedRedeliveries != 2 || counts.RecordedSearches != 2 {
		t.Errorf("%d sent, expected none; %d refused without room, %d redelivered, %d recorded", counts.AttemptsSent-sent,
			counts.RefusedUnrecordable, counts.RefusedRedeliveries, counts.RecordedSearches)
	}
	if status := serve("d", "all"); status != http.StatusOK {
		t.Errorf("a class that may be repeated got %d", status)
	}
}

// TestRedeliveredWhileOverloaded guards against a rejection that invites a harmful retry: a search that may have run is
// delivered again while as many searches as allowed are in flight, or once its class is no longer served. It must not be
// rejected as overloaded, as its client would retry.
func TestRedeliveredWhileOverloaded(t *testing.T) {
	rig := newTestRig(t, `"maxOpen":200`, `"maxOpen":3`)
	// serve sends a search that must not run twice, and lets the nodes answer both of its parts; it fails the test if that
	// does not succeed.
	serve := func(id string) {
		status := rig.sendSearchWithID(context.Background(), id, "once", "90000m")
		rig.answerBothParts(id)
		if got := receive(rig, "an answer", status); got != http.StatusOK {
			t.Fatalf("%s: got %d", id, got)
		}
	}
	serve("a")
	inFlight := rig.sendSearchWithID(context.Background(), "b", "once", "90000m")
	writes := rig.waitFirstWrites("b")
	for id, expected := range map[string]int{"a": http.StatusConflict, "c": http.StatusServiceUnavailable} {
		if status := receive(rig, "an answer", rig.sendSearchWithID(context.Background(), id, "once", "90000m")); status != expected {
			t.Errorf("%s, while the limit is reached: got %d, expected %d", id, status, expected)
		}
	}
	for shard, write := range writes {
		write.Release()
		reply(write, "b", shard, "hit")
	}
	receive(rig, "an answer", inFlight)

	// This search has been parsed under settings that are replaced before it is accepted.
	search := rig.newSearch("once")
	search.ID = "b"
	answers := make(chan protocol.FinalAnswer, 1)
	next := *rig.router.liveDeployment.Load()
	next.ClassIndexes = map[string]int{"any": 0, "all": 1, "other": 2}
	if err := rig.router.ApplySettings(&next, protocol.DiscoveryUpdate{}); err != nil {
		t.Fatal(err)
	}
	go func() {
		answer, _ := rig.router.Search(context.Background(), search, time.Now(), nil)
		answers <- answer
	}()
	if answer := receive(rig, "an answer", answers); answer.Status != protocol.StatusDuplicate {
		t.Errorf("once its class is no longer served: got %d", answer.Status)
	}
}

// TestRetentionSeconds checks for how long the record of a past search is kept: the longest deadline or, if that is longer,
// the repeat window of an idempotency-keyed class.
func TestRetentionSeconds(t *testing.T) {
	for _, c := range []struct {
		// maxDeadline is the longest deadline of the settings.
		maxDeadline time.Duration
		// effect says whether a part of a search of the class may run twice without harm.
		effect balance.Effect
		// window is the repeat window of the class, in seconds.
		window float64
		// expected is the expected result of retentionSeconds, in seconds.
		expected float64
	}{{4 * time.Second, balance.IdempotencyKeyed, 3, 4}, {4 * time.Second, balance.IdempotencyKeyed, 9, 9}, {4 * time.Second, balance.Idempotent, 9, 4}} {
		deployment := &protocol.Deployment{MaxDeadline: c.maxDeadline}
		deployment.Settings.Classes = []balance.SearchClass{{Effect: c.effect, RepeatWindow: c.window}}
		if got := (&Router{}).retentionSeconds(deployment); got != c.expected {
			t.Errorf("%+v: %g s", c, got)
		}
	}
}

// TestRedeliveredAcrossReload guards against repeats that only the former settings allow: new settings are applied while a
// request that was delivered again is in flight. If they forbid its repeat, or if the repeat window that they state has
// passed, nothing more of it may be sent, and it gets the answer that a request delivered under the new settings would get.
func TestRedeliveredAcrossReload(t *testing.T) {
	const class = `{"name":"once","effect":"EFFECT","target":3000,"giveUp":90000,"worth":1,"window":WINDOW}`
	// classWith returns the JSON of the class with this effect and this repeat window, in milliseconds.
	classWith := func(effect, window string) string {
		return strings.NewReplacer("EFFECT", effect, "WINDOW", window).Replace(class)
	}
	for name, c := range map[string]struct {
		// effect and window are the members of the class in the new settings: whether a part may run twice without harm, and the
		// repeat window in milliseconds.
		effect, window string
		// status is the expected HTTP status of the second delivery's answer.
		status int
	}{
		"non-idempotent":        {"non_idempotent", "60000", http.StatusConflict},
		"its window has passed": {"idempotency_key", "1", http.StatusConflict},
		"its window is open":    {"idempotency_key", "50000", http.StatusOK},
		"it may be run again":   {"read_like", "60000", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newTestRig(t, classWith("non_idempotent", "1000"), classWith("idempotency_key", "60000"))
			// serve lets the nodes answer both parts of the search "a", and returns the HTTP status that status receives.
			serve := func(status chan int) int {
				rig.answerBothParts("a")
				return receive(rig, "an answer", status)
			}
			if status := serve(rig.sendSearchWithID(context.Background(), "a", "once", "90000m")); status != http.StatusOK {
				t.Fatalf("the first delivery got %d", status)
			}
			// This is longer than the shorter window.
			time.Sleep(2 * time.Millisecond)
			again := rig.sendSearchWithID(context.Background(), "a", "once", "90000m")
			writes := rig.waitFirstWrites("a")
			raw := strings.NewReplacer("TRIES", "3", "CANCEL", "true", classWith("non_idempotent", "1000"), classWith(c.effect, c.window)).Replace(testSettings)
			deployment, err := protocol.ParseSettings(json.RawMessage(raw), 1)
			if err != nil {
				t.Fatal(err)
			}
			if err := rig.router.ApplySettings(deployment, protocol.DiscoveryUpdate{}); err != nil {
				t.Fatal(err)
			}
			for shard, write := range writes {
				write.Release()
				reply(write, "a", shard, "hit")
			}
			if status := receive(rig, "an answer", again); status != c.status {
				t.Errorf("got %d, expected %d", status, c.status)
			}
		})
	}
}
