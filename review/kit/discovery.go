package kit

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// heartbeat is the time between two empty lines of a watch on which nothing changes.
const heartbeat = 2 * time.Second

// Discovery is a stand-in for discovery whose list does not change during a run.
type Discovery struct {
	Addr string
	// List is the whole list, as JSON.
	List string
}

// List returns the whole list of the entries, in version seq.
func List(seq int, entries []string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(entries, ","))
}

// NewDiscovery starts discovery on a free loopback port, with a list of the entries.
func NewDiscovery(entries []string) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), List: List(1, entries)}
	go http.Serve(listener, d)
	return d, nil
}

// ServeHTTP answers with the whole list; a watch stays open and gets an empty line every two seconds.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintln(w, d.List)
	if r.URL.Query().Get("follow") == "" {
		return
	}
	flusher := w.(http.Flusher)
	for {
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(heartbeat):
			fmt.Fprintln(w)
		}
	}
}
