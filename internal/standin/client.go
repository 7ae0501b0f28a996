package standin

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"brackenfront/internal/protocol"
)

// maxFlightMessageBytes is the largest message, in bytes, that a stand-in client accepts over Flight. A larger one ends the call
// with the status ResourceExhausted, and so the search with the end "shed".
const maxFlightMessageBytes = 64 << 20

// Outcome is the outcome of a search as its client saw it, described alike for HTTP and Flight.
type Outcome struct {
	// End says how the search ended: answered, shed (rejected), errored (failed), twice (a duplicate id), bad (a bad request),
	// late (past its deadline) or gone (the client has cancelled it). It is empty for a status that corresponds to none of
	// these.
	End string
	// Complete says that the broker marked the answer as complete: the shards with values have enough weight for the search's
	// class, which need not be all shards. It is false for every End but "answered".
	Complete bool
	// Shards are the shards that the answer has a value of, in its order.
	Shards []int
	// Values are the values of an answer over HTTP, in the order of Shards: a node's text, or its Arrow stream in base64, which
	// DecodeArrowStream decodes.
	Values []string
	// Tables are the values of an answer over Flight, in the order of Shards.
	Tables []*protocol.Table
}

// String returns the end, the completeness and the shards, which must be equal for one search over different frontends.
func (o Outcome) String() string { return fmt.Sprintf("%s whole=%v %v", o.End, o.Complete, o.Shards) }

// Search is a search as a stand-in client sends it.
type Search struct {
	// Class is the search class.
	Class string
	// ID is the client's id of the search.
	ID string
	// Dealer is the dealer whose quota the search counts against.
	Dealer string
	// Shards are the shards to be searched.
	Shards []int
	// TimeLeft is how long the client tells the broker that it waits for the answer. Over Flight the client's call ends with it,
	// over HTTP only the caller's context ends the wait.
	TimeLeft time.Duration
}

// body returns the JSON body of the search, in which all shards have the same weight.
func (s Search) body() string {
	var buckets []string
	for _, shard := range s.Shards {
		buckets = append(buckets, fmt.Sprintf(`{"bucket":%d,"part":%g}`, shard, 1/float64(len(s.Shards))))
	}
	return `{"buckets":[` + strings.Join(buckets, ",") + `],"body":"q"}`
}

// SendOverHTTP sends the search to the broker at an address over HTTP, and waits for its outcome. A context that has ended makes
// the outcome "gone". It returns an error for any other failure to get a response, and for an answer that is not well formed.
func (s Search) SendOverHTTP(ctx context.Context, client *http.Client, addr string) (outcome Outcome, err error) {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/"+s.Class, strings.NewReader(s.body()))
	if err != nil {
		return outcome, err
	}
	req.Header.Set("X-Trace-Id", s.ID)
	req.Header.Set("X-Customer", s.Dealer)
	req.Header.Set("X-Expires-In", fmt.Sprintf("%dm", s.TimeLeft.Milliseconds()))
	res, err := client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return Outcome{End: "gone"}, nil
		}
		return outcome, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome, err
	}
	outcome.End = map[int]string{200: "answered", 503: "shed", 500: "errored", 409: "twice", 400: "bad", 504: "late"}[res.StatusCode]
	if outcome.End != "answered" {
		return outcome, nil
	}
	var answer struct {
		Finished bool
		Found    []struct {
			Bucket int
			Item   string
		}
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return outcome, err
	}
	outcome.Complete = answer.Finished
	for _, found := range answer.Found {
		outcome.Shards = append(outcome.Shards, found.Bucket)
		outcome.Values = append(outcome.Values, found.Item)
	}
	return outcome, nil
}

// DecodeArrowStream decodes a value of an HTTP answer that is an Arrow stream in base64.
func DecodeArrowStream(value string) ([]byte, error) { return base64.StdEncoding.DecodeString(value) }

// Ticket returns the search as a Flight ticket, a JSON object. TimeLeft is not in it: the deadline of the call states it.
func (s Search) Ticket() []byte {
	raw, _ := json.Marshal(map[string]any{"type": s.Class, "id": s.ID, "dealer": s.Dealer, "search": json.RawMessage(s.body())})
	return raw
}

// NewFlightClient makes a Flight client for a host and port, which connects at its first call. The function that it returns closes
// the client.
func NewFlightClient(addr string) (flight.FlightServiceClient, func() error, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxFlightMessageBytes)))
	if err != nil {
		return nil, nil, err
	}
	return flight.NewFlightServiceClient(conn), conn.Close, nil
}

// EndOfFlightError returns the value of Outcome.End that corresponds to the gRPC status of the error of a call over Flight, or "" if
// none does.
func EndOfFlightError(err error) string {
	return map[codes.Code]string{codes.Unavailable: "shed", codes.ResourceExhausted: "shed", codes.Internal: "errored",
		codes.AlreadyExists: "twice", codes.InvalidArgument: "bad", codes.DeadlineExceeded: "late",
		codes.Canceled: "gone"}[status.Code(err)]
}

// SendOverFlight sends the search to a broker over Flight, and waits for its outcome. It returns an error for a stream that is not
// well formed, or that ends with a status that has no value of Outcome.End. If the call fails before there is a stream, End is
// empty for such a status, and there is no error.
func (s Search) SendOverFlight(ctx context.Context, client flight.FlightServiceClient) (outcome Outcome, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.TimeLeft)
	defer cancel()
	stream, err := client.DoGet(ctx, &flight.Ticket{Ticket: s.Ticket()})
	if err != nil {
		return Outcome{End: EndOfFlightError(err)}, nil
	}
	var schema protocol.ArrowMessage
	// trailer is the content of the stream's final message; nil until that has arrived.
	var trailer *struct {
		Whole  bool
		Shards []int
	}
	for {
		message, err := stream.Recv()
		if err == io.EOF {
			break
		} else if err != nil {
			if outcome.End = EndOfFlightError(err); outcome.End == "" {
				return outcome, err
			}
			return Outcome{End: outcome.End}, nil
		}
		switch {
		case trailer != nil:
			return outcome, errors.New("a message follows the final message")
		case len(message.DataHeader) == 0:
			if err := json.Unmarshal(message.AppMetadata, &trailer); err != nil {
				return outcome, err
			}
		case schema.Header == nil:
			schema = protocol.ArrowMessage{Header: message.DataHeader, Body: message.DataBody}
		default:
			var batch struct{ Shard int }
			if err := json.Unmarshal(message.AppMetadata, &batch); err != nil {
				return outcome, err
			}
			if k := len(outcome.Shards); k == 0 || outcome.Shards[k-1] != batch.Shard {
				outcome.Shards = append(outcome.Shards, batch.Shard)
				outcome.Tables = append(outcome.Tables, &protocol.Table{Schema: schema})
			}
			table := outcome.Tables[len(outcome.Tables)-1]
			table.Batches = append(table.Batches, protocol.ArrowMessage{Header: message.DataHeader, Body: message.DataBody})
		}
	}
	if trailer == nil {
		return outcome, errors.New("the stream ended without its final message")
	}
	if outcome.End, outcome.Complete = "answered", trailer.Whole; fmt.Sprint(outcome.Shards) != fmt.Sprint(trailer.Shards) {
		return outcome, fmt.Errorf("the final message names the shards %v, the stream had %v", trailer.Shards, outcome.Shards)
	}
	return outcome, nil
}
