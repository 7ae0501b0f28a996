package zoneloss

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"brackenfront/internal/standin"
)

// discovery is a stand-in for the discovery service, which sends every change of its list of nodes to all watches. Its methods may be
// called from any goroutine.
type discovery struct {
	// mu guards the fields below.
	mu sync.Mutex
	// changed is signalled when updates has a new element, and by each watch every heartbeatInterval, so that all watches send a blank
	// line.
	changed *sync.Cond
	// seq is the sequence number of the last update of the node list; announce raises it by one. It is 1 before the first update.
	seq int
	// workers are the nodes in the list.
	workers []*standin.QueueingNode
	// health is the state of a worker in the list: "active" or "left"; a worker without an entry is active. announce changes it, and
	// run.startWorkers before the scenario begins.
	health map[*standin.QueueingNode]string
	// updates are all updates of the node list so far, oldest first, each a JSON object.
	updates []string
}

// newDiscovery makes a stand-in for discovery whose node list has the workers, all of them active. It does not listen: the caller serves
// it as an HTTP handler.
func newDiscovery(workers []*standin.QueueingNode) *discovery {
	d := &discovery{seq: 1, workers: workers, health: map[*standin.QueueingNode]string{}}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// entry returns a worker's present entry in the node list, as a JSON object. The caller holds mu.
func (d *discovery) entry(w *standin.QueueingNode) string {
	if health := d.health[w]; health != "" {
		return w.DiscoveryEntry(health)
	}
	return w.DiscoveryEntry("active")
}

// fullList returns the whole node list as it is now, in the JSON form in which discovery sends it.
func (d *discovery) fullList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []string
	for _, w := range d.workers {
		entries = append(entries, d.entry(w))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, d.seq, strings.Join(entries, ","))
}

// announce changes a worker's entry in the node list to active or, if active is false, to left, and sends that update to all watches.
func (d *discovery) announce(w *standin.QueueingNode, active bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health[w] = map[bool]string{true: "active", false: "left"}[active]
	d.seq++
	d.updates = append(d.updates, fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, d.seq, d.entry(w)))
	d.changed.Broadcast()
}

// heartbeatInterval is the longest time between two lines of a watch; a blank line shows that it is alive if there is no update.
const heartbeatInterval = 500 * time.Millisecond

// ServeHTTP serves a watch: the whole list, then each update on a line, and a blank line at least every heartbeatInterval (more often if
// there are several watches, as the interval of any of them wakes all).
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text := d.fullList()
	d.mu.Lock()
	sent := len(d.updates)
	d.mu.Unlock()
	stop := context.AfterFunc(r.Context(), func() {
		d.mu.Lock()
		d.changed.Broadcast()
		d.mu.Unlock()
	})
	defer stop()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ticker.C:
				d.mu.Lock()
				d.changed.Broadcast()
				d.mu.Unlock()
			case <-ended:
				return
			}
		}
	}()
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, text+"\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		d.mu.Lock()
		d.changed.Wait()
		text = strings.Join(d.updates[sent:], "\n")
		sent = len(d.updates)
		d.mu.Unlock()
	}
}
