package kit2

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
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
