package flightfrontend

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"brackenfront/internal/protocol"
)

// command is the JSON object in a descriptor's command or in a ticket. It holds the values that the HTTP frontend takes from
// a request's path, headers and body.
type command struct {
	// ClassName is the name of the search's class; over HTTP, the last element of the path.
	ClassName string `json:"type"`
	// ID is the id that the client gives the search; over HTTP, the header X-Trace-Id.
	ID string `json:"id"`
	// Dealer is the name of the dealer, or empty; over HTTP, the header X-Customer.
	Dealer string `json:"dealer"`
	// Object is a string of the client's choice, which has no effect; over HTTP, the header X-Object.
	Object string `json:"object"`
	// Again is a member that clients may send, true or false; the frontend ignores it.
	Again bool `json:"again"`
	// Search is the JSON object with the text and the parts of the search; over HTTP, the body.
	Search jsontext.Value `json:"search"`
}

// parseCommand reads a search from a command. Each member of the JSON object must occur once, and its name must be spelt exactly
// as in the struct tags of command. The search's time is the deadline of the call (grpc-timeout), which ctx must have.
func (f *Frontend) parseCommand(ctx context.Context, raw []byte) (*protocol.Search, error) {
	if conn, ok := ctx.Value(connKey{}).(*clientConn); ok {
		defer conn.turn.ChargeSince(time.Now())
	}
	var cmd command
	if err := json.Unmarshal(raw, &cmd, json.RejectUnknownMembers(true)); err != nil {
		return nil, &protocol.InvalidFieldError{Field: "ticket", Expected: "a JSON object with type, id, dealer, object, again and search (" + err.Error() + ")"}
	}
	// A slash would begin a further element of the path.
	if strings.Contains(cmd.ClassName, "/") {
		return nil, &protocol.InvalidFieldError{Field: "type", Expected: "a query type that is served here"}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, &protocol.InvalidFieldError{Field: "grpc-timeout", Expected: "the time that the client waits"}
	}
	header := http.Header{}
	header.Set("X-Trace-Id", cmd.ID)
	header.Set("X-Customer", cmd.Dealer)
	header.Set("X-Object", cmd.Object)
	// The remaining time in whole microseconds, at least one.
	header.Set("X-Expires-In", strconv.FormatFloat(max(time.Until(deadline).Seconds(), 1e-6)*1e6, 'f', 0, 64)+"u")
	return f.parse("/"+cmd.ClassName, header, cmd.Search)
}

// parseDescriptor reads a search from the command that a descriptor holds; a descriptor of another type is invalid. If the call has no
// deadline, the search gets one after MaxSearchTime: it is executed only by a later DoGet, which has a deadline of its own.
func (f *Frontend) parseDescriptor(ctx context.Context, descriptor *flight.FlightDescriptor) (*protocol.Search, error) {
	if descriptor.Type != flight.FlightDescriptor_CMD {
		return nil, &protocol.InvalidFieldError{Field: "descriptor.type", Expected: "CMD"}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.limits.MaxSearchTime)
		defer cancel()
	}
	return f.parseCommand(ctx, descriptor.Cmd)
}
