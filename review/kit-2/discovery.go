package kit2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is one entry of the list of nodes.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
	Speaks string  `json:"speaks,omitempty"`
}

// update is a message of discovery.
type update struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is a stand-in for the discovery agent: a list of nodes, and watches on it.
type discovery struct {
	listener net.Listener
	mu       sync.Mutex
	seq      int
	hosts    map[string]host
	order    []string
	watches  map[chan update]bool
	// written is called with the version once a message has been written to a watch.
	written func(seq int, at time.Time)
}

func newDiscovery() (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, seq: 1, hosts: map[string]host{}, watches: map[chan update]bool{}}
	go http.Serve(listener, http.HandlerFunc(d.serve))
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// set changes an entry, and tells all watches. A node with the health left is dropped from the whole list.
func (d *discovery) set(h host) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	if _, known := d.hosts[h.Host]; !known {
		d.order = append(d.order, h.Host)
	}
	d.hosts[h.Host] = h
	for watch := range d.watches {
		watch <- update{d.seq, false, []host{h}}
	}
	return d.seq
}

// whole returns the whole list; the lock must be held.
func (d *discovery) whole() update {
	list := update{Seq: d.seq, Whole: true, Hosts: []host{}}
	for _, name := range d.order {
		if h := d.hosts[name]; h.Health != "left" {
			list.Hosts = append(list.Hosts, h)
		}
	}
	return list
}

func (d *discovery) known() update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	write := func(list update) bool {
		line, _ := json.Marshal(list)
		if _, err := w.Write(append(line, '\n')); err != nil {
			return false
		}
		w.(http.Flusher).Flush()
		if d.written != nil {
			d.written(list.Seq, time.Now())
		}
		return true
	}
	d.mu.Lock()
	first := d.whole()
	if r.URL.Query().Get("follow") == "" {
		d.mu.Unlock()
		write(first)
		return
	}
	if since, err := strconv.Atoi(r.URL.Query().Get("since")); err == nil && since == d.seq {
		first = update{Seq: d.seq, Hosts: []host{}}
	}
	watch := make(chan update, 1024)
	d.watches[watch] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, watch)
		d.mu.Unlock()
	}()
	if !write(first) {
		return
	}
	for {
		select {
		case list := <-watch:
			if !write(list) {
				return
			}
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}
