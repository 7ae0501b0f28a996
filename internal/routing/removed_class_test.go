package routing

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"brackenfront/internal/protocol"
)

// TestStricterEffectAfterClassWasRemoved guards against a repeat that the settings in force forbid: while a search is at its
// nodes, settings without its class are applied, and then settings that have the class again as one that must not run twice. A
// part that may have run gets no further attempt then, the answer does not invite a retry, and a second delivery is refused.
func TestStricterEffectAfterClassWasRemoved(t *testing.T) {
	const (
		formerClass = `{"name":"all","effect":"read_like"`
		laterClass  = `{"name":"all","effect":"non_idempotent"`
		otherClass  = `{"name":"other","effect":"read_like"`
	)
	rig := newTestRig(t)
	apply := func(class string) {
		t.Helper()
		raw := strings.NewReplacer("TRIES", "3", "CANCEL", "true", formerClass, class).Replace(testSettings)
		deployment, err := protocol.ParseSettings(json.RawMessage(raw), 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := rig.router.ApplySettings(deployment, protocol.DiscoveryUpdate{}); err != nil {
			t.Fatal(err)
		}
	}
	status := rig.sendSearchWithID(context.Background(), "a", "all", "90000m")
	writes := rig.waitFirstWrites("a")
	apply(otherClass)
	apply(laterClass)
	for shard, write := range writes {
		write.Release()
		reply(write, "a", shard, "fault")
	}
	if got := receiveBeforeAttempt(rig, status); got != http.StatusInternalServerError {
		t.Errorf("the search got %d, expected %d", got, http.StatusInternalServerError)
	}
	again := receiveBeforeAttempt(rig, rig.sendSearchWithID(context.Background(), "a", "all", "90000m"))
	if again != http.StatusConflict {
		t.Errorf("the second delivery got %d, expected %d", again, http.StatusConflict)
	}
	if sent := rig.router.Counts().AttemptsSent; sent != len(writes) {
		t.Errorf("%d attempts, expected %d", sent, len(writes))
	}
}

// receiveBeforeAttempt returns the next value of a channel, or fails the test if an attempt is written to a node before.
// Cancellations are let through.
func receiveBeforeAttempt[T any](rig *testRig, channel chan T) (value T) {
	rig.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case value = <-channel:
			return value
		case write := <-rig.gate.Writes:
			if strings.Contains(write.Text, "A") {
				rig.Fatalf("an attempt was written: %q", write.Text)
			}
			write.Release()
		case <-timeout:
			rig.Fatal("timed out waiting for an answer")
		}
	}
}
