package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// deepPipeline is a client that sends very many searches of the class once, which must not run twice, on one connection without
// waiting for answers, closes it with most of them unread, and sends the same searches again, each on a connection of its own.
type deepPipeline struct {
	// text is the length of a search's text in bytes: short ones fill the broker's buffers with many searches, long ones fill the
	// network's, so that the client's end stays behind what it has not even sent.
	text int
	// reset says that the client resets the connection in place of an orderly close.
	reset bool
	// pause says that the broker's process is stopped from before the client closes until 300 ms after.
	pause bool
}

// Ends of the texts of searches, of equal length, by which nodes tell the deliveries apart.
const (
	firstDeliveryText  = "first"
	secondDeliveryText = "again"
)

// deepPipelineSearches is how many searches each client of TestDeepPipelineOfClosedClient sends before it closes its connection.
const deepPipelineSearches = 300

// run plays the client, and returns when all of its second deliveries have their answers.
func (c deepPipeline) run(broker *brokerProcess, random *rand.Rand, closed *closeTimes) {
	var first, second [][]byte
	var ids []string
	for i := range deepPipelineSearches {
		body := fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":1}],"body":"%s%s"}`, i%4, strings.Repeat("x", c.text), firstDeliveryText)
		request := broker.newRequest("once", body)
		first = append(first, broker.requestBytes(request))
		second = append(second, bytes.Replace(first[i], []byte(firstDeliveryText+`"}`), []byte(secondDeliveryText+`"}`), 1))
		ids = append(ids, request.Header.Get("X-Trace-Id"))
	}
	conn, err := net.Dial("tcp", broker.addr)
	if err != nil {
		broker.t.Fatal(err)
	}
	go func() {
		// The answers are read, so that the client's machine does not reset the connection for them.
		io.Copy(io.Discard, conn)
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for _, request := range first {
			if _, err := conn.Write(request); err != nil {
				return
			}
		}
	}()
	time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	if c.pause {
		broker.pauseProcess()
	}
	way := 0
	if c.reset {
		way = 1
	}
	closed.closeClient(conn, way, ids...)
	<-written
	if c.pause {
		time.Sleep(300 * time.Millisecond)
		broker.command.Process.Signal(syscall.SIGCONT)
		closed.Lock()
		for _, id := range ids {
			closed.at[id] = time.Now()
		}
		closed.Unlock()
	}
	var again sync.WaitGroup
	for i := range second {
		wait := time.Duration(random.IntN(100)) * time.Millisecond
		again.Go(func() {
			time.Sleep(wait)
			conn, err := net.Dial("tcp", broker.addr)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(waitTimeout))
			conn.Write(second[i])
			conn.Read(make([]byte, 1))
		})
	}
	again.Wait()
}

// TestDeepPipelineOfClosedClient guards against searches that are sent on after their client has closed its connection with much still
// unread, and against searches that run twice when their client comes again: no search reaches a node twice, and none of the first
// delivery more than closeNoticeBound after the close.
func TestDeepPipelineOfClosedClient(t *testing.T) {
	for name, c := range map[string]deepPipeline{
		"short, closed":        {text: 10},
		"short, reset":         {text: 10, reset: true},
		"long, closed":         {text: 60_000},
		"long, reset":          {text: 60_000, reset: true},
		"short, closed, pause": {text: 10, pause: true},
		"long, closed, pause":  {text: 60_000, pause: true},
		"long, reset, pause":   {text: 60_000, reset: true, pause: true},
	} {
		t.Run(name, func(t *testing.T) {
			delay := measureSchedulingDelay(t)
			broker := startServing(t, "MAXOPEN", "2000")
			arrivals := map[string]time.Time{}
			attempts := broker.recordAttempts(func(a receivedAttempt) string {
				if strings.HasSuffix(a.text, firstDeliveryText) {
					arrivals[strings.Split(a.id, ".")[0]] = time.Now()
				}
				return "hit"
			})
			end := broker.releaseRepliesEvery(5 * time.Millisecond)
			closed := &closeTimes{at: map[string]time.Time{}}
			c.run(broker, rand.New(rand.NewPCG(61, 1)), closed)
			end()
			broker.Lock()
			worst := time.Duration(0)
			for id, arrivedAt := range arrivals {
				after := arrivedAt.Sub(closed.at[id])
				if worst = max(worst, after); after > closeNoticeBound+delay.allowance() {
					t.Errorf("%s arrived %s after its client's close", id, after)
				}
			}
			broker.Unlock()
			seen := map[string]time.Time{}
			first := 0
			for _, a := range attempts() {
				if before, ok := seen[a.searchID]; ok {
					t.Errorf("%s reached nodes twice, %s apart", a.searchID, a.arrivedAt.Sub(before))
				}
				seen[a.searchID] = a.arrivedAt
				if a.arrivedAt.Before(closed.at[a.searchID]) {
					first++
				}
			}
			t.Logf("%d of %d searches ran before the close, the last of them %s after it, %d in all; %s allowed for a busy machine", first,
				deepPipelineSearches, worst.Round(time.Millisecond), len(seen), delay.allowance().Round(time.Millisecond))
			broker.stop()
		})
	}
}
