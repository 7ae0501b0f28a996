package program

import (
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/fairshare"
	"brackenfront/internal/transport/turns"
)

// The limits on the processor time of peers of one kind: all clients, or all nodes and discovery. Their target: whatever peers send, a
// goroutine that can run waits for them for a few milliseconds, so that a search, which has some ten such waits, keeps within the slack
// of the protocol's time limits (socketSlack).
const (
	// turnBurst is how long peers of one kind together may keep the processor before all others get it.
	turnBurst = time.Millisecond
	// turnShare is the share of the processor that they may take while others want it.
	turnShare = 0.5
	// freeTurnShare is the share that they may take without any pause.
	freeTurnShare = 0.1
	// lightTurnBurst is how much processor time one connection may take at once without coming after the others: that of a few searches.
	lightTurnBurst = 250 * time.Microsecond
	// lightTurnShare is the share of the processor that one connection may take for good without coming after the others.
	lightTurnShare = 0.05
	// maxTurn is how long a connection's turn lasts at most before others need not wait for its end.
	maxTurn = 5 * time.Millisecond
)

// newTurns returns a scheduler of the turns of peers of one kind.
func newTurns() *turns.Scheduler {
	return turns.NewScheduler(fairshare.Limits{
		Slots:      runtime.GOMAXPROCS(0),
		Burst:      turnBurst,
		Share:      turnShare,
		FreeShare:  freeTurnShare,
		LightBurst: lightTurnBurst,
		LightShare: lightTurnShare,
		MaxTurn:    maxTurn,
	})
}

// setTurnSlots makes the number of turns that run at once that of the processors, which the settings state.
func (d *daemon) setTurnSlots() {
	d.clientTurns.SetSlots(runtime.GOMAXPROCS(0))
	d.peerTurns.SetSlots(runtime.GOMAXPROCS(0))
}

// logTurnCounts logs how the peers took turns: their number, those that had to wait, the longest wait and the time used.
func (d *daemon) logTurnCounts() {
	clients := d.clientTurns.Counts()
	peers := d.peerTurns.Counts()
	d.log.WithFields(logrus.Fields{
		"clients":            clients.Turns,
		"clients_waited":     clients.Waited,
		"clients_longest_us": clients.LongestWait.Microseconds(),
		"clients_used_ms":    clients.Used.Milliseconds(),
		"peers":              peers.Turns,
		"peers_waited":       peers.Waited,
		"peers_longest_us":   peers.LongestWait.Microseconds(),
		"peers_used_ms":      peers.Used.Milliseconds(),
	}).Info("counters: turns")
}
