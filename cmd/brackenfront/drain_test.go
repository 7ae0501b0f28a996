package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failureStatuses are the status codes of failures after which a client of a class that must not run twice does not send its
// search again, as it may have run.
var failureStatuses = []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusRequestTimeout, http.StatusBadRequest}

// continueResponse is the interim response that a client waits for before it sends a body.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// expectFailure reads a response from a connection, and fails the test unless its status is one of failureStatuses. what names the
// request in the failure message.
func (broker *brokerProcess) expectFailure(what string, conn net.Conn) {
	broker.t.Helper()
	conn.SetReadDeadline(time.Now().Add(waitTimeout))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		broker.t.Errorf("%s: the connection is closed without a response: %v", what, err)
		return
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || !slices.Contains(failureStatuses, res.StatusCode) {
		broker.t.Errorf("%s: got status %s, %v", what, res.Status, err)
	}
}

// sendHalfRequest sends the header of a request on a new connection, and waits until the broker asks for the body. So the
// broker has seen the request, and does not close the connection as an unused one.
func (broker *brokerProcess) sendHalfRequest() net.Conn {
	broker.t.Helper()
	conn, err := net.Dial("tcp", broker.addr)
	if err != nil {
		broker.t.Fatal(err)
	}
	broker.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /once HTTP/1.1\r\nHost: x\r\nX-Trace-Id: half-%d\r\nX-Expires-In: 8000m\r\nExpect: 100-continue\r\nContent-Length: 50\r\n\r\n", broker.lastID)
	conn.SetReadDeadline(time.Now().Add(waitTimeout))
	line, err := bufio.NewReaderSize(io.LimitReader(conn, int64(len(continueResponse))), len(continueResponse)).ReadString(0)
	if err != io.EOF || line != continueResponse {
		broker.t.Fatalf("%q, %v", line, err)
	}
	return conn
}

// TestDrain checks SIGTERM while a search is in flight: unused connections are closed, a search that arrives soon after the signal
// is still accepted, and the broker ends once both are answered.
func TestDrain(t *testing.T) {
	broker := startServing(t)
	idle := broker.sendOnOwnConnection(broker.newRequest("all", searchBody(0)))
	idleReader := bufio.NewReader(idle)
	if res, err := http.ReadResponse(idleReader, nil); err != nil || res.Close {
		t.Fatalf("%v %v", res, err)
	} else {
		io.Copy(io.Discard, res.Body)
	}
	hold := broker.holdReplies()
	inFlight := broker.newRequest("all", searchBody(2))
	before := make(chan answer)
	go func() { before <- broker.roundTrip(inFlight) }()
	broker.waitUntil(t, "the part of the search in flight", func() bool { return len(broker.nodes[0].received)+len(broker.nodes[2].received) == 2 })
	broker.command.Process.Signal(syscall.SIGTERM)
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Fatalf("an unused connection ends with %v", err)
	}
	late := broker.newRequest("all", searchBody(1))
	late.Close = true
	after := make(chan answer)
	go func() { after <- broker.roundTrip(late) }()
	broker.waitUntil(t, "the part of the late search", func() bool { return len(broker.nodes[1].received)+len(broker.nodes[3].received) == 1 })
	close(hold)
	if a, b := <-before, <-after; a.Status != 200 || b.Status != 200 {
		t.Fatalf("got %+v and %+v", a, b)
	}
	broker.waitForExit()
}

// TestSecondSIGTERM checks that a second SIGTERM does not cut a drain short: the search in flight is answered. Only SIGINT
// ends a drain early.
func TestSecondSIGTERM(t *testing.T) {
	broker := startServing(t)
	hold := broker.holdReplies()
	done := broker.roundTripAsync(broker.newRequest("all", searchBody(0)))
	broker.waitForParts(0, 1)
	broker.command.Process.Signal(syscall.SIGTERM)
	broker.waitForLog("msg=draining")
	broker.command.Process.Signal(syscall.SIGTERM)
	broker.waitForLog("draining already")
	close(hold)
	if a := <-done; a.Status != 200 {
		t.Fatalf("got %+v", a)
	}
	broker.waitForExit()
}

// TestInterruptedDrain checks that SIGINT cuts a drain short, and that the broker then ends with exit code 1.
func TestInterruptedDrain(t *testing.T) {
	broker := startServing(t)
	broker.hangShard(0)
	broker.sendOnOwnConnection(broker.newRequest("all", searchBody(0)))
	broker.waitForParts(0, 1)
	broker.command.Process.Signal(syscall.SIGTERM)
	broker.waitForLog("msg=draining")
	broker.command.Process.Signal(syscall.SIGINT)
	broker.waitForLog("interrupted while draining")
	<-broker.exitDone
	if code := broker.command.ProcessState.ExitCode(); code != 1 {
		t.Fatalf("ended with exit code %d", code)
	}
}

// TestInterruptedDrainAnswers checks what clients get when SIGINT cuts a drain short: a request whose part is at a node gets a
// response that does not say that nothing ran, as does a request that has not arrived whole. The broker ends with exit code 1.
func TestInterruptedDrainAnswers(t *testing.T) {
	broker := startServing(t)
	broker.hangShard(0)
	hanging := broker.sendOnOwnConnection(broker.newRequest("once", searchBody(0)))
	broker.waitForParts(0, 1)
	half := broker.sendHalfRequest()
	broker.command.Process.Signal(syscall.SIGTERM)
	broker.waitForLog("msg=draining")
	broker.command.Process.Signal(syscall.SIGINT)
	broker.expectFailure("a search that may have run", hanging)
	broker.expectFailure("half a request", half)
	broker.waitForLog("interrupted while draining")
	<-broker.exitDone
	if code := broker.command.ProcessState.ExitCode(); code != 1 {
		t.Fatalf("ended with exit code %d", code)
	}
}

// TestSlowRequestAnsweredAtDrainEnd checks the end of a drain's time, with a request whose body arrived slowly and whose part
// is at a node that hangs. The request gets a response that does not say that nothing ran, before whoever sent SIGTERM may
// send SIGKILL, and the broker ends with exit code 0.
func TestSlowRequestAnsweredAtDrainEnd(t *testing.T) {
	const (
		// maxDeadline is the longest deadline of the broker's settings.
		maxDeadline = 2100 * time.Millisecond
		// untilKill is the shortest time between SIGTERM and SIGKILL, by the protocol's page.
		untilKill = maxDeadline + 700*time.Millisecond
	)
	// The latency target is longer than the test, so that no node counts as silent meanwhile.
	broker := startServing(t, `"giveUp":8000`, `"giveUp":2100`, `"target":2000`, `"target":6000`)
	broker.hangShard(0)
	slow := broker.sendHalfRequest()
	signalledAt := time.Now()
	broker.command.Process.Signal(syscall.SIGTERM)
	broker.waitForLog("msg=draining")
	// The body arrives so late that the drain ends before the request's own deadline. The request must still be answered.
	time.Sleep(maxDeadline * 2 / 3)
	io.WriteString(slow, `{"buckets":[{"bucket":0,"part":1}],"body":"query"}`)
	broker.expectFailure("the search in flight", slow)
	if took := time.Since(signalledAt); took > untilKill {
		t.Errorf("answered after %v, SIGKILL may come after %v", took, untilKill)
	}
	broker.waitForExit()
}

// TestDrainBeforeKill checks that a broker that gets SIGTERM still answers a request with a long deadline whose part hangs at
// a node. The response must come before the earliest time at which SIGKILL may follow, and must not claim that nothing of the
// request ran.
func TestDrainBeforeKill(t *testing.T) {
	// untilKill is the shortest time between SIGTERM and SIGKILL, by the protocol's page, which counts longer deadlines as 3 s.
	const untilKill = 3700 * time.Millisecond
	// The latency target is long, so that the broker does not give up on the part before.
	broker := startServing(t, `"target":2000`, `"target":16000`, `"giveUp":8000`, `"giveUp":16000`)
	broker.hangShard(0)
	inFlight := broker.sendOnOwnConnection(broker.newRequest("once", searchBody(0), "X-Expires-In", "16000m"))
	broker.waitForParts(0, 1)
	signalledAt := time.Now()
	broker.command.Process.Signal(syscall.SIGTERM)
	broker.expectFailure("the search in flight", inFlight)
	if took := time.Since(signalledAt); took > untilKill {
		t.Errorf("answered after %v, SIGKILL may come after %v", took, untilKill)
	}
	inFlight.Close()
	broker.waitForExit()
}

// TestDrainBesideHungNodes checks three searches at SIGTERM: one is at a node that does not respond, one waits for its first attempt
// because all nodes that hold its shard are leaving, and one arrives at that moment. Each gets its response within its deadline, and
// none delays another.
func TestDrainBesideHungNodes(t *testing.T) {
	broker := startServing(t)
	broker.hangShard(0)
	broker.sendUpdate(42, "leaving", broker.nodes[1], broker.nodes[3])
	broker.updates <- "end"
	broker.nextWatch()
	hanging := broker.roundTripAsync(broker.newRequest("all", searchBody(0), "X-Expires-In", "1500m"))
	broker.waitForParts(0, 1)
	waiting := broker.roundTripAsync(broker.newRequest("all", searchBody(1)))
	// The broker accepts this connection before the signal, and its request comes after it.
	late, err := net.Dial("tcp", broker.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	idle := broker.sendOnOwnConnection(broker.newRequest("all", searchBody(2)))
	defer idle.Close()
	idleReader := bufio.NewReader(idle)
	if res, err := http.ReadResponse(idleReader, nil); err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	} else {
		io.Copy(io.Discard, res.Body)
	}
	// Once this search is answered, the broker has processed all that was sent before it.
	broker.expectCompleteAnswer("all", []int{2}, 2)
	broker.command.Process.Signal(syscall.SIGTERM)
	broker.waitForLog("msg=draining")
	// The log line comes first. Once the drain has begun, it shuts idle connections.
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Fatalf("the idle connection: %v", err)
	}
	lateRequest := broker.newRequest("all", searchBody(2))
	lateRequest.Write(late)
	res, err := http.ReadResponse(bufio.NewReader(late), nil)
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Fatalf("the search that arrived during the drain: %v, %v", res, err)
	}
	broker.sendUpdate(43, "active", broker.nodes[3])
	if a := <-waiting; a.Status != 200 || !a.Finished {
		t.Fatalf("the search that waited for a node got %+v", a)
	}
	if a := <-hanging; a.Status != 503 && a.Status != 504 {
		t.Fatalf("the search at a hanging node got %+v", a)
	}
	broker.waitForExit()
}

// TestReloadThenDrain checks SIGHUP and SIGTERM that are both pending before the broker handles either, with one request in
// flight, one on its way and one unused client connection. Neither signal is lost, the watch moves to the new discovery, and
// every request is answered.
func TestReloadThenDrain(t *testing.T) {
	const hup, term = syscall.SIGHUP, syscall.SIGTERM
	for round, signals := range [][2]syscall.Signal{{hup, term}, {term, hup}, {hup, term}, {term, hup}} {
		broker := startServing(t)
		unused := broker.sendOnOwnConnection(broker.newRequest("all", searchBody(1)))
		unusedReader := bufio.NewReader(unused)
		if res, err := http.ReadResponse(unusedReader, nil); err != nil || res.StatusCode != 200 {
			t.Fatal(res, err)
		} else {
			io.Copy(io.Discard, res.Body)
		}
		hold := broker.holdReplies()
		inFlight := broker.roundTripAsync(broker.newRequest("all", searchBody(0)))
		broker.waitForParts(0, 1)
		addr := broker.startDiscovery()
		broker.rewriteConfig(func(config string) string {
			config = regexp.MustCompile(`"discovery":"127[^"]+"`).ReplaceAllString(config, `"discovery":"`+addr+`"`)
			if round < 2 {
				return config
			}
			// The later rounds change the layout, too.
			return strings.Replace(config, `"slices":4`, `"slices":6`, 1)
		})
		broker.command.Process.Signal(syscall.SIGSTOP)
		for _, signal := range signals {
			broker.command.Process.Signal(signal)
		}
		late := broker.sendOnOwnConnection(broker.newRequest("all", searchBody(2)))
		broker.command.Process.Signal(syscall.SIGCONT)
		broker.waitForLog("configuration read again", addr)
		broker.waitForLog("msg=draining")
		broker.nextWatch()
		close(hold)
		if a := <-inFlight; a.Status != 200 || !a.Finished {
			t.Fatalf("the request in flight got %+v", a)
		}
		if res, err := http.ReadResponse(bufio.NewReader(late), nil); err != nil || res.StatusCode != 200 || !res.Close {
			t.Fatalf("the request on its way: %v, %v", res, err)
		}
		if _, err := unusedReader.ReadByte(); err != io.EOF {
			t.Fatalf("an unused connection ends with %v", err)
		}
		broker.waitForExit()
	}
}
