// Package watch follows the list of nodes that the discovery service publishes. It keeps one HTTP call open to discovery, on which
// updates of the list arrive, and opens another one where that ends or no heartbeat comes in time.
//
// Terms of this package:
//   - A call is one HTTP request to discovery and the response to it, which stays open.
//   - An update is a JSON object in the response: the whole list, or the entries of it that changed.
//   - The version of a list is the number that discovery gives it (Seq); each change of the list increases it. An update has
//     the version of the list that it leads to, and is stale if that is lower than the version delivered last.
//   - To deliver an update is to call onUpdate with it.
//   - A heartbeat is a sign that discovery works: an empty line in the response, or the end of an update.
//   - An end code is a word that says why a call ended; it is logged.
package watch

import (
	"brackenfront/fairshare"
	"brackenfront/internal/transport/turns"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// heartbeatInterval is the longest time between two heartbeats of discovery on an open call. A heartbeat is an empty line or the end
// of an update; discovery sends an empty line where no update comes in time.
const heartbeatInterval = 2 * time.Second

// Timeouts, in multiples of heartbeatInterval. A change of the list must have been delivered within three of these intervals, counted
// from when discovery has it and can be reached, or from the last heartbeat on an open call. So maxSilence and one call that fails,
// or two such calls and a wait, have to leave time for the call that delivers the change. TestUpdateDelayAfterRecovery adds them up.
const (
	// maxSilence is the longest time without a heartbeat between two updates, in multiples of heartbeatInterval; then the watcher
	// ends the call and makes another.
	maxSilence = 1.5
	// maxDelay bounds, in multiples of heartbeatInterval, each of three times: until a connection is open and the response's head
	// has come, from then until the first heartbeat or the beginning of an update, and from the beginning of an update to its end.
	maxDelay = 1.25
	// maxRetryWait is the longest wait between two calls to discovery, in multiples of heartbeatInterval.
	maxRetryWait = 0.5
)

// Watcher calls the discovery service from Start until Close, and delivers each update of the list of nodes to a function. Its
// methods may be called from any goroutine, but SetCloseUnused has to be called before Start.
type Watcher struct {
	// seq is the version of the list that was delivered last, or that the watcher was given by New or SwitchDiscovery. Like listID,
	// it is used only by the goroutine of run once that has started.
	seq int64
	// listID identifies the list that seq is a version of; it is passed on as ListGeneration of each protocol.DiscoveryUpdate.
	listID int
	// retryWait is the wait after the first failed call; it doubles from call to call, up to maxRetryWait. It is also the pause
	// between two dials of one call while no file descriptor is free.
	retryWait time.Duration
	// log gets a line for each call that ends.
	log *logrus.Logger
	// onUpdate is called with every update whose version is not older than seq, in the order of arrival.
	onUpdate func(protocol.DiscoveryUpdate)
	// onLost is called when a call has failed or ended, except by SwitchDiscovery or Close.
	onLost func()
	// dial opens the connections to discovery, by TCP except in tests.
	dial parts.DialFunc
	// closeUnused closes at most limit unused connections of this process, and returns how many it closed; it is called where no
	// file descriptor is free for a connection to discovery. SetCloseUnused sets it.
	closeUnused func(limit int) int
	// httpClient makes the calls, each on a connection of its own, which connect opens.
	httpClient http.Client
	// heartbeatInterval is the constant of that name, except in tests.
	heartbeatInterval time.Duration
	// stop ends the goroutine of run; nil before Start, and after Close a function that does nothing.
	stop context.CancelFunc
	// running lets Close wait for the goroutine of run.
	running sync.WaitGroup

	// mu guards stop and all fields below.
	mu sync.Mutex
	// addr is discovery's address, as host:port.
	addr string
	// switchTo is set by SwitchDiscovery: the version and list identity (Seq and ListGeneration) that seq and listID take when the
	// next call begins, so that it requests the changes since that version. It is nil where they stay as they are.
	switchTo *protocol.DiscoveryUpdate
	// cancelCall ends the open call, or the wait for the next one, so that the next call begins at once.
	cancelCall context.CancelFunc
	// counts are the totals, of which the method Counts returns a copy.
	counts Counts

	// turn is the right to the processor of the goroutine that reads from discovery, which it holds while it works on what it has read;
	// nil for no such turns.
	turn *turns.Turn
}

// Counts are totals of a Watcher's calls to discovery, and of the updates that came on them, since the Watcher was made.
type Counts struct {
	// Calls is how many HTTP calls to discovery were begun.
	Calls int
	// Updates is how many well-formed updates came, including those that were dropped as stale.
	Updates int
	// HostEntries is the number of entries of nodes in all the updates that Updates counts, together.
	HostEntries int
	// MalformedUpdates is how many updates could not be parsed or were longer than maxUpdateBytes; Updates does not count them.
	MalformedUpdates int
	// StaleUpdates is how many of the Updates were of an older version of the list than the one delivered last; they were dropped.
	StaleUpdates int
}

// New returns a Watcher of the discovery service at addr (host:port). It does nothing before Start. Its first call requests the
// changes since known.Seq, the version that the caller has already. After the first failed call it waits for retryWait, and
// after each further one twice as long, up to maxRetryWait. onUpdate is called with every update that is not older than the
// version delivered last, in the order of arrival; onLost is called whenever a call has failed or ended, except by
// SwitchDiscovery or Close. Both are called from one goroutine, and may wait.
func New(addr string, known protocol.DiscoveryUpdate, retryWait time.Duration, log *logrus.Logger,
	onUpdate func(protocol.DiscoveryUpdate), onLost func()) *Watcher {
	w := &Watcher{
		addr:              addr,
		seq:               known.Seq,
		listID:            known.ListGeneration,
		retryWait:         retryWait,
		log:               log,
		onUpdate:          onUpdate,
		onLost:            onLost,
		heartbeatInterval: heartbeatInterval,
		cancelCall:        func() {},
		closeUnused:       func(int) int { return 0 },
	}
	w.dial = (&net.Dialer{KeepAlive: -1}).DialContext
	w.httpClient.Transport = &http.Transport{DialContext: w.connect, DisableKeepAlives: true, Proxy: nil}
	return w
}

// connect opens the connection for a call to addr (host:port); the HTTP transport calls it. It fails after maxDelay times
// heartbeatInterval at the latest, because the transport lets a dial go on after its call has ended.
func (w *Watcher) connect(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, w.heartbeatIntervals(maxDelay))
	defer cancel()
	return w.dial.DialWithRetry(ctx, addr, w.closeUnused, w.retryWait, w.heartbeatIntervals(maxDelay))
}

// SetCloseUnused sets the function that is called where the process has no file descriptor left for a connection to
// discovery: it closes at most limit unused connections, and returns how many it closed. It may be called from any goroutine.
// SetCloseUnused must be called before Start.
func (w *Watcher) SetCloseUnused(closeUnused func(limit int) int) { w.closeUnused = closeUnused }

// SetTurns makes the goroutine that reads from discovery take turns at the processor. It must be called before Start.
func (w *Watcher) SetTurns(scheduler *turns.Scheduler) {
	w.turn = scheduler.NewTurn(&fairshare.Source{})
}

// heartbeatIntervals returns n times the Watcher's heartbeatInterval.
func (w *Watcher) heartbeatIntervals(n float64) time.Duration {
	return time.Duration(n * float64(w.heartbeatInterval))
}

// Start starts the goroutine that makes HTTP calls to discovery until Close, a new one whenever one has ended. Start has no effect
// if it was called before, or after Close.
func (w *Watcher) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.running.Add(1)
	go w.run(ctx)
}

// SwitchDiscovery ends the open call and at once calls discovery at addr (host:port). If from is not nil, the new call requests
// the changes since from.Seq, and its updates carry from.ListGeneration; addr may then be the current address. Updates of the
// previous list may still be delivered meanwhile, with their own ListGeneration. If from is nil, the new call requests the
// changes since the version delivered last; if addr also is the current address, SwitchDiscovery has no effect.
func (w *Watcher) SwitchDiscovery(addr string, from *protocol.DiscoveryUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if from == nil && addr == w.addr {
		return
	}
	w.addr = addr
	if from != nil {
		w.switchTo = from
	}
	w.cancelCall()
}

// Close ends the open call and returns once no more updates are delivered; Start has no effect afterwards.
func (w *Watcher) Close() {
	w.mu.Lock()
	stop := w.stop
	// With a stop that is not nil, Start has no effect from now on.
	w.stop = func() {}
	w.mu.Unlock()
	if stop != nil {
		stop()
		w.running.Wait()
	}
}

// Counts returns a copy of the totals.
func (w *Watcher) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// run makes one call to discovery after another until ctx ends, and logs the end of each. Between two calls it waits (retryWait
// says how long), except after a call that SwitchDiscovery ended.
func (w *Watcher) run(ctx context.Context) {
	defer w.running.Done()
	wait := w.retryWait
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		w.mu.Lock()
		addr := w.addr
		if w.switchTo != nil {
			w.seq, w.listID, w.switchTo = w.switchTo.Seq, w.switchTo.ListGeneration, nil
		}
		w.cancelCall = cancel
		w.mu.Unlock()
		began := time.Now()
		updates, code, err := w.follow(callCtx, addr)
		if callCtx.Err() != nil && ctx.Err() == nil {
			code, err = codeMoved, nil
		}
		entry := w.log.WithField("side", "discovery").WithField("peer", addr).WithField("code", code).
			WithField("updates", updates).WithField("ms", time.Since(began).Milliseconds())
		if err != nil {
			entry = entry.WithError(err)
		}
		entry.Info("connection ended")
		if ctx.Err() != nil {
			cancel()
			return
		}
		// After a switch the next call delivers all changes, so that no loss is reported.
		if callCtx.Err() != nil {
			wait = w.retryWait
			continue
		}
		w.onLost()
		// Only a call that lasted longer than heartbeatInterval resets the wait, because discovery may end every call at once, or
		// send a malformed update on every one.
		if time.Since(began) > w.heartbeatInterval {
			wait = w.retryWait
		}
		select {
		case <-callCtx.Done():
			// It is doubled below, so that the next wait takes retryWait again.
			wait = w.retryWait / 2
		case <-time.After(wait):
		}
		cancel()
		wait = min(2*wait, w.heartbeatIntervals(maxRetryWait))
	}
}

// follow makes one call to discovery at addr (host:port) and delivers the updates that come on it. It returns when the call
// ends, with the number of well-formed updates, the end code for the log that says why it ended (codeMoved and so on), and the
// error that ended it, if any.
func (w *Watcher) follow(ctx context.Context, addr string) (updates int, code string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/servers?follow=1&since=%d", addr, w.seq)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, codeBroken, err
	}
	w.mu.Lock()
	w.counts.Calls++
	w.mu.Unlock()
	// Ends the call if no heartbeat comes in time, because the connection itself does not show that.
	silenceTimer := time.AfterFunc(w.heartbeatIntervals(maxDelay), cancel)
	defer silenceTimer.Stop()
	res, err := w.httpClient.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return 0, codeSilent, err
		}
		return 0, codeUnreached, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, codeStatus, fmt.Errorf("answered %s", res.Status)
	}
	silenceTimer.Reset(w.heartbeatIntervals(maxDelay))
	defer w.turn.End()
	body := &updateReader{
		body:          res.Body,
		turn:          w.turn,
		bytesLeft:     maxUpdateBytes,
		onHeartbeat:   func() { silenceTimer.Reset(w.heartbeatIntervals(maxSilence)) },
		onUpdateBegun: func() { silenceTimer.Reset(w.heartbeatIntervals(maxDelay)) },
	}
	for decoder := json.NewDecoder(body); ; {
		var text json.RawMessage
		if err := decoder.Decode(&text); err != nil {
			var syntax *json.SyntaxError
			switch {
			case ctx.Err() != nil:
				return updates, codeSilent, nil
			case err == io.EOF:
				return updates, codeEnded, nil
			case err == errUpdateTooLong || errors.As(err, &syntax):
				return updates, codeMalformed, w.countMalformed(err)
			}
			return updates, codeBroken, err
		}
		body.beginNext(decoder.Buffered())
		list, err := protocol.ParseDiscoveryUpdate(text)
		if err != nil {
			return updates, codeMalformed, w.countMalformed(err)
		}
		updates++
		w.mu.Lock()
		w.counts.Updates++
		w.counts.HostEntries += len(list.Nodes)
		stale := list.Seq < w.seq
		if stale {
			w.counts.StaleUpdates++
		}
		w.mu.Unlock()
		// The later version is kept, not the one that arrives later, because discovery may be behind the one that the watcher
		// followed before a switch.
		if stale {
			continue
		}
		w.seq, list.ListGeneration = list.Seq, w.listID
		w.turn.End()
		begunAt := time.Now()
		w.onUpdate(list)
		w.turn.ChargeSince(begunAt)
	}
}

// countMalformed adds 1 to Counts.MalformedUpdates for an update that could not be parsed or was too long. err says why, and is
// returned as it is.
func (w *Watcher) countMalformed(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.MalformedUpdates++
	return err
}
