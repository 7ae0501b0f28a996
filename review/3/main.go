// This is the test of case 3 of the review: the schemas of query types over Flight, across new configurations.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"brackenfront/review/kit"
)

const (
	// rounds is how many times a new configuration is loaded, and settle is the time that the broker gets to load it.
	rounds = 4
	settle = 4 * time.Second
	// callTimeout is how long a client waits for the answer to a call.
	callTimeout = 4 * time.Second
	// cells is the number of cells, each with one node.
	cells = 6
)

// columnOf is the name of the column in the tables of each query type.
var columnOf = map[string]string{"quick-match": "stock", "full-quote": "price"}

// lanes are the two configurations that take turns: the same query types with the same settings, in either order.
var lanes = [2]kit.Lanes{kit.KigaliLanes, {
	JSON: `[{"name":"full-quote","effect":"read_like","group":"all","target":2000,"giveUp":4000,"worth":1,"lateWorth":0.1,"window":5000},
   {"name":"quick-match","effect":"read_like","group":"all","target":1200,"giveUp":4000,"worth":2,"lateWorth":0,"window":5000}]`,
	Family: `"classNeed":[1.0,0.67],"minShare":[1.0,0.67],"incompleteWorth":[0.9,0.9],"fetchParts":[0,0]`,
}}

// test is one run of the case.
type test struct {
	record *kit.Record
	client flight.FlightServiceClient
	// asked and wrong count the calls for a schema, and those answered with the schema of another query type.
	asked, wrong int
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
	t := &test{record: record}
	if err := t.play(dir); err != nil {
		record.Say("could not run: %v", err)
		return 2
	}
	record.Say("schemas asked for: %d, of another query type: %d", t.asked, t.wrong)
	if t.wrong > 0 {
		record.Say("BROKEN")
		return 1
	}
	record.Say("held")
	return 0
}

// play starts the stand-ins and the broker and plays the rounds.
func (t *test) play(dir string) error {
	var entries []string
	for i := range cells {
		node, err := startNode(fmt.Sprintf("s-%d", i), t.record)
		if err != nil {
			return err
		}
		entries = append(entries, node.entry(i))
	}
	discovery, err := kit.NewDiscovery(entries)
	if err != nil {
		return err
	}
	addr, err := kit.FreeAddr()
	if err != nil {
		return err
	}
	flightAddr, err := kit.FreeAddr()
	if err != nil {
		return err
	}
	config := func(round int) string {
		return kit.KigaliConfig(addr, discovery.Addr, discovery.List, lanes[round%len(lanes)])
	}
	command, err := kit.RunCommand()
	if err != nil {
		return err
	}
	// The same program with Flight, and the options that docs/flight.md names.
	command = strings.Replace(command, "bin/brackenfront", "bin/brackenflight", 1) + " --set flight.leaves=true --set flight.listen=" + flightAddr
	broker, err := kit.StartBroker(command, dir, addr, config(0))
	if err != nil {
		return err
	}
	defer broker.Kill()
	conn, err := grpc.NewClient("passthrough:///"+flightAddr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return err
	}
	defer conn.Close()
	t.client = flight.NewFlightServiceClient(conn)
	for _, class := range []string{"quick-match", "full-quote"} {
		if err := t.search(class); err != nil {
			return err
		}
		if err := t.askSchema(class); err != nil {
			return err
		}
	}
	for round := 1; round <= rounds; round++ {
		if kit.Trouble() {
			t.record.Line("a new configuration, SIGHUP")
			if err := broker.Reload(dir, config(round)); err != nil {
				return err
			}
		}
		time.Sleep(settle)
		if broker.Ended() {
			return fmt.Errorf("the broker ended")
		}
		for _, class := range []string{"quick-match", "full-quote"} {
			if err := t.askSchema(class); err != nil {
				return err
			}
		}
	}
	return nil
}

// command returns the text of a ticket or a descriptor's command for a search of the class.
func command(class, id string) []byte {
	search := kit.Search{Text: columnOf[class], Shards: []int{0, 4}, Weights: []float64{0.5, 0.5}}
	raw, _ := json.Marshal(map[string]any{"type": class, "id": id, "dealer": "umucyo-build", "search": json.RawMessage(search.Body())})
	return raw
}

// search runs a search of the class, and checks that its answer has the class's column.
func (t *test) search(class string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	t.record.Line("sent      DoGet %s", class)
	stream, err := t.client.DoGet(ctx, &flight.Ticket{Ticket: command(class, "search-"+class)})
	if err != nil {
		return err
	}
	first, err := stream.Recv()
	for err == nil {
		var data *flight.FlightData
		if data, err = stream.Recv(); err == nil && len(data.DataHeader) == 0 {
			t.record.Line("answered  DoGet %s: %s", class, data.AppMetadata)
		}
	}
	if first == nil {
		return err
	}
	want, err := tableOf(columnOf[class])
	if err != nil {
		return err
	}
	if !bytes.Equal(first.DataHeader, want.Schema.Header) {
		return fmt.Errorf("the answer to a %s has another schema than its nodes gave", class)
	}
	return nil
}

// askSchema asks for the schema of the class, and counts one of another class.
func (t *test) askSchema(class string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	t.asked++
	result, err := t.client.GetSchema(ctx, &flight.FlightDescriptor{Type: flight.FlightDescriptor_CMD, Cmd: command(class, "schema-"+class)})
	if status.Code(err) == codes.FailedPrecondition {
		t.record.Line("answered  GetSchema %s: none is known", class)
		return nil
	} else if err != nil {
		return err
	}
	reader, err := ipc.NewReader(bytes.NewReader(result.Schema))
	if err != nil {
		return err
	}
	column := reader.Schema().Field(0).Name
	t.record.Line("answered  GetSchema %s: column %s", class, column)
	if column != columnOf[class] {
		t.wrong++
		t.record.Say("WRONG     GetSchema %s: column %q, but all answers of this query type have the column %q", class, column, columnOf[class])
	}
	return nil
}
