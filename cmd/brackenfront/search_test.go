package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// TestSearchFromRequestToAnswer checks a search from the request to the answer: the health check, what the nodes receive, the
// log line of the start and the counters.
func TestSearchFromRequestToAnswer(t *testing.T) {
	broker := startServing(t)
	if res, err := broker.client.Get("http://" + broker.addr + "/healthz"); err != nil || res.StatusCode != 200 {
		t.Fatalf("health: %v %v", res, err)
	}
	broker.expectCompleteAnswer("all", []int{0, 1}, 0, 1)
	received, _ := broker.receivedByNodes()
	if len(received) != 2 {
		t.Fatalf("the nodes received %v", received)
	}
	for _, a := range received {
		if a.text != "qé\n\"<x>" || !regexp.MustCompile(`^d=\d+$`).MatchString(a.fields) ||
			a.id != fmt.Sprintf("%016x.%d", 1, a.shard) {
			t.Fatalf("a node received %+v", a)
		}
	}
	broker.waitForLog("msg=serving", "memory=167772160 ", "processors=1")
	broker.command.Process.Signal(syscall.SIGUSR1)
	if c := broker.counters("searches"); c["taken"] != 1 || c["answered"] != 1 {
		t.Fatalf("counters %v", c)
	}
	broker.stop()
}

// TestAnyPartIsEnough checks a class that needs only some of the parts: its answer does not wait for a node that sends nothing,
// and the part there is cancelled.
func TestAnyPartIsEnough(t *testing.T) {
	broker := startServing(t)
	broker.hangShard(1)
	// The reply for shard 0 is held until the part for shard 1 has been sent: a part that has not been sent when the search
	// ends is dropped, and its node gets no cancellation.
	hold := make(chan struct{})
	broker.nodes[0].update(func() { broker.nodes[0].heldUntil = hold })
	broker.nodes[2].update(func() { broker.nodes[2].heldUntil = hold })
	request := broker.newRequest("any", searchBody(0, 1))
	done := make(chan answer)
	go func() { done <- broker.roundTrip(request) }()
	broker.waitUntil(t, "the part for shard 1 to be sent", func() bool { return len(broker.nodes[1].received)+len(broker.nodes[3].received) == 1 })
	close(hold)
	if a := <-done; a.Status != 200 || !a.Finished || len(a.Found) != 1 || a.Found[0].Item != shardValue(0) {
		t.Fatalf("got %+v", a)
	}
	broker.waitUntil(t, "the part for shard 1 to be cancelled", func() bool { return len(broker.nodes[1].cancelled)+len(broker.nodes[3].cancelled) == 1 })
	broker.stop()
}

// TestSecondStep checks a class with a second step: it asks one node again, with the shards of the first step in its fields.
func TestSecondStep(t *testing.T) {
	broker := startServing(t)
	broker.expectCompleteAnswer("two", []int{3}, 0, 3, 1)
	received, _ := broker.receivedByNodes()
	received = slices.DeleteFunc(received, func(a receivedAttempt) bool { return !strings.HasSuffix(a.id, ".load") })
	if len(received) != 1 || received[0].id != fmt.Sprintf("%016x.3.load", 1) || received[0].shard != 3 ||
		!regexp.MustCompile(`^d=\d+,from=0\+3\+1,whole=1$`).MatchString(received[0].fields) {
		t.Fatalf("the second step sent %+v", received)
	}
	broker.stop()
}

// TestNodeFaults checks that whatever goes wrong with the first attempt of a part at one node, the other node that holds the
// shard answers it.
func TestNodeFaults(t *testing.T) {
	// response is the response to the first attempt, and code what the broker logs about the connection then; empty for nothing.
	for name, c := range map[string]struct{ response, code string }{
		"reset": {"reset", "code=ended"}, "fault": {"fault", ""}, "overload": {"overload", ""}, "silent": {"nothing", ""},
		"an unknown letter":          {"raw:" + string(encodeFrame('Z', "")), "code=malformed"},
		"a length beyond the bound":  {"raw:\xff\xff\xff\xffE", "code=malformed"},
		"a length of zero":           {"raw:\x00\x00\x00\x00E", "code=malformed"},
		"a refusal":                  {"raw:" + string(encodeFrame('F', "what?")), "code=misread"},
		"a malformed reply":          {"raw:" + string(encodeFrame(replyLetter, "x hit\n")), "code=malformed"},
		"a value that is not UTF-8":  {"raw:" + string(encodeFrame(replyLetter, "0000000000000001.0 hit 1 -\n\xff")), "code=malformed"},
		"a reply to an unknown part": {"raw:" + string(encodeFrame(replyLetter, "x.0 hit 1 -\nv")), ""},
	} {
		t.Run(name, func(t *testing.T) {
			broker := startServing(t)
			broker.respondToFirst(c.response)
			broker.expectCompleteAnswer("all", []int{0}, 0)
			if c.code != "" {
				broker.waitForLog("side=node", c.code)
			}
			broker.stop()
		})
	}
}

// TestNodeRefusesConnections checks that searches are answered though one of the two nodes of a replica group refuses connections.
func TestNodeRefusesConnections(t *testing.T) {
	broker := startServing(t)
	broker.nodes[0].shutDown()
	// The replica that a search tries first is drawn at random; some of these searches start at the node that is down.
	for range 4 {
		broker.expectCompleteAnswer("all", []int{0, 1}, 0, 1)
	}
	broker.waitForLog("side=node", "code=refused")
	broker.stop()
}

// TestNonIdempotentNotSentAgain checks that a part that may have run is not sent again where its class forbids it, and that
// the search ends in time, with a status by which the client cannot conclude that nothing ran.
func TestNonIdempotentNotSentAgain(t *testing.T) {
	broker := startServing(t)
	broker.respondAll("nothing")
	if a := broker.roundTrip(broker.newRequest("once", searchBody(0), "X-Expires-In", "500m")); a.Status != 500 && a.Status != 504 {
		t.Fatalf("got %+v", a)
	}
	if received, _ := broker.receivedByNodes(); len(received) != 1 {
		t.Fatalf("the nodes received %+v", received)
	}
	broker.stop()
}
