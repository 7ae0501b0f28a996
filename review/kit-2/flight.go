package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// schemaOf returns the schema of the tables that nodes return for a class; the text of a search begins with its class.
func schemaOf(class string) *arrow.Schema {
	if class == "price" {
		return arrow.NewSchema([]arrow.Field{{Name: "article", Type: arrow.BinaryTypes.String}, {Name: "price", Type: arrow.PrimitiveTypes.Float64}}, nil)
	}
	return arrow.NewSchema([]arrow.Field{{Name: "hall", Type: arrow.PrimitiveTypes.Int32}, {Name: "pieces", Type: arrow.PrimitiveTypes.Int64}}, nil)
}

// flightNode is a stand-in for a node that speaks Flight.
type flightNode struct {
	flight.BaseFlightServer
}

func (n *flightNode) DoAction(_ *flight.Action, out flight.FlightService_DoActionServer) error {
	return out.Send(&flight.Result{Body: []byte("hit")})
}

func (n *flightNode) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	line, text, _ := bytes.Cut(ticket.Ticket, []byte{'\n'})
	id, _, ok := strings.Cut(string(line), " ")
	class, _, ok2 := strings.Cut(string(text), " ")
	if !ok || !ok2 {
		return status.Error(codes.InvalidArgument, "ticket")
	}
	schema := schemaOf(class)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for i := range schema.Fields() {
		switch column := builder.Field(i).(type) {
		case *array.StringBuilder:
			column.Append("profile 7")
		case *array.Float64Builder:
			column.Append(12.5)
		case *array.Int32Builder:
			column.Append(3)
		case *array.Int64Builder:
			column.Append(40)
		}
	}
	record := builder.NewRecordBatch()
	defer record.Release()
	writer := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	if err := writer.Write(record); err != nil {
		return err
	}
	if err := writer.Close(); err != nil {
		return err
	}
	return stream.Send(&flight.FlightData{AppMetadata: []byte(id + " hit 1 -")})
}

// startFlightNode starts a node on a free port.
func startFlightNode() (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, &flightNode{})
	go server.Serve(listener)
	return listener.Addr().String(), server.Stop, nil
}

// flightClient is a client of the broker over Flight.
type flightClient struct {
	flight.FlightServiceClient
}

func newFlightClient(addr string) (*flightClient, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return nil, err
	}
	return &flightClient{flight.NewFlightServiceClient(conn)}, nil
}

// command returns the JSON text of a search for two shards.
func command(class string) []byte {
	id := newID()
	raw, _ := json.Marshal(map[string]any{"type": class, "id": id, "dealer": "acme",
		"search": map[string]any{"buckets": []map[string]any{{"bucket": 0, "part": 0.5}, {"bucket": 1, "part": 0.5}}, "body": class + " " + id}})
	return raw
}

// get runs a search and returns the schema of its answer.
func (c *flightClient) get(class string) (*arrow.Schema, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	stream, err := c.DoGet(ctx, &flight.Ticket{Ticket: command(class)})
	if err != nil {
		return nil, err
	}
	reader, err := flight.NewRecordReader(stream)
	if err != nil {
		return nil, err
	}
	defer reader.Release()
	return reader.Schema(), nil
}

// getSchema asks for the schema of a class; it returns nil if the broker says that it knows none yet.
func (c *flightClient) getSchema(class string) (*arrow.Schema, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result, err := c.GetSchema(ctx, &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: command(class)})
	if status.Code(err) == codes.FailedPrecondition {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	return flight.DeserializeSchema(result.Schema, memory.DefaultAllocator)
}

func columns(schema *arrow.Schema) string {
	if schema == nil {
		return "none known"
	}
	var names []string
	for _, field := range schema.Fields() {
		names = append(names, field.Name+" "+field.Type.String())
	}
	return strings.Join(names, ", ")
}

// schemaAfterReload puts a configuration in force that lists the same two classes in another order, and asks for the schemas of
// both.
func schemaAfterReload(r *run) (int, error) {
	d, err := newDiscovery()
	if err != nil {
		return 0, err
	}
	for i := range 2 {
		addr, stop, err := startFlightNode()
		if err != nil {
			return 0, err
		}
		defer stop()
		d.set(host{Host: fmt.Sprintf("s-%d", i), Dial: addr, Site: "a", Class: "m2", Block: i, Health: "active", Share: 1, Speaks: "flight"})
	}
	known := d.known()
	settings := func(classes ...string) map[string]any {
		s := smallSettings()
		var lanes []map[string]any
		for _, class := range classes {
			lanes = append(lanes, map[string]any{"name": class, "effect": "read_like", "target": 1000, "giveUp": 4000, "worth": 1, "lateWorth": 0.1, "window": 4000})
		}
		s["lanes"] = lanes
		s["familyInfo"] = map[string]any{"perCall": 1, "places": 2, "reach": 1, "slices": 2, "classNeed": []float64{1, 1}, "minShare": []float64{1, 1},
			"incompleteWorth": []float64{0, 0}, "fetchParts": []int{0, 0}}
		return s
	}
	listen, flightListen, config := freeAddr(), freeAddr(), r.path("b1.json")
	if err := writeConfig(config, "b1", listen, d.addr(), known, settings("price", "stock")); err != nil {
		return 0, err
	}
	b, err := r.start("b1", "exec bin/brackenflight --set flight.leaves=true --set flight.listen="+flightListen, listen, config)
	if err != nil {
		return 0, err
	}
	c, err := newFlightClient(flightListen)
	if err != nil {
		return 0, err
	}
	wrong := 0
	// look asks for the schemas of both classes, and compares them with those of the classes' answers.
	look := func(when string) error {
		for _, class := range []string{"price", "stock"} {
			schema, err := c.getSchema(class)
			if err != nil {
				return err
			}
			r.note("%s: GetSchema of %s: %s", when, class, columns(schema))
			if schema != nil && !schema.Equal(schemaOf(class)) {
				wrong++
				r.note("that is not the schema of the last answer of %s: %s", class, columns(schemaOf(class)))
			}
		}
		return nil
	}
	for _, class := range []string{"price", "stock"} {
		schema, err := c.get(class)
		if err != nil {
			return 0, err
		}
		r.note("DoGet of %s: %s", class, columns(schema))
		if !schema.Equal(schemaOf(class)) {
			wrong++
		}
	}
	if err := look("before"); err != nil {
		return 0, err
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		if err := writeConfig(config+".new", "b1", listen, d.addr(), known, settings("stock", "price")); err != nil {
			return 0, err
		}
		if err := os.Rename(config+".new", config); err != nil {
			return 0, err
		}
		b.signal(syscall.SIGHUP)
		r.note("the configuration is replaced, with the classes in another order, and SIGHUP is sent")
	}
	// What a new configuration says counts 4 s after SIGHUP.
	time.Sleep(4500 * time.Millisecond)
	if raw, err := os.ReadFile(b.log); err == nil {
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "configuration") {
				r.note("log: %s", line)
			}
		}
	}
	if err := look("after"); err != nil {
		return 0, err
	}
	schema, err := c.get("price")
	if err != nil {
		return 0, err
	}
	r.note("DoGet of price: %s", columns(schema))
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
