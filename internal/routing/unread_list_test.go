package routing

import (
	"testing"
	"time"

	"brackenfront/balance"
)

// TestUnreadDrainAfterPause guards against attempts to a node that is known at this machine to drain: after a pause of the process, the
// update that says so lies unread when the router begins its first turn. It decides on no attempt before the update is applied, and
// goes on without it after listWaitTicks, as a discovery that stops within an update must not hold searches up.
func TestUnreadDrainAfterPause(t *testing.T) {
	for name, isDelivered := range map[string]bool{"the update comes": true, "the update never comes": false} {
		t.Run(name, func(t *testing.T) {
			rig := newTestRig(t)
			// Only n0 may get the part for shard 0, and after the update only n2.
			rig.router.UpdateNodes(rig.nodeList(balance.Active, balance.Draining))
			rig.waitFor("the list", func() bool { return rig.router.Counts().Turns > 1 && len(rig.router.callQueue) == 0 })
			rig.stopRouterGoroutine()
			router := rig.router
			unread := true
			router.listUnread = func() bool { return unread }
			search := rig.newSearch("all")
			active := &activeSearch{
				router:       router,
				request:      search,
				deadline:     time.Now().Add(testTimeout),
				answers:      make(chan pendingAnswer, 1),
				clientSeenAt: time.Now(),
			}
			active.permission.CheckDisconnected = func() bool { return false }
			rig.waitUntilTurnIsLate()
			router.callQueue <- func() { router.accept(active) }
			router.beginTurn()
			router.continueTurn()
			if counts := router.counts; counts.Accepted != 1 || counts.AttemptsSent != 0 {
				t.Fatalf("%d searches accepted, %d attempts before the update is read", counts.Accepted, counts.AttemptsSent)
			}
			if isDelivered {
				update := rig.nodeList(balance.Draining, balance.Active)
				update.Seq++
				router.callQueue <- func() { router.applyNodeUpdate(update) }
				unread = false
			}
			turns := 0
			rig.waitFor("the attempts", func() bool {
				turns++
				router.beginTurn()
				router.continueTurn()
				return router.counts.AttemptsSent == len(search.Parts)
			})
			if isDelivered && turns > 1 {
				t.Errorf("%d turns passed until the attempts were sent", turns)
			}
			if node := active.brokerSearch.PartNode(0); isDelivered && node == router.nodeIndexes["n0"] {
				t.Error("an attempt is sent to the node that drains")
			}
		})
	}
}
