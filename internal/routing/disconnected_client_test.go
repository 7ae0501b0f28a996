package routing

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/standin"
	"brackenfront/internal/transport/parts"
)

// testClient is a client whose close of its connection is found by a check of the connection before any goroutine has read
// it, as happens after a pause of the process or in a burst of closes.
type testClient struct {
	// closed is set once the client has closed its connection; the router's checks of the connection report that from then on.
	closed atomic.Bool
	// checks counts how often the router has checked the client's connection.
	checks atomic.Int32
	// ctx is the context that the search runs with; the function notifyClosed cancels it.
	ctx context.Context
	// notifyClosed cancels ctx, as a frontend does once it has read the client's close.
	notifyClosed context.CancelFunc
	// result receives the error that Router.Search returns, which is not nil if it has noticed the close.
	result chan error
}

// startSearch starts a search of the given class for both shards, from a client whose connection the router can check, and
// returns both.
func (rig *testRig) startSearch(class string) (*protocol.Search, *testClient) {
	search := rig.newSearch(class)
	return search, rig.startGivenSearch(search)
}

// startSearchOfOneShard starts a search of the given class for shard 0 alone, and returns its client.
func (rig *testRig) startSearchOfOneShard(class string) *testClient {
	search := rig.newSearch(class)
	search.Parts = search.Parts[:1]
	search.Parts[0].Weight = 1
	return rig.startGivenSearch(search)
}

// startGivenSearch starts a search from a client whose connection the router can check, and returns the client.
func (rig *testRig) startGivenSearch(search *protocol.Search) *testClient {
	client := &testClient{result: make(chan error, 1)}
	client.ctx, client.notifyClosed = context.WithCancel(context.Background())
	go func() {
		_, err := rig.router.Search(client.ctx, search, time.Now(), func() bool {
			client.checks.Add(1)
			return client.closed.Load()
		})
		client.result <- err
	}()
	return client
}

// waitAccepted waits until the router has accepted the given number of searches since its start.
func (rig *testRig) waitAccepted(count int) {
	rig.Helper()
	rig.waitFor("searches to be accepted", func() bool { return rig.router.Counts().Accepted >= count })
}

// expectNoWrite releases the writes to nodes for 100 ms, in which everything in progress ends, and fails the test if one of
// them contains text.
func (rig *testRig) expectNoWrite(text string) {
	rig.Helper()
	for settled := time.After(100 * time.Millisecond); ; {
		select {
		case write := <-rig.gate.Writes:
			if strings.Contains(write.Text, text) {
				rig.Fatalf("sent to %s for a client that had closed its connection: %q", write.Addr, write.Text)
			}
			write.Release()
		case <-settled:
			return
		}
	}
}

// waitWrite releases the writes to nodes until one contains text, and returns that one. It fails the test if no write begins
// for testTimeout.
func (rig *testRig) waitWrite(text string) *standin.GatedWrite {
	rig.Helper()
	for {
		write := receive(rig, "a write", rig.gate.Writes)
		if write.Release(); strings.Contains(write.Text, text) {
			return write
		}
	}
}

// withStayingAndClosingClient runs a test twice: with a client that stays connected, which proves that something would be
// sent at all, and with one that closes its connection (closes is true).
func withStayingAndClosingClient(t *testing.T, test func(t *testing.T, rig *testRig, closes bool)) {
	for _, closes := range []bool{false, true} {
		name := "stays"
		if closes {
			name = "closes"
		}
		t.Run(name, func(t *testing.T) { test(t, newTestRig(t), closes) })
	}
}

// sendFirstAttempts waits for the writes of the first attempts of both parts of a search, releases them and returns them by
// shard.
func (rig *testRig) sendFirstAttempts(search *protocol.Search) [2]*standin.GatedWrite {
	rig.Helper()
	writes := rig.waitFirstWrites(search.ID)
	writes[0].Release()
	writes[1].Release()
	return writes
}

// TestNoFurtherAttemptBeforeCloseIsRead guards against a retry for a client that has left: an attempt fails after its client
// has closed its connection, but before any goroutine has read the close. No further attempt may begin, even if neither the
// process nor the router was delayed.
func TestNoFurtherAttemptBeforeCloseIsRead(t *testing.T) {
	withStayingAndClosingClient(t, func(t *testing.T, rig *testRig, closes bool) {
		search, client := rig.startSearch("all")
		defer client.notifyClosed()
		writes := rig.sendFirstAttempts(search)
		if checks := client.checks.Load(); checks > 0 {
			t.Fatalf("connection checked %d times though nothing was late", checks)
		}
		client.closed.Store(closes)
		reply(writes[0], search.ID, 0, "fault")
		if !closes {
			rig.waitWrite("A" + search.ID + ".0 ")
			return
		}
		rig.expectNoWrite("A" + search.ID)
		if counts := rig.router.Counts(); counts.ClientsLeft != 1 || counts.InFlight != 0 || counts.AttemptsInFlight != 0 {
			t.Fatalf("%+v", counts)
		}
	})
}

// TestUnreadCloseWhileQueued guards against attempts for a client that left while its search waited in the router's queue, if no
// goroutine has read the close yet. Nothing may be sent for the search.
func TestUnreadCloseWhileQueued(t *testing.T) {
	withStayingAndClosingClient(t, func(t *testing.T, rig *testRig, closes bool) {
		var search *protocol.Search
		var client *testClient
		rig.whileBlocked(func() {
			search, client = rig.startSearch("all")
			rig.waitQueued()
			time.Sleep(100 * time.Millisecond)
			client.closed.Store(closes)
		})
		defer client.notifyClosed()
		if !closes {
			rig.waitWrite("A" + search.ID)
			return
		}
		rig.expectNoWrite("A" + search.ID)
	})
}

// TestUnreadCloseWhileConnecting guards against an attempt for a client that left while the attempt waited for a connection to its
// node, if no goroutine has read the close yet. The attempt must not be written once the node's connection is established.
func TestUnreadCloseWhileConnecting(t *testing.T) {
	for _, cancels := range []string{"true", "false"} {
		withStayingAndClosingClient(t, func(t *testing.T, _ *testRig, closes bool) {
			rig := newTestRig(t, "CANCEL", cancels)
			connect0 := rig.gate.HoldDials("n0")
			connect2 := rig.gate.HoldDials("n2")
			search, client := rig.startSearch("all")
			defer client.notifyClosed()
			rig.waitWrite("A" + search.ID + ".1 ")
			time.Sleep(50 * time.Millisecond)
			client.closed.Store(closes)
			connect0()
			connect2()
			if !closes {
				rig.waitWrite("A" + search.ID + ".0 ")
				return
			}
			rig.expectNoWrite("A" + search.ID)
			if counts := rig.router.Counts(); counts.ClientsLeft != 1 {
				t.Fatalf("%+v", counts)
			}
		})
	}
}

// TestManyClientsCloseAtOnce guards against attempts for clients that leave all at once: several hundred clients whose first attempt
// has no node to go to close their connections, and then a node becomes active before any goroutine has read one of the
// closes. Nothing may be sent, and the router soon has no search in flight.
func TestManyClientsCloseAtOnce(t *testing.T) {
	const clients = 300
	rig := newTestRig(t, `"maxOpen":200`, `"maxOpen":2000`)
	// Shard 0 has no active holder.
	rig.router.UpdateNodes(rig.nodeList(balance.Draining, balance.Draining))
	all := make([]*testClient, clients)
	for i := range all {
		client := &testClient{result: make(chan error, 1)}
		client.ctx, client.notifyClosed = context.WithCancel(context.Background())
		search := rig.newSearch("all")
		search.ID = fmt.Sprint("b", i)
		search.Parts = search.Parts[:1]
		search.Parts[0].Weight = 1
		go func() {
			_, err := rig.router.Search(client.ctx, search, time.Now(), func() bool { return client.closed.Load() })
			client.result <- err
		}()
		all[i] = client
	}
	rig.waitAccepted(clients)
	time.Sleep(50 * time.Millisecond)
	for _, client := range all {
		client.closed.Store(true)
	}
	// A connection may have been checked just before the close; that check must be out of date.
	time.Sleep(2 * parts.ClientSeenValidity)
	began := time.Now()
	rig.router.UpdateNodes(rig.nodeList(balance.Active, balance.Active))
	rig.expectNoWrite("Ab")
	for _, client := range all {
		client.notifyClosed()
	}
	for _, client := range all {
		receive(rig, "an end", client.result)
	}
	// Some searches are rejected on arrival, at random.
	if counts := rig.router.Counts(); counts.ClientsLeft+counts.Rejected != clients || counts.ClientsLeft == 0 || counts.InFlight != 0 {
		t.Fatalf("%+v", counts)
	}
	t.Logf("%d searches ended after %v", clients, time.Since(began))
}

// TestClientLeavesWhileQueued guards against accepting a search whose client left while the search waited in the router's
// queue, and whose close has been read.
func TestClientLeavesWhileQueued(t *testing.T) {
	rig := newTestRig(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	rig.whileBlocked(func() {
		go func() {
			_, err := rig.router.Search(ctx, rig.newSearch("all"), time.Now(), nil)
			ended <- err
		}()
		rig.waitQueued()
		cancel()
	})
	if err := receive(rig, "the end", ended); err == nil {
		t.Fatal("answered")
	}
	if counts := rig.router.Counts(); counts.Accepted != 0 || counts.AttemptsSent != 0 {
		t.Fatalf("accepted: %+v", counts)
	}
}
