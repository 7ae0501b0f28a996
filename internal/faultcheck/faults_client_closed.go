package faultcheck

import (
	"math/rand/v2"
	"sync"
	"time"
)

// longAfterClose is the time from a client's close to the failure of what is still in flight for its search. It is longer than
// clientClosedAllowance, for which attempts may still come.
const longAfterClose = clientClosedAllowance + 3*maxWorkTime

// failuresAfterClose maps the name of a node failure, as setNodeFailure takes it, to how nodes end an attempt longAfterClose after its
// client has closed. After each of these ends there is reason for a further attempt, which the broker must not send.
var failuresAfterClose = map[string]reactionKind{
	"late fault":    reactFault,
	"late overload": reactOverload,
	"late reset":    reactReset,
	"late end":      reactHalfClose,
	"late silence":  reactSilence,
}

// closeForGoodFault returns a fault in which clients close their side once a node has the search, and never deliver the search again. After
// longAfterClose all that is in flight for it fails, which gives the broker a reason for further attempts; it must send none.
func closeForGoodFault() InjectedFault {
	fault := clientFault("leave-for-good", "the connection closed for good once a node has the search; later all that is in flight for it fails",
		func(r *scenarioRun, random *rand.Rand, s search, b *broker) {
			nodeFailures := []string{"late fault", "late overload", "late reset", "late end", "late silence"}
			r.setNodeFailure(s.id, nodeFailures[random.IntN(len(nodeFailures))])
			r.client.deliver(b, s, deliveryOptions{
				fault:               "closes for good",
				afterWrite:          []afterWriteAction{actionClose, actionReset, actionHalfClose}[random.IntN(3)],
				afterWriteCondition: hasArrived(s),
				onClosed: func() {
					time.AfterFunc(longAfterClose, func() { r.reachMilestone(milestone{milestoneLongClosed, s.id}) })
				},
			})
		})
	fault.react = func(r *scenarioRun, _ *rand.Rand, _ *node, request partRequest, _ int) (reaction, bool) {
		kind, ok := failuresAfterClose[r.nodeFailureOf(request.search)]
		return reaction{
			kind:          kind,
			workDone:      kind != reactOverload,
			answerGivenUp: true,
			waitFor:       r.milestoneChannel(milestone{milestoneLongClosed, request.search}),
		}, ok
	}
	fault.adjustSetting = func(s *Setting) { s.MaxAttempts = 4 }
	return fault
}

// clientsClosingAtOnce is how many clients each write one request to the paused broker of closeWhilePausedFault and then close.
const clientsClosingAtOnce = 8

// closeWhilePausedFault returns a fault in which clients write requests to a broker stopped by SIGSTOP, and close for good: when the broker
// continues, it finds the requests and the closes unread.
func closeWhilePausedFault() InjectedFault {
	return InjectedFault{
		Name:        "leave-while-stopped",
		Side:        SideClient,
		Description: "clients write to a paused broker and close for good; it goes on once no attempts may be sent for them any more",
		event: func(r *scenarioRun, random *rand.Rand) error {
			b := r.brokers[random.IntN(len(r.brokers))]
			b.pauseDuring(b.currentProcess(), func() {
				var clients sync.WaitGroup
				for i := range clientsClosingAtOnce {
					s := r.makeSearch(maxSearches + i)
					clients.Go(func() {
						r.client.deliver(b, s, deliveryOptions{
							fault:      "closes while its broker is paused",
							afterWrite: []afterWriteAction{actionClose, actionReset}[i%2],
						})
					})
				}
				clients.Wait()
				// The pause is the injected fault, not a wait for anything.
				time.Sleep(longAfterClose)
			})
			r.waitForSearches()
			return nil
		},
	}
}
