// This is the test of case 3 of the review: clients over Flight that leave while the broker stands still.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"brackenfront/review/kit"
)

const (
	// rounds is how many times the broker stands still, each time for stall, and roundPause is the time from one to the next.
	rounds     = 8
	stall      = 700 * time.Millisecond
	roundPause = 3500 * time.Millisecond
	// clients is how many clients search in each round, each on a connection of its own.
	clients = 4
	// leaveAfter is how long after its search was sent a client leaves.
	leaveAfter = 200 * time.Millisecond
	// stallAfter is how long after the searches were sent the broker begins to stand still, at the latest.
	stallAfter = 100 * time.Millisecond
	// partWork is how long a node takes for a part, also to turn it away.
	partWork = 50 * time.Millisecond
	// wait is how long clients would wait: the query type's giveUp.
	wait = 4 * time.Second
	// goneAfter is how long after a client's close an attempt may still begin, and socketSlack what the page adds to time limits.
	goneAfter   = 100 * time.Millisecond
	socketSlack = 50 * time.Millisecond
	// cells is the number of cells, and nodesPerCell that of the nodes in each.
	cells        = 6
	nodesPerCell = 2
)

// test is one run of the case.
type test struct {
	record     *kit.Record
	broker     *kit.Broker
	flightAddr string
	// arrived receives the id of each search whose first attempt has come to a node.
	arrived chan string

	mu sync.Mutex
	// attempts counts the attempts of each part, by its id.
	attempts map[string]int
	// closedAt is when the client of each search had closed its connection, by the id of the search.
	closedAt map[string]time.Time
	// searches, tooLate and worst are the searches, the attempts that began too late after the close, and the latest of them.
	searches, tooLate int
	worst             time.Duration
}

// main plays the run and ends with 1 if the rule was broken, 0 if it held and 2 if the case could not be run.
func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case3 RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1]))
}

// run plays the run and returns the exit status.
func run(recordPath string) int {
	record, err := kit.NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Say("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	t := &test{record: record, arrived: make(chan string, 1000), attempts: map[string]int{}, closedAt: map[string]time.Time{}}
	if err := t.start(dir); err != nil {
		record.Say("could not run: %v", err)
		return 2
	}
	defer t.broker.Kill()
	for round := range rounds {
		t.play(round)
		if t.broker.Ended() {
			record.Say("the broker ended")
			return 1
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	record.Say("searches: %d; attempts that began over %s after their client's close: %d, the latest %s after it", t.searches,
		goneAfter+socketSlack, t.tooLate, t.worst.Round(time.Millisecond))
	if t.searches < clients {
		record.Say("could not run: too few searches came to a node")
		return 2
	}
	if t.tooLate > 0 {
		record.Say("BROKEN")
		return 1
	}
	record.Say("held")
	return 0
}

// start starts the stand-ins and the broker.
func (t *test) start(dir string) error {
	var entries []string
	for i := range cells * nodesPerCell {
		node, err := kit.NewNode(fmt.Sprintf("s-%d", i), i%cells, partWork, t.receive)
		if err != nil {
			return err
		}
		// Each part's first attempt finds the node's queue full.
		node.TurnAway = func(part kit.Part) bool {
			t.mu.Lock()
			defer t.mu.Unlock()
			return t.attempts[part.ID] == 1
		}
		entries = append(entries, node.Entry())
	}
	discovery, err := kit.NewDiscovery(entries)
	if err != nil {
		return err
	}
	addr, err := kit.FreeAddr()
	if err != nil {
		return err
	}
	if t.flightAddr, err = kit.FreeAddr(); err != nil {
		return err
	}
	command, err := kit.RunCommand()
	if err != nil {
		return err
	}
	// The same program with Flight, and the option that docs/flight.md names. Parts of the query type must not run twice.
	command = strings.Replace(command, "bin/brackenfront", "bin/brackenflight", 1) + " --set flight.listen=" + t.flightAddr
	lanes := kit.KigaliLanes
	lanes.JSON = strings.Replace(lanes.JSON, `"name":"full-quote","effect":"read_like"`, `"name":"full-quote","effect":"non_idempotent"`, 1)
	t.broker, err = kit.StartBroker(command, dir, addr, kit.KigaliConfig(addr, discovery.Addr, discovery.List, lanes))
	return err
}

// receive is called for each attempt that has come whole to a node.
func (t *test) receive(part kit.Part) {
	now := time.Now()
	search, _, _ := strings.Cut(part.ID, ".")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[part.ID]++
	number := t.attempts[part.ID]
	outcome := "runs"
	if number == 1 {
		outcome = "is turned away"
		t.arrived <- search
	}
	closedAt, closed := t.closedAt[search]
	if !closed {
		t.record.Line("attempt   %d of %s at %s %s; its client is there", number, part.ID, part.Node, outcome)
		return
	}
	after := now.Sub(closedAt)
	t.record.Line("attempt   %d of %s at %s %s, %s after its client's close", number, part.ID, part.Node, outcome, after.Round(time.Millisecond))
	if after > goneAfter+socketSlack {
		t.tooLate++
		t.worst = max(t.worst, after)
		t.record.Say("TOO LATE  attempt %d of %s at %s %s, %s after its client's close", number, part.ID, part.Node, outcome, after.Round(time.Millisecond))
	}
}

// play plays one round: clients search; once their first attempts have come to nodes, the broker stands still; the clients leave
// meanwhile.
func (t *test) play(round int) {
	begun := time.Now()
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { t.client(fmt.Sprintf("f%d-%d", round, i), (3*i+round)%18) })
	}
	stopBy := time.After(stallAfter)
	for came := 0; came < clients; came++ {
		select {
		case <-t.arrived:
			t.mu.Lock()
			t.searches++
			t.mu.Unlock()
			continue
		case <-stopBy:
		}
		break
	}
	if kit.Trouble() {
		t.record.Line("the broker stands still")
		t.broker.Signal(syscall.SIGSTOP)
		time.Sleep(stall)
		t.broker.Signal(syscall.SIGCONT)
		t.record.Line("the broker goes on, after %s", stall)
	}
	all.Wait()
	time.Sleep(time.Until(begun.Add(roundPause)))
	for len(t.arrived) > 0 {
		<-t.arrived
	}
}

// client sends a search and leaves after leaveAfter: it cancels its call and closes its connection.
func (t *test) client(id string, shard int) {
	conn, err := grpc.NewClient("passthrough:///"+t.flightAddr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		t.record.Say("%s: %v", id, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		search := kit.Search{Text: id, Shards: []int{shard}, Weights: []float64{1}}
		raw, _ := json.Marshal(map[string]any{"type": "full-quote", "id": id, "dealer": "umucyo-build", "search": json.RawMessage(search.Body())})
		t.record.Line("sent      %s: shard %d", id, shard)
		stream, err := flight.NewFlightServiceClient(conn).DoGet(ctx, &flight.Ticket{Ticket: raw})
		for err == nil {
			var data *flight.FlightData
			if data, err = stream.Recv(); err == nil && len(data.DataHeader) == 0 {
				t.record.Line("answered  %s: %s", id, data.AppMetadata)
			}
		}
		t.record.Line("ended     %s: %v", id, err)
	}()
	select {
	case <-ended:
	case <-time.After(leaveAfter):
	}
	cancel()
	<-ended
	conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closedAt[id] = time.Now()
	t.record.Line("left      %s: its connection is closed", id)
}
