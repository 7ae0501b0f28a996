package watch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
)

// TestSilentDiscovery: a watch that says nothing for some heartbeats is given up and begun anew
// from the last version; empty lines keep one alive.
func TestSilentDiscovery(t *testing.T) {
	asked, lines := make(chan string, 99), make(chan string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		w.(http.Flusher).Flush()
		for {
			select {
			case l := <-lines:
				io.WriteString(w, l+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	defer s.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	told, lost := make(chan protocol.Listing, 9), make(chan bool, 99)
	w := New(s.Listener.Addr().String(), protocol.Listing{Seq: 7}, time.Millisecond, log,
		func(l protocol.Listing) { told <- l }, func() { lost <- true })
	w.beat = 100 * time.Millisecond
	w.Start()
	w.Start() // changes nothing
	if q := <-asked; q != "follow=1&since=7" {
		t.Fatal(q)
	}
	for i := range 8 { // longer than a silent watch lasts, in all
		lines <- ""
		lines <- fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, 8+i)
		if l := <-told; l.Seq != int64(8+i) || l.Whole {
			t.Fatalf("%+v", l)
		}
	}
	<-lost
	if q := <-asked; q != "follow=1&since=15" {
		t.Fatal(q)
	}
	w.Close()
	if c := w.Counts(); c.Words != 8 || c.Watches < 2 {
		t.Fatalf("%+v", c)
	}
}

// TestUnreachedDiscovery: waits grow, so that a discovery that is down is not run over.
func TestUnreachedDiscovery(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	lost := make(chan time.Time, 99)
	w := New(ln.Addr().String(), protocol.Listing{}, 10*time.Millisecond, log, nil, func() { lost <- time.Now() })
	w.beat = 80 * time.Millisecond
	w.Start()
	first := <-lost
	for range 3 {
		<-lost
	}
	if took := time.Since(first); took < 70*time.Millisecond { // 10, 20, 40
		t.Fatalf("three more tries within %s", took)
	}
	w.Close()
	w.Start() // not after its end
	if len(lost) > 1 {
		t.Fatal("went on after Close")
	}
}
