// Package watch follows discovery's list of nodes.
package watch

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
)

// heartbeat is how often a watch says at least an empty line. Two missing ones end it: whatever
// discovery has to tell counts as told after three, and a new watch may still bring it before that.
const (
	heartbeat = 2 * time.Second
	missing   = 2
)

// maxLine bounds one word of discovery.
const maxLine = 16 << 20

// Watch follows discovery until it is stopped.
type Watch struct {
	seq  int64
	wait time.Duration // before the second try; it doubles up to a heartbeat
	log  *logrus.Logger
	told func(protocol.Listing)
	lost func()
	http http.Client
	beat time.Duration
	stop context.CancelFunc
	end  sync.WaitGroup

	mu    sync.Mutex
	addr  string
	from  *int64             // the version that the next watch goes on from, where that is not the one in hand
	turn  context.CancelFunc // ends the watch that runs, or the wait for the next
	count Counts
}

// Counts are sums since the start.
type Counts struct{ Watches, Words, Entries, Broken int }

// New follows the list from known on. told gets every word in order, lost hears that a watch
// ended; both may wait. Nothing happens before Start.
func New(addr string, known protocol.Listing, wait time.Duration, log *logrus.Logger,
	told func(protocol.Listing), lost func()) *Watch {
	w := &Watch{addr: addr, seq: known.Seq, wait: wait, log: log, told: told, lost: lost, beat: heartbeat,
		turn: func() {}}
	d := net.Dialer{Timeout: heartbeat, KeepAlive: -1}
	w.http.Transport = &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, Proxy: nil,
		ResponseHeaderTimeout: missing * heartbeat}
	return w
}

// Start begins to follow; more calls change nothing, as it takes up lost watches by itself.
func (w *Watch) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.end.Add(1)
	go w.run(ctx)
}

// Move goes on at another address, at once and from the version in hand: what changed while no watch
// was open comes with the first word of the next.
func (w *Watch) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		w.addr = addr
		w.turn()
	}
}

// Rewind goes on from another list, at an address that may be another: what is told next is what changed since then.
func (w *Watch) Rewind(addr string, known protocol.Listing) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr, w.from = addr, &known.Seq
	w.turn()
}

// Close ends it and waits.
func (w *Watch) Close() {
	w.mu.Lock()
	stop := w.stop
	w.stop = func() {} // not to be started any more
	w.mu.Unlock()
	if stop != nil {
		stop()
		w.end.Wait()
	}
}

// Counts gives the sums.
func (w *Watch) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

func (w *Watch) run(ctx context.Context) {
	defer w.end.Done()
	wait := w.wait
	for ctx.Err() == nil {
		turn, cancel := context.WithCancel(ctx)
		w.mu.Lock()
		addr := w.addr
		if w.from != nil {
			w.seq, w.from = *w.from, nil
		}
		w.turn = cancel
		w.mu.Unlock()
		began := time.Now()
		words, code, err := w.follow(turn, addr)
		if turn.Err() != nil && ctx.Err() == nil {
			code, err = "moved", nil
		}
		entry := w.log.WithField("side", "discovery").WithField("peer", addr).WithField("code", code).
			WithField("words", words).WithField("ms", time.Since(began).Milliseconds())
		if err != nil {
			entry = entry.WithError(err)
		}
		entry.Info("connection ended")
		if ctx.Err() != nil {
			cancel()
			return
		}
		if turn.Err() != nil { // nothing is lost that the next watch does not bring
			wait = w.wait
			continue
		}
		w.lost()
		// Guards against a discovery that ends, or spoils, every watch at once: only one that lasted counts.
		if time.Since(began) > w.beat {
			wait = w.wait
		}
		select {
		case <-turn.Done():
			wait = w.wait / 2
		case <-time.After(wait):
		}
		cancel()
		wait = min(2*wait, w.beat)
	}
}

// follow holds one watch until it ends.
func (w *Watch) follow(ctx context.Context, addr string) (words int, code string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/servers?follow=1&since=%d", addr, w.seq)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "broken", err
	}
	w.mu.Lock()
	w.count.Watches++
	w.mu.Unlock()
	// Guards against a discovery that fell silent: the connection shows nothing of it.
	quiet := time.AfterFunc(missing*w.beat, cancel)
	defer quiet.Stop()
	res, err := w.http.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return 0, "silent", err
		}
		return 0, "unreached", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, "status", fmt.Errorf("answered %s", res.Status)
	}
	r := bufio.NewReader(res.Body)
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		quiet.Reset(missing * w.beat)
		line = append(line, chunk...)
		if err == bufio.ErrBufferFull {
			if len(line) > maxLine {
				return words, "malformed", fmt.Errorf("a line of over %d bytes", maxLine)
			}
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return words, "silent", nil
			}
			if err == io.EOF {
				return words, "ended", nil
			}
			return words, "broken", err
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			list, err := protocol.ParseListing(text)
			if err == nil && !list.Whole && list.Seq < w.seq {
				err = fmt.Errorf("changes of version %d after version %d", list.Seq, w.seq)
			}
			if err != nil {
				w.mu.Lock()
				w.count.Broken++
				w.mu.Unlock()
				return words, "malformed", err
			}
			words++
			w.seq = list.Seq
			w.mu.Lock()
			w.count.Words++
			w.count.Entries += len(list.Hosts)
			w.mu.Unlock()
			w.told(list)
		}
		line = line[:0]
	}
}
