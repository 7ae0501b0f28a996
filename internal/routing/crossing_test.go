package routing

import (
	"context"
	"testing"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
)

// search is one for both shards, by a door that can be asked.
func (g *rig) search(kind string) *protocol.Search {
	return &protocol.Search{ID: "a", Text: "t", Left: 60, Parts: []protocol.Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}},
		Kind: g.r.live.Load().Kinds[kind], Dealer: -1, Under: g.r.live.Load()}
}

// held holds up the router's goroutine.
func (g *rig) held(meanwhile func()) {
	g.Helper()
	in, on := make(chan struct{}), make(chan struct{})
	go g.r.post(func() { close(in); <-on })
	wait(g, "the router", in)
	meanwhile()
	close(on)
}

// TestLeftInAPause: a search waits for its first sub-request, and its client leaves while the process stands still. In the
// first turn after that a node can be sent to; nothing goes out, though nobody has yet read that the client has left.
func TestLeftInAPause(t *testing.T) {
	for _, left := range []bool{false, true} {
		g := newRig(t)
		g.r.Listed(g.list(balance.Draining, balance.Draining)) // shard 0 has no holder
		ctx, cancel := context.WithCancel(context.Background())
		s := g.search("all")
		s.Parts = s.Parts[:1]
		s.Parts[0].Weight = 1
		ended := make(chan error, 1)
		go func() {
			_, err := g.r.search(ctx, s, time.Now(), func() bool { return left })
			ended <- err
		}()
		for g.r.Counts().InHand == 0 {
			time.Sleep(time.Millisecond)
		}
		g.r.Stop() // from here on the test takes the turns
		g.r.halt = make(chan struct{})
		for g.r.clock() <= g.r.wakeAt+3*g.r.d.Terms.Tick {
			time.Sleep(time.Millisecond)
		}
		g.r.begin()
		g.r.list(g.list(balance.Active, balance.Active))
		g.r.finish()
		sent, gone := g.r.count.Sent, g.r.count.Gone
		cancel()
		if err := wait(g, "the end", ended); err == nil {
			t.Fatal("answered")
		}
		if left && (sent != 0 || gone != 1) || !left && (sent != 1 || gone != 0) { // else nothing could have gone out at all
			t.Fatalf("its client left: %v; %d sent, %d gone", left, sent, gone)
		}
	}
}

// TestLeftInLine: a client leaves while its search stands in line for the router. It is never taken.
func TestLeftInLine(t *testing.T) {
	g := newRig(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	g.held(func() {
		go func() {
			_, err := g.r.search(ctx, g.search("all"), time.Now(), nil)
			ended <- err
		}()
		for len(g.r.calls) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	})
	if err := wait(g, "the end", ended); err == nil {
		t.Fatal("answered")
	}
	if c := g.r.Counts(); c.Taken != 0 || c.Sent != 0 {
		t.Fatalf("taken: %+v", c)
	}
}
