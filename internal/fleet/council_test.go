package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
)

// TestLeasesSurviveLeaderAndDiskLoss checks that a council founds itself, grants leases, grants released leases to the
// next in the queue, and survives the loss of its leader and of a whole disk, with tokens that only increase.
func TestLeasesSurviveLeaderAndDiskLoss(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0", "c1")
	first := fleet.mustAcquire("c0", "job")
	if !first.Valid() {
		t.Error("a lease that was just acquired is not valid")
	}
	if _, err := fleet.acquire("c1", "job", 0); !errors.Is(err, ErrTaken) {
		t.Error("a second broker acquired a held lease:", err)
	}
	if _, err := fleet.acquire("c0", "job", 0); !errors.Is(err, ErrAlreadyRequested) {
		t.Error("the holder requested its lease again:", err)
	}
	acquired := make(chan *HeldLease)
	go func() { acquired <- fleet.mustAcquire("c1", "job") }()
	time.Sleep(100 * time.Millisecond)
	first.Release()
	second := <-acquired
	if second.Token <= first.Token || first.Valid() {
		t.Error("tokens", first.Token, second.Token)
	}

	leader := fleet.leader()
	fleet.close(leader)
	waitUntil(t, "another leader", func() bool { l := fleet.leader(); return l != "" && l != leader })
	third := fleet.mustAcquire("c0", "other")
	if third.Token <= second.Token || !second.Valid() {
		t.Error("after the leader's end: tokens", second.Token, third.Token, "valid", second.Valid())
	}

	// The former leader comes back without its disk.
	if err := os.RemoveAll(filepath.Join(fleet.dir, leader)); err != nil {
		t.Fatal(err)
	}
	fleet.start(leader)
	waitUntil(t, "the new disk is a member", func() bool {
		status := fleet.nodes[leader].Status().Member
		return !status.Blank && status.Applied > 1 && status.Leader != ""
	})
	waitUntil(t, "three members, no learner", func() bool {
		admin := AdminClient{fleet.council, fleet.nodes["c0"].keys, fleet.environment}
		all, _ := admin.Statuses(t.Context())
		for _, status := range all {
			if status.Member.IsLeader && len(status.Member.Members) == 3 {
				for _, member := range status.Member.Members {
					if member.Learner || !member.Active {
						return false
					}
				}
				return true
			}
		}
		return false
	})
	// With another member closed, the new disk is needed for a majority.
	for _, other := range []string{"b0", "b1", "b2"} {
		if other != leader {
			fleet.close(other)
			break
		}
	}
	if fourth := fleet.mustAcquire("c1", "fourth"); fourth.Token <= third.Token {
		t.Error("tokens", third.Token, fourth.Token)
	}
}

// TestCouncilFoundedOnce checks that the broker that founds councils, after it has lost its disk, joins the existing
// council and does not found a second one.
func TestCouncilFoundedOnce(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0")
	held := fleet.mustAcquire("c0", "job")
	fleet.close("b0")
	if err := os.RemoveAll(filepath.Join(fleet.dir, "b0")); err != nil {
		t.Fatal(err)
	}
	fleet.start("b0")
	waitUntil(t, "b0 belongs to a council", func() bool { return !fleet.nodes["b0"].Status().Member.Blank })
	members := fleet.nodes["b0"].member.replica.Members
	waitUntil(t, "b0 sees the other members beside its new disk", func() bool {
		result := make(chan []council.Member)
		fleet.nodes["b0"].member.do(t.Context(), func() { result <- slices.Clone(members()) })
		return len(<-result) >= 3
	})
	if status := fleet.nodes["b0"].Status().Member; status.Applied < 3 {
		t.Errorf("b0 has founded a council of its own: %+v", status)
	}
	if next := fleet.mustAcquire("c0", "next"); next.Token <= held.Token || !held.Valid() {
		t.Error("tokens", held.Token, next.Token, "valid", held.Valid())
	}
}

// TestLeaseLostWithoutMajority checks that without a majority of the council holders lose their leases by their own
// clocks and no lease is granted, and that with the majority back, the same leases are granted with new tokens.
func TestLeaseLostWithoutMajority(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0")
	held := fleet.mustAcquire("c0", "job")
	fleet.close("b0")
	fleet.close("b1")
	select {
	case <-held.Lost():
	case <-time.After(20 * time.Second):
		t.Fatal("the lease is still held without a council")
	}
	if held.Valid() {
		t.Error("a lost lease is valid")
	}
	if _, err := fleet.acquire("c0", "more", 0); !errors.Is(err, ErrTaken) {
		t.Error("a minority granted a lease:", err)
	}
	fleet.start("b0", "b1")
	again := fleet.mustAcquire("c0", "job")
	if again.Token <= held.Token || !again.Valid() {
		t.Error("tokens", held.Token, again.Token)
	}
	if held.Valid() || held.ValidUntil() != 0 {
		t.Error("the lost lease is valid again as the session is renewed")
	}
}

// TestAdminFollowsUnlistedLeader guards against a council that an operator cannot reach after a replacement: the leader is not
// among the brokers that the operator's settings list, and the listed one, which does not lead, names it.
func TestAdminFollowsUnlistedLeader(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0")
	fleet.mustAcquire("c0", "job")
	for _, listed := range fleet.council {
		admin := AdminClient{[]CouncilBroker{listed}, fleet.nodes["c0"].keys, fleet.environment}
		if leases, err := admin.Leases(t.Context(), "", 1); err != nil || len(leases.Leases) != 1 {
			t.Errorf("asked %s alone: %v %v", listed.Broker, leases, err)
		}
	}
}

// TestReplaceMember checks that an operator can replace a member of the council by another broker while leases are held.
func TestReplaceMember(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0")
	held := fleet.mustAcquire("c0", "job")
	admin := AdminClient{fleet.council, fleet.nodes["c0"].keys, fleet.environment}
	if err := admin.ReplaceMember(t.Context(), Replacement{"b1", "b9"}); err == nil {
		t.Error("a member was replaced by a broker that does not run")
	}
	original := fleet.council
	fleet.council = []CouncilBroker{original[0], {"b9", freeAddress(t)}, original[2]}
	fleet.start("b9")
	fleet.council = original
	waitUntil(t, "the replacement is accepted", func() bool { return admin.ReplaceMember(t.Context(), Replacement{"b1", "b9"}) == nil })
	waitUntil(t, "b9 is a member", func() bool {
		all, _ := admin.Statuses(t.Context())
		for _, status := range all {
			if status.Member.IsLeader && len(status.Member.Members) == 3 {
				for _, member := range status.Member.Members {
					if member.Broker == "b9" && !member.Learner {
						return true
					}
				}
			}
		}
		return false
	})
	fleet.close("b1")
	fleet.close("b0")
	if next := fleet.mustAcquire("c0", "after"); next.Token <= held.Token || !held.Valid() {
		t.Error("tokens", held.Token, next.Token, "valid", held.Valid())
	}
}

// TestKeyChange checks that a peer with another key is rejected and counted, and that keys can be changed while the
// brokers run without any of them losing its leases.
func TestKeyChange(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0")
	held := fleet.mustAcquire("c0", "job")
	changeKeys := func(firstBytes ...byte) {
		fleet.writeKeys(firstBytes...)
		for _, n := range fleet.nodes {
			if err := n.ReloadKeys(); err != nil {
				t.Fatal(err)
			}
		}
	}
	changeKeys('k', 'n')
	changeKeys('n', 'k')
	changeKeys('n')
	fleet.mustAcquire("c0", "more")
	if !held.Valid() {
		t.Error("the lease was lost while keys changed")
	}
	fleet.writeKeys('x')
	strangerKeys, err := wire.ReadKeys(fleet.keyFile)
	if err != nil {
		t.Fatal(err)
	}
	if _, failed := (AdminClient{fleet.council, strangerKeys, fleet.environment}).Statuses(t.Context()); len(failed) != 3 {
		t.Error("a client with another key got a reply")
	}
	waitUntil(t, "the refusal is counted", func() bool { return fleet.nodes["b0"].Counts()["refused key"] > 0 })
	os.Chmod(fleet.keyFile, 0o644)
	if err := fleet.nodes["b0"].ReloadKeys(); err == nil {
		t.Error("a key file that everybody may read was accepted")
	}
}

// TestWatchLease checks that a watch replies once the lease's holders have changed.
func TestWatchLease(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.start("b0", "b1", "b2", "c0")
	held := fleet.mustAcquire("c0", "job")
	admin := AdminClient{fleet.council, fleet.nodes["c0"].keys, fleet.environment}
	result, err := admin.Leases(t.Context(), "", 10)
	if err != nil || len(result.Leases) != 1 || result.Leases[0].Holders[0].Token != held.Token || result.Leases[0].Holders[0].Owner != "c0" {
		t.Fatal(result, err)
	}
	go func() { time.Sleep(100 * time.Millisecond); held.Release() }()
	result, err = admin.Watch(t.Context(), "job", []uint64{held.Token})
	if err != nil || len(result.Leases) != 1 || len(result.Leases[0].Holders) != 0 {
		t.Error(result, err)
	}
}
