package standin

import (
	"bytes"
	"fmt"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/flightnodes"
)

// hugeBodyBytes is the size in bytes of a record batch's body, for the fault "huge": larger than the brokers of the tests accept.
const hugeBodyBytes = 2 << 20

// flightService answers the calls to a stand-in node over Flight. It responds to attempts with the same Faults as a node that speaks
// frames.
type flightService struct {
	// UnimplementedFlightServiceServer refuses the calls that stand-in nodes do not support.
	flight.UnimplementedFlightServiceServer
	// node is the node that the service belongs to.
	node *ScriptedNode
}

// DoAction answers a health probe.
func (s *flightService) DoAction(_ *flight.Action, out flight.FlightService_DoActionServer) error {
	return out.Send(&flight.Result{Body: []byte("hit")})
}

// DoGet responds to an attempt, which is in ticket, with the element of Faults (such as "hit", a good reply) that the script
// chooses; for "silent" it waits until the call is cancelled.
func (s *flightService) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	line, text, _ := bytes.Cut(ticket.Ticket, []byte{'\n'})
	attempt, fault, err := s.node.script.receive(s.node.Name, string(line), string(text))
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	stored, ok := s.node.tables.Load(attempt.Shard)
	if !ok {
		stored = ShardTable(attempt.Shard, s.node.RowsPerPart)
		s.node.tables.Store(attempt.Shard, stored)
	}
	table := stored.(*protocol.Table)
	reply := flightReply{
		stream:  stream,
		attempt: attempt,
		schema:  &flight.FlightData{DataHeader: table.Schema.Header, DataBody: table.Schema.Body},
	}
	for _, m := range table.Batches {
		reply.batches = append(reply.batches, &flight.FlightData{DataHeader: m.Header, DataBody: m.Body})
	}
	return s.respond(reply, fault)
}

// flightReply is the reply to an attempt over Flight, of which a fault may send a part only.
type flightReply struct {
	// stream is the stream that the reply is sent on.
	stream flight.FlightService_DoGetServer
	// attempt is the attempt that is replied to.
	attempt ReceivedAttempt
	// schema is the message with the schema of the part's table.
	schema *flight.FlightData
	// batches are the messages with the record batches of the part's table.
	batches []*flight.FlightData
}

// final returns the last message of the reply: the attempt's id and end, which is its outcome, its score and the load report.
func (r flightReply) final(end string) *flight.FlightData {
	return &flight.FlightData{AppMetadata: []byte(r.attempt.PartID + " " + end)}
}

// hit returns the last message of a good reply, with the given load report.
func (r flightReply) hit(loadReport string) *flight.FlightData {
	return r.final(fmt.Sprintf("hit %d %s", scoreOfShardZero+r.attempt.Shard, loadReport))
}

// send sends messages; it ignores errors, as the call has ended then.
func (r flightReply) send(messages ...*flight.FlightData) {
	for _, message := range messages {
		r.stream.Send(message)
	}
}

// sendTable sends the schema and all record batches, and then the given final messages.
func (r flightReply) sendTable(finals ...*flight.FlightData) {
	r.send(append(append([]*flight.FlightData{r.schema}, r.batches...), finals...)...)
}

// sendHalf sends the schema and the first record batch, but no final message: a reply that stops halfway.
func (r flightReply) sendHalf() { r.send(r.schema, r.batches[0]) }

// respond sends as much of a reply as the given element of Faults calls for, and returns the error with which the call ends; nil
// ends it with the status OK. For a string that is not in Faults it does what it does for "silent".
func (s *flightService) respond(reply flightReply, fault string) error {
	hit := reply.hit("load=1")
	switch fault {
	case "hit":
		reply.sendTable(hit)
	case "hit twice":
		reply.sendTable(hit, hit)
	case "empty":
		none := ShardTable(reply.attempt.Shard, 0)
		reply.send(reply.schema, &flight.FlightData{DataHeader: none.Batches[0].Header, DataBody: none.Batches[0].Body}, hit)
	case "spoilt report":
		reply.sendTable(reply.hit("==,\x00\xff;load"))
	case "hit and bye":
		reply.sendTable(hit)
		s.node.replaceServer()
	case "hit and status":
		reply.sendTable(hit)
		return status.Error(codes.Internal, "status behind the final message")
	case "fault":
		reply.send(reply.final("fault 0 -"))
	case "fault after half":
		reply.sendHalf()
		return status.Error(codes.Internal, "halfway")
	case "overload":
		reply.stream.SetTrailer(metadata.Pairs(flightnodes.NeverRanTrailer, "1"))
		return status.Error(codes.ResourceExhausted, "queue full")
	case "reset":
		s.node.ResetConnections()
	case "reset after half":
		reply.sendHalf()
		s.node.ResetConnections()
	case "reset in a header":
		reply.stream.SendHeader(metadata.MD{})
		s.node.ResetConnections()
	case "spoilt kind":
		reply.send(reply.batches[0])
	case "spoilt header":
		reply.send(&flight.FlightData{DataHeader: []byte("noise that is no flatbuffer"), DataBody: []byte("x")})
	case "spoilt word":
		reply.send(reply.schema, reply.final("perhaps 1 -"))
	case "spoilt score":
		reply.send(reply.schema, reply.final("hit x -"))
	case "another's word":
		reply.send(reply.schema, &flight.FlightData{AppMetadata: []byte("x.0 hit 1 -")})
	case "huge":
		reply.send(reply.schema, &flight.FlightData{DataHeader: reply.batches[0].DataHeader, DataBody: make([]byte, hugeBodyBytes)})
	case "endless":
		for reply.send(reply.schema); reply.stream.Context().Err() == nil; {
			reply.send(reply.batches...)
		}
	case "wordless":
		reply.sendHalf()
	case "stalled":
		reply.sendHalf()
		s.waitForCancel(reply.stream)
	default:
		s.waitForCancel(reply.stream)
	}
	return nil
}

// waitForCancel waits until the broker cancels a call, and records that. It takes any end of the stream for a cancellation, also that
// of its connection.
func (s *flightService) waitForCancel(stream flight.FlightService_DoGetServer) {
	<-stream.Context().Done()
	s.node.script.countCancel()
}
