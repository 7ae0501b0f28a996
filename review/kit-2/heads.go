package kit2

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is limits.memory_mb: the largest that the pages give a broker.
	memoryMB = 192
	// badClients is how many clients send bad heads at the same time; with the honest ones they are fewer than a third of the
	// 1,024 descriptors.
	badClients = 250
	// headFields is the number of fields in one head. Each is a few bytes long; together they take some 45 KB.
	headFields = 8000
)

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(words[1])
			return kb
		}
	}
	return 0
}

// badHead is a head of many short fields, without its end.
var badHead = func() string {
	var head strings.Builder
	for i := range headFields {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return head.String()
}()

// sendBadHead connects, sends one request with such a head, reads whatever is sent to it, and reports the status that it got;
// another word if there was none within 6 s.
func sendBadHead(addr string) string {
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(6 * time.Second))
	id := newID()
	go func() {
		fmt.Fprintf(conn, "POST /quote HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: quote\r\nX-Customer: acme\r\nX-Expires-In: 2000m\r\n%s", id, badHead)
		body := `{"buckets":[{"bucket":0,"part":0.5},{"bucket":1,"part":0.5}],"body":"` + id + `"}`
		fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if words := strings.Fields(line); err == nil && len(words) > 1 {
		return words[1]
	}
	return "closed"
}

// headFlood lets bad clients send heads of many fields, all at once and again the moment that they are turned away, and ends the
// broker as the platform does if it goes over its memory.
func headFlood(r *run) (int, error) {
	d, err := newDiscovery()
	if err != nil {
		return 0, err
	}
	for i := range 6 {
		n, err := newNode(fmt.Sprintf("s-%d", i), func(int, string) time.Duration { return 30 * time.Millisecond })
		if err != nil {
			return 0, err
		}
		d.set(host{Host: n.name, Dial: n.addr(), Site: "a", Class: "m2", Block: i % 3, Health: "active", Share: 1})
	}
	listen := freeAddr()
	if err := writeConfig(r.path("b1.json"), "b1", listen, d.addr(), d.known(), smallSettings()); err != nil {
		return 0, err
	}
	b, err := r.start("b1", "exec bin/brackenfront", listen, r.path("b1.json"))
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	honest := &load{perSecond: 20}
	honest.run(newClients(listen), "quote", 6, 3*time.Second, stop, &running, nil)
	var most atomic.Int64
	var over atomic.Bool
	running.Go(func() {
		last := time.Time{}
		for {
			select {
			case <-stop:
				return
			case <-b.ended:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := residentKB(b.cmd.Process.Pid)
			most.Store(max(most.Load(), int64(kb)))
			if time.Since(last) > 500*time.Millisecond {
				last = time.Now()
				r.note("resident %d KB; honest searches: %d sent, %d answered", kb, honest.sent.Load(), honest.answered.Load())
			}
			if kb > memoryMB<<10 {
				r.note("resident %d KB, over %d MB: the platform kills the broker; honest searches: %d sent, %d answered, %d refused, %d other",
					kb, memoryMB, honest.sent.Load(), honest.answered.Load(), honest.refused.Load(), honest.other.Load())
				over.Store(true)
				b.cmd.Process.Kill()
				return
			}
		}
	})
	time.Sleep(3 * time.Second)
	ends := map[string]int{}
	var mu sync.Mutex
	if r.trouble {
		r.note("%d bad clients", badClients)
		until := time.Now().Add(12 * time.Second)
		for range badClients {
			running.Go(func() {
				for time.Now().Before(until) {
					end := sendBadHead(listen)
					mu.Lock()
					ends[end]++
					mu.Unlock()
					select {
					case <-b.ended:
						return
					default:
					}
				}
			})
		}
	}
	for began := time.Now(); time.Since(began) < 20*time.Second && !over.Load(); time.Sleep(50 * time.Millisecond) {
	}
	if over.Load() {
		time.Sleep(4 * time.Second)
	}
	close(stop)
	running.Wait()
	r.note("bad requests by how they ended: %v", ends)
	r.note("honest searches: %d sent, %d answered, %d refused, %d with no answer or another", honest.sent.Load(), honest.answered.Load(), honest.refused.Load(), honest.other.Load())
	r.note("most resident memory: %d KB of %d KB", most.Load(), memoryMB<<10)
	if over.Load() {
		return broken, nil
	}
	return held, nil
}
