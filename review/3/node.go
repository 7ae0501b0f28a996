package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/flightfrontend"
	"brackenfront/review/kit"
)

// node is a stand-in node that speaks Flight, as docs/flight.md has it: a part's table has one column, whose name is the text of
// its search.
type node struct {
	flight.UnimplementedFlightServiceServer
	name   string
	addr   string
	record *kit.Record
}

// startNode starts a node on a free loopback port.
func startNode(name string, record *kit.Record) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, addr: listener.Addr().String(), record: record}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, n)
	go server.Serve(listener)
	return n, nil
}

// entry is the node's entry in discovery's list.
func (n *node) entry(block int) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"small-2c","block":%d,"health":"active","share":1.0,"born_ms":0,"speaks":"flight"}`,
		n.name, n.addr, block)
}

// DoAction answers a health probe.
func (n *node) DoAction(_ *flight.Action, out flight.FlightService_DoActionServer) error {
	return out.Send(&flight.Result{Body: []byte("hit")})
}

// DoGet runs a part and answers with its table.
func (n *node) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	line, text, _ := bytes.Cut(ticket.Ticket, []byte{'\n'})
	words := strings.Fields(string(line))
	if len(words) != 4 {
		return status.Error(codes.InvalidArgument, "a part's line has four words")
	}
	n.record.Line("run       %s at %s: %s", words[0], n.name, text)
	table, err := tableOf(string(text))
	if err != nil {
		return err
	}
	for _, message := range append([]protocol.ArrowMessage{table.Schema}, table.Batches...) {
		if err := stream.Send(&flight.FlightData{DataHeader: message.Header, DataBody: message.Body}); err != nil {
			return err
		}
	}
	return stream.Send(&flight.FlightData{AppMetadata: []byte(words[0] + " hit 1 -")})
}

// tableOf returns a table with one column of numbers that has the given name.
func tableOf(column string) (*protocol.Table, error) {
	schema := arrow.NewSchema([]arrow.Field{{Name: column, Type: arrow.PrimitiveTypes.Int64}}, nil)
	builder := array.NewInt64Builder(memory.DefaultAllocator)
	builder.Append(1)
	batch := array.NewRecordBatch(schema, []arrow.Array{builder.NewArray()}, 1)
	return flightfrontend.BuildTable(schema, func(w *ipc.Writer) error { return w.Write(batch) })
}
