package fleet

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"

	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
)

// replaceMember has the broker newcomer, which it starts with councilAfter as its council, take the place of the broker former.
func (f *testFleet) replaceMember(former, newcomer string, councilAfter []CouncilBroker) {
	f.t.Helper()
	original := f.council
	f.council = councilAfter
	f.start(newcomer)
	f.council = original
	admin := AdminClient{original, f.nodes[newcomer].keys, f.environment}
	waitUntil(f.t, "the replacement is accepted", func() bool {
		return admin.ReplaceMember(f.t.Context(), Replacement{former, newcomer}) == nil
	})
	waitUntil(f.t, newcomer+" has its vote at all members, and no member needs "+former, func() bool {
		for _, configured := range councilAfter {
			isVoter := func(entry council.Member) bool { return entry.Broker == newcomer && !entry.Learner }
			// In this order: a member has published that a change is in progress before it shows the newcomer's vote.
			hasVote := slices.ContainsFunc(f.membersAt(configured.Broker), isVoter)
			if !hasVote || f.nodes[configured.Broker].Status().Member.ChangeInProgress {
				return false
			}
		}
		return true
	})
}

// membersAt returns the council's members as the named broker has them; nil for no broker.
func (f *testFleet) membersAt(broker string) []council.Member {
	n := f.nodes[broker]
	if n == nil {
		return nil
	}
	members := make(chan []council.Member, 1)
	if !n.member.do(f.t.Context(), func() { members <- slices.Clone(n.member.replica.Members()) }) {
		return nil
	}
	return <-members
}

// loseDisk ends the named broker at once, removes its disk, and starts it again.
func (f *testFleet) loseDisk(broker string) {
	f.t.Helper()
	if f.nodes[broker] != nil {
		f.crash(broker)
	}
	if err := os.RemoveAll(filepath.Join(f.dir, broker)); err != nil {
		f.t.Fatal(err)
	}
	f.start(broker)
}

// TestNoSecondCouncilWithReplacedBrokers guards against two councils, and so two holders of one lease: two brokers of the
// council were replaced and run again with blank disks and their former configuration; then the broker that founds councils
// loses its disk, too, while it cannot be reached from the other members. It must not found a council with the replaced
// brokers, and has to join the existing one once that reaches it.
func TestNoSecondCouncilWithReplacedBrokers(t *testing.T) {
	fleet := newTestFleet(t)
	original := fleet.council
	newcomers := []CouncilBroker{{"b3", freeAddress(t)}, {"b4", freeAddress(t)}}
	fleet.start("b0", "b1", "b2", "c0")
	before := fleet.mustAcquire("c0", "job")

	// The newcomers cannot reach b0 while it is cut off.
	environment := fleet.environment
	var cutOff atomic.Bool
	fleet.environment.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if cutOff.Load() && addr == original[0].Addr {
			return nil, errors.New("cut off")
		}
		return environment.Dial(ctx, addr)
	}
	fleet.replaceMember("b1", "b3", []CouncilBroker{original[0], newcomers[0], original[2]})
	fleet.replaceMember("b2", "b4", []CouncilBroker{original[0], newcomers[0], newcomers[1]})
	fleet.environment = environment

	for _, replaced := range []string{"b1", "b2"} {
		fleet.loseDisk(replaced)
		waitUntil(t, replaced+" has learned of the council", func() bool { return fleet.nodes[replaced].hello(0).WriteCount > 0 })
	}
	cutOff.Store(true)
	fleet.loseDisk("b0")
	blank := func(broker string) bool { return fleet.nodes[broker].Status().Member.Blank }
	waitUntil(t, "b0 refuses to found a council", func() bool {
		return fleet.nodes["b0"].Counts()["founding refused"] > 2*foundingWaitTicks || !blank("b0")
	})
	if !blank("b0") || !blank("b1") || !blank("b2") {
		t.Fatal("a second council is founded")
	}
	cutOff.Store(false)
	waitUntil(t, "b0 is in the council of b3 and b4", func() bool {
		members := fleet.membersAt("b0")
		return !blank("b0") && slices.ContainsFunc(members, func(entry council.Member) bool { return entry.Broker == "b4" })
	})
	if after := fleet.mustAcquire("c0", "after"); after.Token <= before.Token {
		t.Error("tokens", before.Token, after.Token)
	}
}

// foundingMember returns the member of a broker that may found a council, whose goroutine does not run, so that the test itself
// calls manageMembership. The two other brokers of its council are connected, with unused disks.
func foundingMember(t *testing.T) *member {
	fleet := newTestFleet(t)
	keys, err := wire.ReadKeys(fleet.keyFile)
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{
		config:      fleet.config("b0"),
		environment: fleet.environment,
		keys:        keys,
		log:         quietLogger(),
		conns:       map[*wire.Conn]bool{},
		counts:      map[string]int64{},
	}
	if n.member, err = n.newMember(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	n.member.ctx = ctx
	t.Cleanup(func() {
		cancel()
		n.goroutines.Wait()
		n.member.store.Close()
	})
	for i, broker := range []string{"b1", "b2"} {
		n.member.inbound[broker] = []*inboundPeer{{Hello: wire.Hello{Broker: broker, StorageID: uint64(i + 1), StorageBlank: true}}}
	}
	return n.member
}

// TestFoundingWaitsForExistingCouncil guards against a second council that is founded before the members of the existing one
// could connect: with the other brokers' disks unused, the founding waits, and one member of a council that connects meanwhile
// prevents it for good.
func TestFoundingWaitsForExistingCouncil(t *testing.T) {
	for _, councilExists := range []bool{false, true} {
		m := foundingMember(t)
		for range foundingWaitTicks - 1 {
			m.manageMembership()
		}
		if !m.store.Blank() {
			t.Fatal("a council is founded without a wait")
		}
		if councilExists {
			m.recordCouncil()
		}
		for range 2 * foundingWaitTicks {
			m.manageMembership()
		}
		if m.store.Blank() != councilExists {
			t.Errorf("council exists: %v; disk is blank: %v", councilExists, m.store.Blank())
		}
	}
}

// TestFoundingNeedsUnusedDisks checks that a broker whose blank disk has been written, so that it knows of a council, prevents
// a founding.
func TestFoundingNeedsUnusedDisks(t *testing.T) {
	m := foundingMember(t)
	m.inboundPeer("b2").WriteCount = 1
	for range 2 * foundingWaitTicks {
		m.manageMembership()
	}
	if !m.store.Blank() {
		t.Error("a council is founded with a broker that knows of another")
	}
}

// TestReconnectedPeerStaysInbound guards against a broker that is overlooked, so that its new disk is never admitted: it connects
// again, as it does to tell of its disk. Its two connections may be added in any order, and the end of the former is noticed
// after both.
func TestReconnectedPeerStaysInbound(t *testing.T) {
	former, latter := &wire.Conn{}, &wire.Conn{}
	for _, order := range [][]*wire.Conn{{former, latter}, {latter, former}} {
		m := foundingMember(t)
		for _, conn := range order {
			hello := wire.Hello{Broker: "b9", StorageID: 9, StorageBlank: true}
			if conn == latter {
				hello.WriteCount = 1
			}
			m.addInbound(conn, hello)
		}
		if remote := m.inboundPeer("b9"); remote == nil || remote.WriteCount != 1 {
			t.Errorf("the former connection's hello counts: %+v", remote)
		}
		m.removeInbound("b9", former)
		if remote := m.inboundPeer("b9"); remote == nil || remote.WriteCount != 1 {
			t.Errorf("the broker is overlooked: %+v", remote)
		}
		m.removeInbound("b9", latter)
		if m.inboundPeer("b9") != nil || m.inbound["b9"] != nil {
			t.Error("a broker without a connection is kept")
		}
	}
}
