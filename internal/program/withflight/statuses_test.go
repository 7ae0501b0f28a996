package withflight

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"

	"brackenfront/internal/rig"
	"brackenfront/internal/standin"
)

// TestStatusOfEachEnd checks that each way in which a Flight call ends without an answer has its own status, that the status for
// invalid input names the invalid field, and that the calls of the Flight service other than DoGet work.
func TestStatusOfEachEnd(t *testing.T) {
	s := startSystem(t, rig.AllSpeakFlight)
	validTicket := string(s.NewSearch("all", 0).Ticket())
	s.checkInvalidTickets(validTicket)
	if err := s.get(validTicket, 0); err == nil || !strings.Contains(err.Error(), "grpc-timeout: expected") {
		t.Errorf("without a timeout: error %v", err)
	}
	s.checkTicketInFlight(validTicket)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.checkInfoAndSchema(ctx, validTicket)
	s.checkActions(ctx)
}

// get asks for a ticket by DoGet, and returns the error that ends the call: io.EOF once it has succeeded. A timeout of 0 means none.
func (s *system) get(ticket string, timeout time.Duration) error {
	ctx := context.Background()
	cancel := context.CancelFunc(func() {})
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
	}
	defer cancel()
	stream, err := s.FlightClient.DoGet(ctx, &flight.Ticket{Ticket: []byte(ticket)})
	for err == nil {
		_, err = stream.Recv()
	}
	return err
}

// checkInvalidTickets checks the statuses of DoGet for tickets, the texts by which it is asked for a search, that are malformed
// or have an invalid field. It makes them from validTicket, the ticket of the search s1 for shard 0.
func (s *system) checkInvalidTickets(validTicket string) {
	for _, c := range []struct{ ticket, want string }{
		{"garbage", "InvalidArgument desc = ticket: expected a JSON object"},
		{strings.Replace(validTicket, `"type":"all"`, `"type":"none"`, 1), "InvalidArgument desc = path: expected"},
		{strings.Replace(validTicket, `"id":"s1"`, `"id":"a b"`, 1), "InvalidArgument desc = X-Trace-Id: expected"},
		{strings.Replace(validTicket, `"acme"`, `"nobody"`, 1), "InvalidArgument desc = X-Customer: expected"},
		{strings.Replace(validTicket, `"bucket":0`, `"bucket":9`, 1), "InvalidArgument desc = buckets[0].bucket: expected a shard from 0 to 2"},
		{strings.Replace(validTicket, `"part":1`, `"part":0.5`, 1), "InvalidArgument desc = buckets: expected weights that add up to 1"},
		{strings.Replace(validTicket, `"id"`, `"odd":1,"id"`, 1), `InvalidArgument desc = ticket: expected`},
		{validTicket + validTicket, `InvalidArgument desc = ticket: expected`},
		{validTicket + "]", `InvalidArgument desc = ticket: expected`},
		{validTicket + "\x00", `InvalidArgument desc = ticket: expected`},
		{strings.Repeat(" ", 70_000) + validTicket, "ResourceExhausted"},
	} {
		if err := s.get(c.ticket, testTimeout); err == nil || !strings.Contains(err.Error(), c.want) {
			s.Errorf("error %v, expected %s", err, c.want)
		}
	}
}

// checkTicketInFlight checks that a ticket is refused while a search that it has begun is in flight. It returns once
// the search and its attempts have ended, so that the ticket may begin another one.
func (s *system) checkTicketInFlight(validTicket string) {
	s.Script.SetFaultFor(func(standin.ReceivedAttempt) string { return "silent" })
	ended := make(chan error)
	go func() { ended <- s.get(validTicket, 3*time.Second) }()
	s.Script.WaitUntil(testTimeout, func(got []standin.ReceivedAttempt, _ int) bool { return len(got) == 1 })
	if err := s.get(validTicket, testTimeout); err == nil || !strings.Contains(err.Error(), "AlreadyExists") {
		s.Errorf("a ticket whose search is in flight: error %v", err)
	}
	if err := <-ended; err == nil {
		s.Error("a search with a silent node was answered")
	}
	// The client's deadline may pass a moment before the broker has ended the search, and its id stays taken until the attempt has ended too.
	waitFor(s, "the end of the search and its attempt", func() bool {
		counts := s.Router.Counts()
		return counts.InFlight == 0 && counts.AttemptsInFlight == 0
	})
}

// checkInfoAndSchema checks GetFlightInfo, whose ticket DoGet must answer, and GetSchema, which works only after an answer. No
// search may have been answered before.
func (s *system) checkInfoAndSchema(ctx context.Context, validTicket string) {
	descriptor := &flight.FlightDescriptor{Type: flight.FlightDescriptor_CMD, Cmd: []byte(validTicket)}
	if _, err := s.FlightClient.GetSchema(ctx, descriptor); err == nil || !strings.Contains(err.Error(), "FailedPrecondition") {
		s.Errorf("GetSchema before any answer: error %v", err)
	}
	s.Script.SetFaultFor(func(standin.ReceivedAttempt) string { return "hit" })
	info, err := s.FlightClient.GetFlightInfo(ctx, descriptor)
	if err != nil || len(info.Endpoint) != 1 {
		s.Fatalf("GetFlightInfo: %v, error %v", info, err)
	}
	if err := s.get(string(info.Endpoint[0].Ticket.Ticket), testTimeout); err.Error() != "EOF" {
		s.Errorf("DoGet with the ticket of GetFlightInfo: error %v", err)
	}
	if schema, err := s.FlightClient.GetSchema(ctx, descriptor); err != nil || len(decodeLastColumn(s, schema.Schema)) != 0 {
		s.Errorf("GetSchema after an answer: error %v", err)
	}
}

// checkActions checks that ListActions lists the action "health", and that this action reports a good state.
func (s *system) checkActions(ctx context.Context) {
	actions, err := s.FlightClient.ListActions(ctx, &flight.Empty{})
	if err != nil {
		s.Fatal(err)
	}
	if action, err := actions.Recv(); err != nil || action.Type != "health" {
		s.Errorf("ListActions: %v, error %v, expected health", action, err)
	}
	health, err := s.FlightClient.DoAction(ctx, &flight.Action{Type: "health"})
	if err != nil {
		s.Fatal(err)
	}
	if result, err := health.Recv(); err != nil || string(result.Body) != "hit" {
		s.Errorf("the action health: %v, error %v, expected hit", result, err)
	}
}
