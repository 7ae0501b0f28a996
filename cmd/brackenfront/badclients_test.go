package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brackenfront/internal/processtest"
)

var (
	// badClientsMemory is the memory limit of the broker in TestBadClientsStayWithinMemory, in MB.
	badClientsMemory = flag.Int("bad.memory", 32, "memory_mb of the broker in TestBadClientsStayWithinMemory")
	// badClientsSockets is its limit on descriptors; a third of them are for the bad clients.
	badClientsSockets = flag.Int("bad.sockets", 1024, "sockets of the broker in TestBadClientsStayWithinMemory")
	// badClientsTime is how long the clients of each kind come.
	badClientsTime = flag.Duration("bad.time", 1500*time.Millisecond, "time for each kind of clients in TestBadClientsStayWithinMemory")
)

const (
	// honestPatience is how long the honest clients wait for their answers, and honestInterval the time between two of them.
	honestPatience = 2 * time.Second
	honestInterval = 50 * time.Millisecond
	// maxHonestText is more than the length of the honest clients' texts: nodes do not answer longer ones.
	maxHonestText = 1000
	// answerSlack is how long after its client's time an answer may come.
	answerSlack = 500 * time.Millisecond
)

// badClient is what one kind of bad clients do on a connection of their own: they write, and close it some time later.
type badClient struct {
	// first is written at once.
	first string
	// then is written, piece by piece, each trickleInterval.
	then []string
	// waitsForAnswer has the client close the connection once it has read an answer; otherwise it holds it to the end.
	waitsForAnswer bool
}

// trickleInterval is the time between two pieces that a bad client writes.
const trickleInterval = 300 * time.Millisecond

// shortFields returns lines of the given number of header fields, each of a few bytes and with a name of its own.
func shortFields(count int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// shortMembers returns the given number of members of a JSON object, each with a short name of its own and a comma behind it.
func shortMembers(count int) string {
	var members strings.Builder
	for i := range count {
		fmt.Fprintf(&members, `"%x":0,`, i)
	}
	return members.String()
}

// badClients returns all kinds of bad clients, by name.
func badClients() map[string]badClient {
	const (
		head     = "POST /all HTTP/1.1\r\nHost: x\r\nX-Trace-Id: bad\r\nX-Expires-In: 2000m\r\n"
		bodySize = 62_000
	)
	long := strings.Repeat("x", bodySize)
	bodyHead := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, bodySize)
	whole := func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	var slowBody []string
	for i := 0; i < bodySize; i += 4000 {
		slowBody = append(slowBody, long[i:min(i+4000, bodySize)])
	}
	return map[string]badClient{
		"many fields":          {first: head + shortFields(8000) + "\r\n", waitsForAnswer: true},
		"many fields, no end":  {first: head + shortFields(7500), then: []string{"a:\r\n", "b:\r\n", "c:\r\n", "d:\r\n"}, waitsForAnswer: true},
		"long field, no end":   {first: head + "X-Long: " + long},
		"long fields, no end":  {first: head + strings.Repeat("X-Long: "+long[:1000]+"\r\n", 60)},
		"half a body":          {first: bodyHead + long[:bodySize-100]},
		"slow body":            {first: bodyHead, then: slowBody},
		"empty entries":        {first: whole(`{"buckets":[` + strings.Repeat("{},", 20_000) + `{}]}`), waitsForAnswer: true},
		"many members":         {first: whole(`{` + shortMembers(8000) + `"z":0}`), waitsForAnswer: true},
		"long text":            {first: strings.Replace(whole(`{"buckets":[{"bucket":0,"part":1}],"body":"`+long[:bodySize-100]+`"}`), "bad", "ID", 1), waitsForAnswer: true},
		"pipelined, no answer": {first: strings.Repeat(whole("{}"), 400)},
	}
}

// run plays the client on one connection after another until stop is closed.
func (c badClient) run(addr string, number int, stop chan struct{}) {
	for round := 0; ; round++ {
		conn, err := net.DialTimeout("tcp", addr, honestPatience)
		if err == nil {
			c.runConnection(conn, fmt.Sprintf("bad-%d-%d", number, round), stop)
			conn.Close()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// runConnection plays the client on one connection; id replaces the id of a search.
func (c badClient) runConnection(conn net.Conn, id string, stop chan struct{}) {
	conn.SetDeadline(time.Now().Add(2 * honestPatience))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		bufio.NewReader(conn).ReadString('\n')
	}()
	io.WriteString(conn, strings.Replace(c.first, "X-Trace-Id: ID", "X-Trace-Id: "+id, 1))
	for _, piece := range c.then {
		select {
		case <-stop:
			return
		case <-time.After(trickleInterval):
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
	if c.waitsForAnswer {
		<-answered
		return
	}
	select {
	case <-stop:
	case <-time.After(2 * honestPatience):
	}
}

// honestCounts counts the searches of honest clients.
type honestCounts struct {
	// mu guards the other fields.
	mu sync.Mutex
	// sent, answered, refused and late are how many searches were sent, answered with 200 in time, answered with another status in time, and
	// not answered by the time answerSlack after their client's time.
	sent, answered, refused, late int
}

// sendHonest sends a search each honestInterval until stop is closed, every fourth on a new connection, and returns once all have ended.
func (broker *brokerProcess) sendHonest(stop chan struct{}) *honestCounts {
	counts := &honestCounts{}
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(honestInterval)
	defer ticker.Stop()
	kept := &http.Client{Timeout: honestPatience + answerSlack}
	fresh := &http.Client{Timeout: honestPatience + answerSlack, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return counts
		case <-ticker.C:
		}
		client := kept
		if i%4 == 0 {
			client = fresh
		}
		request := broker.newRequest("all", searchBody(i%4), "X-Expires-In", fmt.Sprintf("%dm", honestPatience.Milliseconds()))
		running.Go(func() {
			res, err := client.Do(request)
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.sent++
			switch {
			case err != nil:
				counts.late++
				return
			case res.StatusCode == http.StatusOK:
				counts.answered++
			default:
				counts.refused++
			}
			res.Body.Close()
		})
	}
}

// TestBadClientsStayWithinMemory guards against clients that take a broker over its memory, by default with the least memory and the
// most descriptors that the platform gives one: as many clients of one kind as may hold descriptors write large, slow or unfinished requests, or requests of very many
// small pieces, while honest clients send searches.
func TestBadClientsStayWithinMemory(t *testing.T) {
	program := processtest.Build(t)
	kinds := badClients()
	names := slices.Sorted(maps.Keys(kinds))
	for _, name := range append(names, "all kinds") {
		t.Run(name, func(t *testing.T) {
			broker := startProgram(t, program, `"memory_mb":192,"sockets":256`,
				fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, *badClientsMemory, *badClientsSockets))
			broker.waitUntilServing()
			broker.nextWatch()
			for _, n := range broker.nodes {
				n.setRespond(func(a receivedAttempt) string {
					if len(a.text) > maxHonestText {
						return "nothing"
					}
					return "hit"
				})
			}
			before := processtest.PeakMemoryMB(t, broker.command.Process.Pid)
			stop := make(chan struct{})
			time.AfterFunc(*badClientsTime, func() { close(stop) })
			var running sync.WaitGroup
			for number := range *badClientsSockets / 3 {
				client, ok := kinds[name]
				if !ok {
					client = kinds[names[number%len(names)]]
				}
				running.Go(func() { client.run(broker.addr, number, stop) })
			}
			honest := broker.sendHonest(stop)
			running.Wait()
			peak := processtest.PeakMemoryMB(t, broker.command.Process.Pid)
			t.Logf("peak %d MB of %d (%d before); honest searches: %d sent, %d answered, %d refused, %d not in time", peak,
				*badClientsMemory, before, honest.sent, honest.answered, honest.refused, honest.late)
			if honest.answered == 0 {
				t.Error("no honest client was served")
			}
			if peak > *badClientsMemory {
				t.Errorf("the broker took %d MB of %d", peak, *badClientsMemory)
			}
			broker.stop()
		})
	}
}
