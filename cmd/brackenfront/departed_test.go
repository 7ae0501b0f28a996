package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// departs is within which a client's close has to be heeded, by the operators' page.
const departs = 100 * time.Millisecond

// settled waits until nothing more has come to nodes for a while, and says how much has.
func (p *program) settled(quiet time.Duration) (n int) {
	for at := time.Now(); time.Since(at) < quiet; time.Sleep(time.Millisecond) {
		if got, _ := p.got(); len(got) != n {
			n, at = len(got), time.Now()
		}
	}
	return n
}

// pause stops the process, and waits until all of its threads stand: the signal is only asked for, and what comes before
// it is acted on may rightly be served.
func (p *program) pause() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(patience); !p.stands(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("the process does not stop")
		}
	}
}

// stands says whether every thread of the process is stopped, by the system's word.
func (p *program) stands() bool {
	stats, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, name := range stats {
		raw, err := os.ReadFile(name)
		if _, after, found := strings.Cut(string(raw), ") "); err != nil || !found || after[0] != 'T' {
			return false
		}
	}
	return len(stats) > 0
}

// clients sends so many queries, each on a connection of its own.
func (p *program) clients(n int, kind string, shards ...int) (all []net.Conn) {
	for range n {
		all = append(all, p.raw(p.request(kind, search(shards...))))
	}
	return all
}

// TestPauseFurther: connections to nodes are reset under attempts while the process stands still, and clients of these
// close their own, some behind bytes of a next request. None of them gets a further attempt; a client that stays does,
// and its answer.
func TestPauseFurther(t *testing.T) {
	const leave = 12
	p := serving(t)
	for range 3 {
		p.hung(1)
		before, _ := p.got()
		all := p.clients(leave, "all", 1)
		stay := p.raw(p.request("all", search(1)))
		p.out(1, len(before)+leave+1)
		p.pause()
		p.note(func() {
			for _, n := range p.nodes {
				n.does = always("hit")
				for c := range n.open {
					c.(*net.TCPConn).SetLinger(0)
					c.Close()
					delete(n.open, c)
				}
			}
		})
		for i, c := range all {
			if i%2 == 1 {
				io.WriteString(c, "POST /all HT")
			}
			c.Close()
		}
		time.Sleep(2 * departs)
		p.cmd.Process.Signal(syscall.SIGCONT)
		stay.SetReadDeadline(time.Now().Add(patience))
		if res, err := http.ReadResponse(bufio.NewReader(stay), nil); err != nil || res.StatusCode != 200 {
			t.Fatalf("who stays got %v, %v", res, err)
		}
		stay.Close()
		if n := p.settled(departs) - len(before) - leave - 1; n != 1 {
			t.Fatalf("%d further attempts for one client that is there", n)
		}
	}
	p.stop()
}

// TestBurstWaiting: many clients wait for their first attempt, and all close their connections in the moment in which a
// node can be sent to. What goes out later than a client's close allows would be for nobody.
func TestBurstWaiting(t *testing.T) {
	p := serving(t, `"sockets":256`, `"sockets":2048`, "MAXOPEN", "2000")
	p.words <- `{"seq":42,"whole":false,"hosts":[` + p.nodes[1].entry("leaving") + `,` + p.nodes[3].entry("leaving") + `]}`
	p.whole("all", []int{0}, 0)
	before := p.settled(departs / 2)
	all := p.clients(400, "all", 1)
	time.Sleep(departs)
	var closed time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, c := range all {
			c.Close()
		}
	}()
	p.words <- `{"seq":43,"whole":false,"hosts":[` + p.nodes[3].entry("active") + `]}`
	<-done
	closed = time.Now()
	time.Sleep(time.Until(closed.Add(departs)))
	soon, _ := p.got()
	if n := p.settled(2 * departs); n != len(soon) {
		t.Fatalf("%d sent on later than that, of %d", n-len(soon), n-before)
	}
	p.whole("all", []int{1}, 1)
	t.Logf("%d of %d sent on before", len(soon)-before, len(all))
	p.stop()
}
