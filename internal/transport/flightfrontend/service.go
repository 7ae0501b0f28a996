package flightfrontend

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/go-json-experiment/json"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"brackenfront/internal/protocol"
)

// GetFlightInfo returns a ticket with which DoGet executes the search of the descriptor, and the schema of the last answer to a
// search of its class, if there was one. It executes nothing.
func (f *Frontend) GetFlightInfo(ctx context.Context, descriptor *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	search, err := f.parseDescriptor(ctx, descriptor)
	if err != nil {
		return nil, f.badRequest(err)
	}
	return &flight.FlightInfo{FlightDescriptor: descriptor, Schema: f.lastSchema(search.Class), TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: descriptor.Cmd}}}}, nil
}

// GetSchema returns the schema of the last answer to a search of the descriptor's class. Before the first such answer no schema is
// known, and it fails with FAILED_PRECONDITION.
func (f *Frontend) GetSchema(ctx context.Context, descriptor *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	search, err := f.parseDescriptor(ctx, descriptor)
	if err != nil {
		return nil, f.badRequest(err)
	}
	if schema := f.lastSchema(search.Class); schema != nil {
		return &flight.SchemaResult{Schema: schema}, nil
	}
	return nil, status.Error(codes.FailedPrecondition, "no answer of this query type has been seen yet")
}

// lastSchema returns the schema of the last answer to a search of the class with that number, as an encapsulated Arrow message, the
// form that Flight expects; nil before the first answer.
func (f *Frontend) lastSchema(class int) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSchemas[class]
}

// DoGet executes the search of a ticket and sends its final answer on the stream: a success as messages, and any other answer as
// the returned gRPC status.
func (f *Frontend) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	arrivedAt := arrivalTime(stream.Context())
	search, err := f.parseCommand(stream.Context(), ticket.Ticket)
	if err != nil {
		return f.badRequest(err)
	}
	conn, ok := stream.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return status.Error(codes.Internal, "its connection has ended")
	}
	clientDeparted := func() bool { return conn.departed(stream.Context()) }
	// The client may have left before its request was read.
	if clientDeparted() && !conn.endedByFrontend() {
		return status.FromContextError(cmp.Or(stream.Context().Err(), context.Canceled)).Err()
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(conn.streamsCtx, cancel)()
	answer, err := f.search(ctx, search, arrivedAt, clientDeparted)
	if err != nil && conn.endedByFrontend() {
		return status.Error(codes.Internal, "the connection ends: nothing is promised")
	} else if err != nil {
		return status.FromContextError(err).Err()
	}
	defer answer.Free()
	if answer.Status != protocol.StatusSucceeded {
		return finalStatusError(answer)
	}
	// A client with a deadline hours away that reads nothing would otherwise hold the answer's memory as long.
	defer time.AfterFunc(f.limits.WriteTimeout, conn.closeSlow).Stop()
	return f.writeAnswer(search.Class, answer, stream)
}

// arrivalTime returns the time now less the time for which the call lay unread whose stream has the context ctx, if that is known.
// The deadline of ctx, by which a search's remaining time is reckoned, counts from when the gRPC library had read the call.
func arrivalTime(ctx context.Context) time.Time {
	now := time.Now()
	if call, ok := ctx.Value(callKey{}).(call); ok {
		return now.Add(-call.unreadTime)
	}
	return now
}

// answerSummary is the JSON object that ends an answer.
type answerSummary struct {
	// Complete says that the answered parts have enough weight for the search's class (protocol.FinalAnswer.Complete).
	Complete bool `json:"whole"`
	// Shards are the numbers of the shards whose values the answer holds, in the order of the values.
	Shards []int `json:"shards"`
}

// writeAnswer sends an answer: the schema once, then each part's record batches as they came, each with its shard's number as
// metadata, and at last the answerSummary. A client that does not read blocks nothing but this goroutine, which waits until the
// client's deadline or the frontend's WriteTimeout has passed.
func (f *Frontend) writeAnswer(class int, answer protocol.FinalAnswer, stream flight.FlightService_DoGetServer) error {
	summary := answerSummary{Complete: answer.Complete, Shards: []int{}}
	for i, value := range answer.Values {
		table := value.Table
		if table == nil {
			table = textTable(value.Value)
		}
		if i == 0 {
			f.mu.Lock()
			f.lastSchemas[class] = (&protocol.Table{Schema: table.Schema}).AppendStream(nil)
			f.mu.Unlock()
			if err := stream.Send(&flight.FlightData{DataHeader: table.Schema.Header, DataBody: table.Schema.Body}); err != nil {
				return err
			}
		}
		shardMetadata := []byte(`{"shard":` + strconv.Itoa(value.Shard) + `}`)
		for _, batch := range table.Batches {
			if err := stream.Send(&flight.FlightData{DataHeader: batch.Header, DataBody: batch.Body, AppMetadata: shardMetadata}); err != nil {
				return err
			}
		}
		summary.Shards = append(summary.Shards, value.Shard)
	}
	raw, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	return stream.Send(&flight.FlightData{AppMetadata: raw})
}

// ListActions lists the only action, "health".
func (f *Frontend) ListActions(_ *flight.Empty, stream flight.FlightService_ListActionsServer) error {
	return stream.Send(&flight.ActionType{Type: "health", Description: "hit if a search that came now could be decided on"})
}

// DoAction answers the action "health": with the result "hit" if a search that came now could be executed, else with the status
// UNAVAILABLE. Any other action is an invalid request.
func (f *Frontend) DoAction(action *flight.Action, stream flight.FlightService_DoActionServer) error {
	if action.Type != "health" {
		return f.badRequest(&protocol.InvalidFieldError{Field: "action.type", Expected: "health"})
	}
	if !f.ready() {
		return status.Error(codes.Unavailable, "there are no nodes to send to")
	}
	return stream.Send(&flight.Result{Body: []byte("hit")})
}
