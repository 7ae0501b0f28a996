package faultcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// listedNode is the entry of a node in discovery's list.
type listedNode struct {
	// Host is the node's name.
	Host string `json:"host"`
	// Dial is the host and port that the node listens at.
	Dial string `json:"dial"`
	// Zone is the zone that the node is in.
	Zone string `json:"site"`
	// Class is the node class in the list; it is the same for all nodes.
	Class string `json:"class"`
	// Group is the replica group that the node belongs to.
	Group int `json:"block"`
	// Health is one of healthActive, healthLeaving and healthLeft.
	Health string `json:"health"`
	// Weight is the node's relative weight, which the list calls its share; all nodes have 1.
	Weight float64 `json:"share"`
	// StartTimeMillis is when the node started, in milliseconds of Unix time by the node's clock; 0 unless startTimesJumpFault sets it.
	StartTimeMillis int64 `json:"born_ms"`
}

// The states of a node in the list.
const (
	// healthActive is the state of a node that takes attempts.
	healthActive = "active"
	// healthLeaving is the state of a node that drains.
	healthLeaving = "leaving"
	// healthLeft is the state of a node that has left.
	healthLeft = "left"
)

// heartbeatInterval is the time without a change of the list after which a watch is sent an empty line.
const heartbeatInterval = 500 * time.Millisecond

// discovery is a stand-in for the discovery service. It sends its whole list of nodes to each watch, a request of a broker, at the start of
// the watch and again at each change. The stand-in that other tests use sends the lines that a test passes to it; this one keeps a list, so
// that a watch that reconnects after a reset gets what changed in between.
type discovery struct {
	// server serves the list over HTTP.
	server *http.Server
	// addr is the server's host and port.
	addr string
	// stop is closed when the stand-in is closed by close.
	stop chan struct{}
	// onListChange is called with each new list before brokers get it.
	onListChange func(nodes []listedNode)

	// mu guards the fields below.
	mu sync.Mutex
	// sequence is the version number of the current list, which brokers get with it.
	sequence int64
	// nodes are the current list.
	nodes []listedNode
	// changed is closed, and replaced by a new channel, when the list of nodes changes. The open watches wait for that.
	changed chan struct{}
	// watchesReset is closed, and replaced by a new channel, when resetWatches ends all open watches.
	watchesReset chan struct{}
	// silent is set while new requests are left without an answer.
	silent bool
}

// newDiscovery starts a stand-in at a free port of host that lists these nodes. onListChange is called with these nodes, and later with
// each new list before brokers get it.
func newDiscovery(host string, nodes []listedNode, onListChange func(nodes []listedNode)) (*discovery, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	d := &discovery{
		addr:         listener.Addr().String(),
		stop:         make(chan struct{}),
		onListChange: onListChange,
		sequence:     1,
		nodes:        nodes,
		changed:      make(chan struct{}),
		watchesReset: make(chan struct{}),
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	onListChange(nodes)
	go d.server.Serve(listener)
	return d, nil
}

// close ends the server and all watches.
func (d *discovery) close() {
	close(d.stop)
	d.server.Close()
}

// list returns the current node list as JSON.
func (d *discovery) list() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.encodeList(d.nodes)
}

// encodeList encodes a list of these nodes, with the current sequence number, as JSON. The caller holds mu, unless nobody else uses d yet.
func (d *discovery) encodeList(nodes []listedNode) json.RawMessage {
	raw, err := json.Marshal(nodes)
	// These values can always be encoded.
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, `{"seq":%d,"whole":true,"hosts":%s}`, d.sequence, raw)
}

// change changes the list and has every watch get the new one. The function f gets a copy of the list and returns the new list.
func (d *discovery) change(f func(nodes []listedNode) []listedNode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = f(append([]listedNode(nil), d.nodes...))
	d.onListChange(d.nodes)
	d.sequence++
	close(d.changed)
	d.changed = make(chan struct{})
}

// resetWatches ends all watches, and the requests that setSilent leaves without an answer, by closing their connections before the answer is
// complete.
func (d *discovery) resetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesReset)
	d.watchesReset = make(chan struct{})
}

// setSilent sets whether discovery leaves the requests that arrive from now on without an answer.
func (d *discovery) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// serve is the HTTP handler: it answers a request for the list once, and a request for a watch with the list at each change.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.mu.Lock()
	silent, reset := d.silent, d.watchesReset
	d.mu.Unlock()
	if silent {
		select {
		case <-r.Context().Done():
		case <-d.stop:
		case <-reset:
		}
		panic(http.ErrAbortHandler)
	}
	if r.URL.Query().Get("follow") == "" {
		w.Write(d.list())
		return
	}
	d.watch(w, r, reset)
}

// watch serves a watch: it writes the whole list at once and whenever it changes, until the request ends, the stand-in is closed, or reset is
// closed, which is the value of watchesReset when the request came.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request, reset chan struct{}) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for written := int64(0); ; {
		d.mu.Lock()
		sequence, line, changed := d.sequence, d.encodeList(d.nodes), d.changed
		d.mu.Unlock()
		if sequence != written {
			w.Write(append(line, '\n'))
			written = sequence
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-heartbeat.C:
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		case <-d.stop:
			return
		case <-reset:
			panic(http.ErrAbortHandler)
		}
	}
}
