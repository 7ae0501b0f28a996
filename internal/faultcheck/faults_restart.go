package faultcheck

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
)

// Sizes of a restart with requests in every state.
const (
	// restartRounds is how many restarts a scenario has.
	restartRounds = 2
	// searchesPerRestart is how many searches are delivered before each restart, and again after it.
	searchesPerRestart = 12
)

// repeatAcrossRestartFault returns a fault that delivers searches to one broker, restarts it by restart, and delivers the same bytes to it
// again. When the broker ends, some of the searches were answered, some failed, some were refused, some are in flight at nodes, and some
// are written in part.
//
// The new process knows nothing of what the old one had sent, so a search that runs again counts as a violation between brokers. All other
// rules hold for both processes, including that a process which ends gracefully answers what it had read. The searches are numbered from
// firstNumber on; no other searches have these numbers.
func repeatAcrossRestartFault(name, description string, restart func(b *broker) error, firstNumber int) InjectedFault {
	return InjectedFault{
		Name:        name,
		Side:        SideProcess,
		Description: description,
		react: func(r *scenarioRun, _ *rand.Rand, _ *node, request partRequest, _ int) (reaction, bool) {
			planned, ok := failureReactions[r.nodeFailureOf(request.search)]
			return planned, ok
		},
		event: func(r *scenarioRun, random *rand.Rand) (err error) {
			for round := range restartRounds {
				b := r.brokers[random.IntN(len(r.brokers))]
				err = errors.Join(err, r.restartDuringSearches(b, restart, firstNumber+round*searchesPerRestart))
			}
			return err
		},
	}
}

// Names of the node failures that repeatAcrossRestartFault injects, so that searches are in different states at the restart. A node failure
// determines how nodes respond to all attempts of the search that scenarioRun.setNodeFailure sets it for.
const (
	// failureFault: nodes answer with errors.
	failureFault = "fault"
	// failureOverload: nodes reject the attempts as overloaded, which says that they never ran.
	failureOverload = "overload"
	// failureSlow: nodes answer late.
	failureSlow = "slow"
)

// failureReactions maps the name of a node failure (failureFault, failureOverload or failureSlow) to what nodes do with all attempts of a
// search for which it is injected.
var failureReactions = map[string]reaction{
	failureFault:    {kind: reactFault, workDone: true},
	failureOverload: {kind: reactOverload},
	failureSlow:     {delay: 4 * maxWorkTime},
}

// stateAtRestart is the state of a search as its broker ends.
type stateAtRestart int

const (
	// stateSucceeded: the search was answered.
	stateSucceeded stateAtRestart = iota
	// stateFailed: the search failed because nodes answered with errors.
	stateFailed
	// stateRefused: the search was refused, because all nodes rejected its attempts as overloaded.
	stateRefused
	// stateInFlight: the search's attempts are in flight at nodes.
	stateInFlight
	// stateWrittenInPart: the client has written only the first part of the request's bytes.
	stateWrittenInPart
	// stateCount is the number of values of stateAtRestart.
	stateCount
)

// String returns the state's name, such as "in flight". It becomes part of Delivery.Fault of the deliveries before the restart.
func (s stateAtRestart) String() string {
	return [...]string{"succeeded", "failed", "refused", "in flight", "written in part"}[s]
}

// failureForState maps a state to the name of the node failure that brings a search into that state; "" for none.
var failureForState = [stateCount]string{stateSucceeded: "", stateFailed: failureFault, stateRefused: failureOverload, stateInFlight: failureSlow}

// restartDuringSearches delivers searchesPerRestart searches to the broker, numbered from firstNumber on, and calls restart, which restarts
// the broker, when they are in the states of stateAtRestart. Then it delivers the same searches again.
func (r *scenarioRun) restartDuringSearches(b *broker, restart func(b *broker) error, firstNumber int) error {
	var searches []search
	// beforeRestart waits for the deliveries that end before the restart, acrossRestart for the others.
	var beforeRestart, acrossRestart sync.WaitGroup
	for i := range searchesPerRestart {
		s, state := r.makeSearch(firstNumber+i), stateAtRestart(i%int(stateCount))
		searches = append(searches, s)
		r.setNodeFailure(s.id, failureForState[state])
		options := deliveryOptions{fault: fmt.Sprintf("before the restart, %s", state)}
		if state == stateWrittenInPart {
			options.truncateAfterBytes = len(s.usualBytes()) * (i + 1) / (searchesPerRestart + 1)
		}
		r.countInjection()
		if state < stateInFlight {
			beforeRestart.Go(func() { r.client.deliver(b, s, options) })
			continue
		}
		acrossRestart.Go(func() {
			beforeRestart.Wait()
			r.client.deliver(b, s, options)
		})
	}
	beforeRestart.Wait()
	for i, s := range searches {
		if stateAtRestart(i%int(stateCount)) == stateInFlight {
			r.recorder.waitUntil(eventTimeout, hasArrived(s))
		}
	}
	err := restart(b)
	acrossRestart.Wait()
	if err != nil {
		return err
	}
	var afterRestart sync.WaitGroup
	for _, s := range searches {
		r.setNodeFailure(s.id, "")
		afterRestart.Go(func() { r.client.deliver(b, s, deliveryOptions{fault: "again after the restart"}) })
	}
	afterRestart.Wait()
	return nil
}

// restartGracefully ends a broker by SIGTERM and starts it again.
func restartGracefully(b *broker) error {
	if err := b.terminate(); err != nil {
		return err
	}
	return b.restart()
}

// restartAfterKill ends a broker by SIGKILL and starts it again.
func restartAfterKill(b *broker) error {
	b.kill()
	return b.restart()
}
