// This is the test of case 1 of the review: clients whose weights do not add up to 1, beside the usual clients.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"brackenfront/review/kit"
)

const (
	// runTime is how long clients send searches.
	runTime = 20 * time.Second
	// usualPause and badPause are the times between two searches of the usual clients, and of the bad ones.
	usualPause = 100 * time.Millisecond
	badPause   = 500 * time.Millisecond
	// partWork is how long a node works on a part.
	partWork = 60 * time.Millisecond
	// cells is the number of cells, and nodesPerCell that of the nodes in each.
	cells        = 6
	nodesPerCell = 2
	// wait is how long clients wait: the query types' giveUp.
	wait = 4 * time.Second
	// socketSlack is what the protocol page adds to every time limit on sockets.
	socketSlack = 50 * time.Millisecond
)

// badWeights are weights that are each in range and do not add up to 1, by query type.
var badWeights = []kit.Search{
	{Class: "full-quote", Shards: []int{0, 3, 7, 11}, Weights: []float64{1, 1, 1, 1}},
	{Class: "full-quote", Shards: []int{2, 9}, Weights: []float64{0.7, 0.6}},
	{Class: "quick-match", Shards: []int{0, 2, 4, 6, 8, 10, 12, 14}, Weights: []float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}},
	{Class: "quick-match", Shards: []int{1, 5, 9, 13, 17, 3, 7, 11}, Weights: []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}},
}

// test is one run of the case.
type test struct {
	record *kit.Record
	broker *kit.Broker
	client *http.Client
	mu     sync.Mutex
	// parts counts the parts that nodes received, by the id of the search.
	parts map[string]int
	// usual, wrong, bad and served count the searches of usual clients, those of them that got a wrong or no answer, the bad
	// searches, and those of them that were served.
	usual, wrong, bad, served int
}

// main plays the run and ends with 1 if the rule was broken, 0 if it held and 2 if the case could not be run.
func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case1 RECORD")
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
	t := &test{record: record, parts: map[string]int{}, client: &http.Client{Timeout: wait + 4*time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	if err := t.start(dir); err != nil {
		record.Say("could not run: %v", err)
		return 2
	}
	defer t.broker.Kill()
	t.play()
	return t.judge()
}

// start starts the stand-ins and the broker.
func (t *test) start(dir string) error {
	var entries []string
	for i := range cells * nodesPerCell {
		node, err := kit.NewNode(fmt.Sprintf("s-%d", i), i%cells, partWork, t.receive)
		if err != nil {
			return err
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
	command, err := kit.RunCommand()
	if err != nil {
		return err
	}
	t.broker, err = kit.StartBroker(command, dir, addr, kit.KigaliConfig(addr, discovery.Addr, discovery.List, kit.KigaliLanes))
	return err
}

// receive is called for each part that a node begins to run.
func (t *test) receive(part kit.Part) {
	t.record.Line("run       %s at %s: shard %d, %s", part.ID, part.Node, part.Shard, part.Fields)
	t.mu.Lock()
	defer t.mu.Unlock()
	search, _, _ := strings.Cut(part.ID, ".")
	t.parts[search]++
}

// play lets the clients send for runTime and waits for their answers.
func (t *test) play() {
	var clients sync.WaitGroup
	random := rand.New(rand.NewPCG(51, 1))
	end := time.Now().Add(runTime)
	nextBad := time.Now()
	for n := 0; time.Now().Before(end) && !t.broker.Ended(); n++ {
		clients.Go(func(search kit.Search) func() { return func() { t.usualClient(search) } }(usualSearch(random, n)))
		if kit.Trouble() && !time.Now().Before(nextBad) {
			nextBad = time.Now().Add(badPause)
			search := badWeights[t.bad%len(badWeights)]
			t.bad++
			search.ID, search.Customer, search.Text, search.Wait = fmt.Sprintf("bad%d", n), "gasabo-frames", "x", wait
			clients.Go(func() { t.badClient(search) })
		}
		time.Sleep(usualPause)
	}
	clients.Wait()
}

// usualSearch returns the n-th search of the usual clients, whose weights add up to 1.
func usualSearch(random *rand.Rand, n int) kit.Search {
	search := kit.Search{ID: fmt.Sprintf("good%d", n), Customer: "umucyo-build", Text: fmt.Sprintf("opening %d", n), Wait: wait,
		Class: "full-quote"}
	parts := 4
	if n%3 == 0 {
		search.Class = "quick-match"
		parts = 8
	}
	for _, shard := range random.Perm(18)[:parts] {
		search.Shards = append(search.Shards, shard)
		search.Weights = append(search.Weights, 1/float64(parts))
	}
	return search
}

// usualClient sends a search and checks its answer: one in time, and no value that was not made for it.
func (t *test) usualClient(search kit.Search) {
	t.record.Line("sent      %s %s %v %v", search.ID, search.Class, search.Shards, search.Weights)
	answer := search.Send(t.client, t.broker.Addr)
	t.record.Line("answered  %s %d in %s: %s", search.ID, answer.Status, answer.Took.Round(time.Millisecond), answer.Raw)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usual++
	if answer.Status == 0 || answer.Err != nil || answer.Took > wait+socketSlack || answer.Status == http.StatusOK && !honest(search, answer) {
		t.wrong++
		t.record.Say("WRONG     %s: status %d, %v, %s", search.ID, answer.Status, answer.Err, answer.Raw)
	}
}

// honest reports whether an answer's values are those made for the search, and have the weight that they need.
func honest(search kit.Search, answer kit.Answer) bool {
	weight := 0.0
	for _, found := range answer.Found {
		i := slices.Index(search.Shards, found.Bucket)
		if i < 0 || found.Item != kit.Value(fmt.Sprintf("%s.%d", search.ID, found.Bucket), found.Bucket, search.Text) {
			return false
		}
		weight += search.Weights[i]
	}
	need := 1.0
	if search.Class == "quick-match" {
		need = 0.67
	}
	return weight >= need-1e-4
}

// badClient sends a search whose weights do not add up to 1. It is owed any 4xx or 5xx, or a close.
func (t *test) badClient(search kit.Search) {
	sum := 0.0
	for _, weight := range search.Weights {
		sum += weight
	}
	if math.Abs(sum-1) < 0.01 {
		panic("these weights add up to 1")
	}
	t.record.Line("sent bad  %s %s %v %v: the weights add up to %.2f", search.ID, search.Class, search.Shards, search.Weights, sum)
	answer := search.Send(t.client, t.broker.Addr)
	t.record.Line("answered  %s %d in %s: %s", search.ID, answer.Status, answer.Took.Round(time.Millisecond), answer.Raw)
	if answer.Status < 200 || answer.Status > 299 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	t.record.Say("SERVED    %s %s: weights %v of shards %v add up to %.2f; answered %d, finished=%v, with %d of %d parts", search.ID,
		search.Class, search.Weights, search.Shards, sum, answer.Status, answer.Finished, len(answer.Found), len(search.Shards))
}

// judge says how the run ended and returns the exit status.
func (t *test) judge() int {
	ran := 0
	for id, parts := range t.parts {
		if strings.HasPrefix(id, "bad") {
			ran += parts
		}
	}
	t.record.Say("usual searches: %d, wrong or without answer: %d; bad searches: %d, served as though they had run: %d; parts of bad searches at nodes: %d",
		t.usual, t.wrong, t.bad, t.served, ran)
	if t.broker.Ended() {
		t.record.Say("the broker ended")
		return 1
	}
	if t.usual == 0 {
		return 2
	}
	if t.wrong > 0 || t.served > 0 {
		t.record.Say("BROKEN")
		return 1
	}
	t.record.Say("held")
	return 0
}
