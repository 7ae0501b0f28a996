package kit2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// termPause tells a broker to end, while it stands still, and looks at the requests that came on new connections meanwhile.
func termPause(r *run) (int, error) {
	d, err := newDiscovery()
	if err != nil {
		return 0, err
	}
	for i := range 6 {
		n, err := newNode(fmt.Sprintf("s-%d", i), func(int, string) time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return 0, err
		}
		d.set(host{Host: n.name, Dial: n.addr(), Site: "a", Class: "m2", Block: i % 3, Health: "active", Share: 1})
	}
	lost := 0
	for round := range 6 {
		name, listen := fmt.Sprintf("b%d", round+1), freeAddr()
		if err := writeConfig(r.path(name+".json"), name, listen, d.addr(), d.known(), smallSettings()); err != nil {
			return 0, err
		}
		b, err := r.start(name, "exec bin/brackenfront", listen, r.path(name+".json"))
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Second)
		var running sync.WaitGroup
		var mu sync.Mutex
		ends := map[string]int{}
		b.signal(syscall.SIGTERM)
		term := time.Now()
		time.Sleep(30 * time.Millisecond)
		if r.trouble {
			b.signal(syscall.SIGSTOP)
		}
		for range 20 {
			time.Sleep(15 * time.Millisecond)
			running.Go(func() {
				end := func() string {
					conn, err := net.DialTimeout("tcp", listen, time.Second)
					if err != nil {
						return "not connected"
					}
					defer conn.Close()
					id := newID()
					body := `{"buckets":[{"bucket":0,"part":0.5},{"bucket":1,"part":0.5}],"body":"` + id + `"}`
					if _, err := fmt.Fprintf(conn, "POST /quote HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: quote\r\nX-Customer: acme\r\nX-Expires-In: 3000m\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
						return "not written"
					}
					conn.SetDeadline(time.Now().Add(4 * time.Second))
					line, err := bufio.NewReader(conn).ReadString('\n')
					if words := strings.Fields(line); err == nil && len(words) > 1 {
						return words[1]
					}
					return "no answer: " + strings.TrimPrefix(fmt.Sprint(err), "read tcp ")
				}()
				if strings.HasPrefix(end, "no answer") {
					end = "no answer"
				}
				mu.Lock()
				ends[end]++
				mu.Unlock()
			})
		}
		time.Sleep(time.Until(term.Add(900 * time.Millisecond)))
		b.signal(syscall.SIGCONT)
		running.Wait()
		<-b.ended
		r.note("round %d: %v; ended %.3f s after SIGTERM: %s", round, ends, time.Since(term).Seconds(), b.cmd.ProcessState)
		lost += ends["no answer"]
	}
	r.note("%d requests without an answer", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
