package fleet

import (
	"context"
	"errors"

	"brackenfront/rollingrestart"
)

// turnRecord records the last turn of this process in a rolling restart.
type turnRecord struct {
	// planID is the number of the rolling-restart plan; 0 if there was no such order.
	planID uint64
	// failure says why the restart or reload could not be done; empty if it was done or, for a restart, has begun.
	failure string
}

// The reasons why a broker refuses an order to restart or reload as its turn in a rolling restart.
var (
	// errOtherProcess is returned if an order to restart or reload is for another process than this one, such as an earlier
	// process of this broker.
	errOtherProcess = errors.New("fleet: another process than the one whose turn it is")
	// errNotItsTurn is returned if the plan of the rolling restart that the council has committed does not say that this broker
	// has to restart or reload now.
	errNotItsTurn = errors.New("fleet: it is not this broker's turn by the agreed plan")
)

// takeTurn obeys an order to restart this broker or to reload its settings, if the plan of the rolling restart that the
// council has committed says that this broker has to do so now. A repeated order of the same plan does nothing and returns
// nil. The error says why the order was refused, or why the restart or reload failed.
func (n *Node) takeTurn(ctx context.Context, order rollingrestart.Order) error {
	n.turnMutex.Lock()
	defer n.turnMutex.Unlock()
	n.mu.Lock()
	before := n.lastTurn
	n.mu.Unlock()
	switch {
	case order.Process != n.processID:
		return errOtherProcess
	case before.planID == order.PlanID:
		return nil
	}
	note, err := (AdminClient{n.config.Council, n.keys, n.environment}).Note(ctx, planLease)
	if err != nil {
		return err
	}
	plan, err := readPlan(note)
	if err != nil {
		return err
	}
	if !plan.IsTurnOf(order.PlanID, n.config.Broker, n.processID) || plan.Action != order.Action {
		n.countEvent("turn not due")
		return errNotItsTurn
	}
	local := n.config.Local
	now := turnRecord{planID: order.PlanID}
	switch {
	case order.Action == rollingrestart.ReloadSettings && n.config.RollingRestarts && local.ReloadSettings != nil:
		if err := local.ReloadSettings(); err != nil {
			now.failure = err.Error()
		}
	case order.Action == rollingrestart.Restart && n.config.Restartable && local.DrainForRestart != nil:
	case order.Action == rollingrestart.Restart:
		now.failure = "it takes no turns in restarts: fleet.restarts is off there"
	default:
		now.failure = "it takes no turns: fleet.roll is off there"
	}
	n.mu.Lock()
	n.lastTurn = now
	n.mu.Unlock()
	if now.failure != "" {
		n.countEvent("turn failed")
		return errors.New(now.failure)
	}
	n.countEvent("turn taken")
	n.log.WithField("act", order.Action.String()).Info("fleet: this broker's turn in a roll")
	if order.Action == rollingrestart.Restart {
		local.DrainForRestart()
	}
	return nil
}
