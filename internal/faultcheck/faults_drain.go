package faultcheck

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Sizes and times of a drain that is cut short.
const (
	// searchesInDrain is how many searches drainCutShortFault delivers; nodes answer none of their attempts.
	searchesInDrain = 4
	// connectAfter is how long after SIGTERM the clients connect; brokers still get new connections then.
	connectAfter = 250 * time.Millisecond
	// sendHeadAfter is how long after SIGTERM the clients write their requests, head and body, except for the last byte. The broker's
	// time limit for reading the body begins then; if it began at connectAfter, it would have passed when the clients write the last
	// byte.
	sendHeadAfter = 950 * time.Millisecond
	// writtenBeforeKill is how long before the earliest time of SIGKILL the clients write the last bytes of their requests. It is shorter
	// than 0.1 s plus the broker's wait for an attempt without an answer, so that the requests are still unanswered when SIGKILL may
	// come.
	writtenBeforeKill = 150 * time.Millisecond
)

// drainCutShortFault returns a fault in which requests arrive so late in a drain that SIGKILL may come before their deadline, while nodes
// do not answer. The clients wait until the broker ends the connections or answers.
func drainCutShortFault() InjectedFault {
	return InjectedFault{
		Name:        "drain-cut-short",
		Side:        SideProcess,
		Description: "a broker ends gracefully with requests unanswered whose deadline is only after SIGKILL may come, and is started again",
		react: func(r *scenarioRun, _ *rand.Rand, _ *node, request partRequest, _ int) (reaction, bool) {
			return reaction{kind: reactSilence, workDone: true}, r.nodeFailureOf(request.search) == "silence"
		},
		event: func(r *scenarioRun, random *rand.Rand) error {
			b := r.brokers[random.IntN(len(r.brokers))]
			terminated := time.Now()
			ended := make(chan error, 1)
			go func() { ended <- b.terminate() }()
			// All of these sleeps are part of the injected fault, not waits for anything.
			sleepUntil := func(t time.Time) func() { return func() { time.Sleep(time.Until(t)) } }
			writeLastByteAt := terminated.Add(r.setting.Deadline + killDelay - writtenBeforeKill)
			var clients sync.WaitGroup
			for i := range searchesInDrain {
				s := r.makeSearch(maxSearches + i)
				r.setNodeFailure(s.id, "silence")
				clients.Go(func() {
					sleepUntil(terminated.Add(connectAfter))()
					r.client.deliver(b, s, deliveryOptions{
						fault:  "unanswered at the end of a drain",
						pauses: [2]func(){sleepUntil(terminated.Add(sendHeadAfter)), sleepUntil(writeLastByteAt)},
					})
				})
			}
			clients.Wait()
			if err := <-ended; err != nil {
				return err
			}
			return b.restart()
		},
	}
}
