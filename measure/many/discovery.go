package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// discoveryState is how the stand-in for discovery behaves. Its value is the name of the state in the printed tables.
type discoveryState string

const (
	// answering says that discovery serves watches of its node list.
	answering discoveryState = "up"
	// refusing says that discovery does not listen, so that connections to it are refused.
	refusing discoveryState = "down"
	// silent says that connections to discovery are established, and that it never answers on them.
	silent discoveryState = "silent"
)

// discovery is a stand-in for the discovery service, which sends updates of its list of nodes to one watch.
type discovery struct {
	// addr is the host:port where it listens.
	addr string
	// updates holds the update of the node list, a JSON object, that is still to be sent to a watch, if there is one.
	updates chan string
	// watches receives true when a watch begins, for waitForWatch.
	watches chan bool
	// server serves the watches; nil unless discovery is answering.
	server *http.Server
	// listener is the listener at addr; it is closed if discovery is refusing.
	listener net.Listener
	// seq is the sequence number of the last update sent; at first, that of the list in the program's configuration.
	seq int
}

// newDiscovery starts a stand-in for discovery that behaves as state says: answering, refusing or silent. It stays in that state until
// close, which the caller has to call. It returns an error if it cannot listen.
func newDiscovery(state discoveryState) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), updates: make(chan string, 1), watches: make(chan bool, 8), listener: ln, seq: 41}
	switch state {
	case refusing:
		ln.Close()
	case answering:
		d.server = &http.Server{Handler: http.HandlerFunc(d.watch)}
		go d.server.Serve(ln)
	case silent:
		// The system accepts connections for the listener, and nothing reads from them.
	}
	return d, nil
}

// watch serves a watch: each update on a line, and a blank line after a second without one.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request) {
	w.(http.Flusher).Flush()
	d.watches <- true
	for {
		select {
		case update := <-d.updates:
			fmt.Fprintln(w, update)
		case <-time.After(time.Second):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}

// waitForWatch waits until the program has begun to watch the node list. It returns an error after waitTimeout.
func (d *discovery) waitForWatch() error {
	select {
	case <-d.watches:
		return nil
	case <-time.After(waitTimeout):
		return errors.New("the program does not watch discovery")
	}
}

// sendUpdate queues one update of the node list for the watch; it blocks while the update before is still in the queue. entries are the
// entries that it changes, each a JSON object as listEntries returns them.
func (d *discovery) sendUpdate(entries []string) {
	d.seq++
	d.updates <- fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, d.seq, strings.Join(entries, ","))
}

// close stops the stand-in and closes its listener and connections.
func (d *discovery) close() {
	if d.server != nil {
		d.server.Close()
	}
	d.listener.Close()
}
