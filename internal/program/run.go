package program

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// acceptAfterTerm is how long after SIGTERM new connections have to be accepted, as the protocol lets clients open them until
// then.
const acceptAfterTerm = 700 * time.Millisecond

// killMargin is how long before the earliest possible SIGKILL the last request in flight is answered at the latest. The
// platform may send SIGKILL some time after a SIGTERM.
const killMargin = 100 * time.Millisecond

// serve runs the broker until it has drained. It returns an error if the broker could not start, a frontend failed, or
// SIGINT has cut the drain short.
func (c *commandLine) serve(log *logrus.Logger, features OptionalFeatures) error {
	config, operatorOptions, err := c.read(features)
	if err != nil {
		return err
	}
	applyLogOptions(log, operatorOptions)
	received := handleSignals()
	applyRuntimeLimits(config)
	d, err := newDaemon(log, c, features, config, operatorOptions)
	if err != nil {
		return err
	}
	defer close(d.requests.programEnded)
	d.start()
	return d.run(received)
}

// errInterrupted is the error that the program ends with if SIGINT has cut its drain short.
var errInterrupted = errors.New("interrupted while draining")

// run handles signals and the fleet's requests until the program has drained. Every end but a crash includes a drain, also
// the end by an error, so that each request in flight gets its final answer: a request that may have run and whose
// connection is closed without an answer would look to its client like one that was never read.
func (d *daemon) run(received signals) error {
	// failure is the error that the program ends with.
	var failure error
	var cutShort context.CancelFunc
	for {
		select {
		case <-received.counters:
			d.logCounters()
		case <-received.hangup:
			d.reload()
		case number := <-received.terminate:
			// A second SIGTERM does not end the program at once; SIGINT and SIGKILL do.
			if d.draining {
				d.log.WithField("signal", number.String()).Info("draining already")
				break
			}
			d.log.WithField("signal", number.String()).Info("draining")
			cutShort = d.drain()
		case number := <-received.interrupt:
			if d.draining {
				d.log.WithField("signal", number.String()).Info("cutting the drain short")
				failure = errInterrupted
				cutShort()
				break
			}
			d.log.WithField("signal", number.String()).Info("draining")
			cutShort = d.drain()
		case result := <-d.requests.reloads:
			if d.draining {
				result <- errDraining
			} else {
				result <- d.reload()
			}
		case <-d.requests.shareChanges:
			d.nodePool.CloseExcess()
		case <-d.requests.restarts:
			if !d.draining {
				d.log.Info("draining to be started again")
				cutShort = d.drain()
			}
		case err := <-d.frontendEnded:
			if err == nil {
				break
			}
			failure = err
			d.log.WithError(err).Error("a frontend has ended")
			if !d.draining {
				cutShort = d.drain()
			}
		case <-d.drained:
			d.stop()
			return failure
		}
	}
}

// drain begins the drain and returns at once; the channel d.drained is closed once every request in flight has its answer.
// Calling cutShort ends the wait for these requests: they get a final answer at once.
func (d *daemon) drain() (cutShort context.CancelFunc) {
	d.draining = true
	d.requests.serving.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), acceptAfterTerm+d.drainTime())
	go func() {
		defer cancel()
		var others sync.WaitGroup
		if d.flightFrontend != nil {
			others.Go(func() { d.flightFrontend.Drain(ctx, acceptAfterTerm) })
		}
		// The leases are released at once, as other brokers wait for them.
		if d.fleetMember != nil {
			others.Go(func() { d.fleetMember.Close(ctx) })
		}
		d.server.Drain(ctx, acceptAfterTerm)
		others.Wait()
		close(d.drained)
	}()
	return cancel
}

// drainTime returns how long a drain waits for requests in flight: the longest deadline, but no more than the operator's
// drain deadline, and killMargin less than that, as a SIGKILL at the end of that time would end requests without an answer.
func (d *daemon) drainTime() time.Duration {
	untilKill := time.Duration(d.operatorOptions.Drain.DeadlineMS) * time.Millisecond
	return min(d.maxDeadline, untilKill) - killMargin
}
