package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// outage is a discovery that can be taken down, and comes back at the same address with a list.
type outage struct {
	t    testing.TB
	addr string
	http *http.Server
}

func (o *outage) up(list string) {
	o.t.Helper()
	ln, err := net.Listen("tcp", o.addr)
	if err != nil {
		o.t.Fatal(err)
	}
	o.addr = ln.Addr().String()
	o.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for said := list; r.Context().Err() == nil; said = "" {
			io.WriteString(w, said+"\n")
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
	})}
	go o.http.Serve(ln)
}

func (o *outage) down() { o.http.Close() }

// kept is a client that asks again and again on one connection. Where that was closed between two requests, or a new one unread,
// it asks on another, as the page has it.
type kept struct {
	p    *program
	sock net.Conn
	in   *bufio.Reader
	made int // connections
}

func (k *kept) asks(shards ...int) (status int) {
	k.p.t.Helper()
	for end := time.Now().Add(patience); ; {
		if k.sock == nil {
			sock, err := net.Dial("tcp", k.p.addr)
			if err != nil {
				k.p.t.Fatal(err)
			}
			k.p.t.Cleanup(func() { sock.Close() })
			k.sock, k.in = sock, bufio.NewReader(sock)
			k.made++
		}
		k.sock.SetDeadline(end)
		k.p.request("all", search(shards...)).Write(k.sock)
		_, err := k.in.Peek(1)
		if err == nil {
			break
		}
		k.sock.Close()
		if k.sock = nil; time.Now().After(end) {
			k.p.t.Fatalf("no answer on %d connections: %v", k.made, err)
		}
	}
	res, err := http.ReadResponse(k.in, nil)
	if err != nil {
		k.p.t.Fatal(err)
	}
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// crowd keeps so many connections open that say that much and no more; where one ends, another takes its place.
func (p *program) crowd(n int, says string) {
	over := make(chan struct{})
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					return
				}
				io.WriteString(c, says)
				ended := make(chan struct{})
				go func() { io.Copy(io.Discard, c); close(ended) }()
				select {
				case <-ended:
					c.Close()
				case <-over:
					c.Close()
					return
				}
			}
		})
	}
	p.t.Cleanup(func() { close(over); all.Wait() })
}

// TestCrowd: idle clients hold all descriptors, by the configured limit or by the system's, while discovery is down. Once it is
// back its list is in force before it counts as told, a node that is new in it is dialled, and an open connection is answered
// all the while.
func TestCrowd(t *testing.T) {
	const countsAfter = 6 * time.Second // the page's
	for _, c := range []struct {
		name, limit, sockets string
		says                 string
		moves                bool // comes back at another address, told by SIGHUP
	}{
		{"mute", "ulimit -n 64;", "64", "", false},
		{"resting", "ulimit -n 64;", "64", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", false},
		{"mute, by the system", "ulimit -n 64;", "4096", "", false},
		{"mute, by the system, moved", "ulimit -n 64;", "4096", "", true},
		{"resting, by the system", "ulimit -n 64;", "4096", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("BRACKENFRONT_TEST_SHELL", c.limit)
			o := &outage{t: t, addr: "127.0.0.1:0"}
			o.up("")
			t.Cleanup(func() { o.down() })
			p := start(t, `"sockets":256`, `"sockets":`+c.sockets, `"seed"`, `"discovery":"`+o.addr+`","seed"`)
			p.served()
			client := &kept{p: p}
			if s := client.asks(0, 1); s != 200 {
				t.Fatal(s)
			}
			o.down()
			p.line("side=discovery", "code=unreached")
			p.crowd(200, c.says)
			time.Sleep(1500 * time.Millisecond) // longer than a new connection is left alone; decides nothing
			if s := client.asks(1); s != 200 && s != 503 {
				t.Fatal(s)
			}
			joined := newNode(t, p.events, "s-9", 0)
			list := fmt.Sprintf(`{"seq":50,"whole":true,"hosts":[%s,%s]}`, joined.entry("active"), p.nodes[1].entry("active"))
			was := o.addr
			if c.moves {
				o.addr = "127.0.0.1:0"
			}
			back := time.Now()
			o.up(strings.ReplaceAll(list, "BORN", "0"))
			if c.moves {
				p.rewrite(func(config string) string { return strings.ReplaceAll(config, was, o.addr) })
				p.cmd.Process.Signal(syscall.SIGHUP)
			}
			for got := 0; got == 0; {
				if s := client.asks(0); s != 200 && s != 503 { // refused is an answer, too: no descriptor for a node just then
					t.Fatalf("an open connection got %d", s)
				}
				p.note(func() { got = len(joined.got) })
				if took := time.Since(back); took > countsAfter {
					t.Fatalf("the new node got nothing for %s", took)
				}
			}
			t.Logf("the new node got its first part after %s; the client had %d connections", time.Since(back), client.made)
			p.stop()
		})
	}
}

// TestSilentThenWhole: an open watch falls silent, and what the next one brings is a whole list without the nodes that drain. They
// get nothing from then on, before the change counts as told, and every client is answered.
func TestSilentThenWhole(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var list atomic.Value
	silent := make(chan time.Time, 1)
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		said, _ := list.Load().(string)
		io.WriteString(w, said+"\n")
		w.(http.Flusher).Flush()
		if said == "" {
			silent <- time.Now()
		}
		<-r.Context().Done()
	})}
	go discovery.Serve(ln)
	t.Cleanup(func() { discovery.Close() })
	p := start(t, `"seed"`, `"discovery":"`+ln.Addr().String()+`","seed"`)
	p.served()
	began := <-silent
	joined := newNode(t, p.events, "s-9", 0)
	list.Store(strings.ReplaceAll(fmt.Sprintf(`{"seq":50,"whole":true,"hosts":[%s,%s]}`, joined.entry("active"), p.nodes[1].entry("active")), "BORN", "0"))
	p.line("side=discovery", "code=silent")
	for got := 0; got == 0; p.note(func() { got = len(joined.got) }) {
		p.whole("all", []int{0}, 0)
		if took := time.Since(began); took > 6*time.Second {
			t.Fatalf("the new node got nothing %s after the silence began", took)
		}
	}
	before, _ := p.got()
	p.whole("all", []int{0}, 0)
	if after, _ := p.got(); len(after) != len(before) {
		t.Fatalf("%d went to nodes that had left", len(after)-len(before))
	}
	p.stop()
}
