package program

import (
	"errors"
	"sync/atomic"

	"brackenfront/internal/routing"
)

// errDraining is the error for a request of the fleet to reload the settings while this broker drains or after it has ended.
var errDraining = errors.New("this broker is draining")

// fleetRequests passes requests from the fleet's goroutines to the goroutine of daemon.run, which carries them out.
type fleetRequests struct {
	// reloads passes requests to reload the settings; a request is the channel that receives its result.
	reloads chan chan error
	// restarts holds at most one request to drain and end, after which the supervisor starts the program again.
	restarts chan struct{}
	// shareChanges holds at most one notification that this broker's shares of the fleet's budgets have changed, so that
	// connections may have to be closed.
	shareChanges chan struct{}
	// programEnded is closed when the program ends, so that no request waits for it any more.
	programEnded chan struct{}
	// serving is set while the broker serves: from the start of the frontends to the beginning of the drain.
	serving atomic.Bool
}

// newFleetRequests returns a fleetRequests without any request.
func newFleetRequests() fleetRequests {
	return fleetRequests{
		reloads:      make(chan chan error),
		restarts:     make(chan struct{}, 1),
		shareChanges: make(chan struct{}, 1),
		programEnded: make(chan struct{}),
	}
}

// sharesChanged queues the notification that this broker's shares of the fleet's budgets have changed, on which the daemon
// closes the connections beyond its share. It does not wait.
func (r *fleetRequests) sharesChanged() {
	select {
	case r.shareChanges <- struct{}{}:
	default:
		// A notification is waiting already.
	}
}

// localBroker returns the functions that the fleet's code calls to read or change the state of this broker.
func (r *fleetRequests) localBroker(router *routing.Router, roundTripper *routing.RoundTripper) LocalBroker {
	return LocalBroker{
		Counters:      func() map[string]int64 { return fleetCounters(router, roundTripper) },
		SharesChanged: r.sharesChanged,
		Ready:         func() bool { return r.serving.Load() && router.Ready() },
		ReloadSettings: func() error {
			result := make(chan error, 1)
			select {
			case r.reloads <- result:
				return <-result
			case <-r.programEnded:
				return errDraining
			}
		},
		DrainForRestart: func() {
			select {
			case r.restarts <- struct{}{}:
			default:
				// The same request is waiting already.
			}
		},
	}
}
