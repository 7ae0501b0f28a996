package flightnodes

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
)

// invalidStreamError is the error for a stream on which the node sent messages that are invalid, or larger than Limits.MaxPartBytes
// or the free AnswerMemory allows.
type invalidStreamError struct {
	// problem says what is wrong, for the log.
	problem string
}

// Error returns what is wrong with the stream's messages, without the name of the node or the stream.
func (e *invalidStreamError) Error() string { return e.problem }

// fetchPart sends an attempt's request on a new stream of its connection and reads the answer. result has the outcome, and the
// table if the node answered with one. streamStatus is the key under which Counts.StreamsByStatus counts the stream: the name of
// the gRPC status ("OK" for a complete answer), "moot" (cancelled or too late before the request was sent), "unreached" (the
// connection was closed), "spoilt" (invalid messages), "wordless" (no result message) or "tableless" (a success without a table).
// rest is the stream, from which the caller reads what follows the result message; it is nil if no request was sent.
func (p *ConnPool) fetchPart(ctx context.Context, active *activeAttempt) (result protocol.AttemptResult, streamStatus string, rest grpc.ClientStream) {
	result = protocol.AttemptResult{ID: active.ID, Outcome: balance.Unreachable}
	p.mu.Lock()
	conn := active.conn
	if active.cancelled || !active.Permission.Acquire() {
		p.mu.Unlock()
		result.Outcome = balance.NotSent
		return result, "moot", nil
	}
	if active.inWrite = true; conn.closed {
		active.requestSettled()
		p.mu.Unlock()
		return result, "unreached", nil
	}
	p.mu.Unlock()
	var trailer metadata.MD
	stream, err := conn.grpcConn.NewStream(metadata.AppendToOutgoingContext(ctx, tagHeader, active.tag), &grpc.StreamDesc{ServerStreams: true},
		"/arrow.flight.protocol.FlightService/DoGet", grpc.Trailer(&trailer))
	// On an error not even the headers were passed to the library.
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		active.requestSettled()
		active.markResetSent()
		result.Outcome = StreamOutcome(status.Code(err), false, false, false)
		return result, status.Code(err).String(), nil
	}
	p.mu.Lock()
	conn.streamOpened()
	p.mu.Unlock()
	now := time.Now()
	// The stream may have been opened late; as its ticket has not been sent, nothing runs.
	if active.Stale(now, p.limits.RetryMaxQueueTime) || active.AbandonedByClient(now) {
		p.mu.Lock()
		defer p.mu.Unlock()
		active.cancelStream()
		active.requestSettled()
		result.Outcome = balance.NotSent
		return result, "moot", nil
	}
	ticket := protocol.AppendPartRequest(nil, protocol.PartRequest{
		ID:             active.ID,
		Shard:          active.Shard,
		ExtraFields:    active.ExtraFields,
		SearchText:     active.SearchText,
		TimeoutSeconds: active.Deadline.Sub(now).Seconds(),
	})
	p.mu.Lock()
	active.sendDeadline = active.SendDeadline(now, p.limits.RetryMaxQueueTime)
	cancelTimer := time.AfterFunc(active.sendDeadline.Sub(now), active.cancelIfQueued)
	p.mu.Unlock()
	defer cancelTimer.Stop()
	table := &protocol.Table{}
	reservedBytes := 0
	begun := false
	table.OnFree = func() { p.limits.AnswerMemory.Release(reservedBytes) }
	var last *protocol.AttemptResult
	// After an EOF from SendMsg only RecvMsg returns the reason.
	if err = stream.SendMsg(&flight.Ticket{Ticket: ticket}); err == nil || err == io.EOF {
		stream.CloseSend()
		begun, last, err = p.receiveAnswer(stream, active, table, &reservedBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Where the node or the connection has ended the stream, nothing of the request leaves any more. Where this side has, as
	// the attempt was cancelled or its time ran out, the request may still be in the library's queue: runAttempt
	// waits for the stream's reset.
	if !active.cancelled && ctx.Err() == nil {
		active.requestSettled()
	}
	var invalid *invalidStreamError
	switch {
	case errors.As(err, &invalid):
		active.cancelStream()
		result.Outcome = balance.Failed
		streamStatus = "spoilt"
		p.log.WithField("peer", conn.address).WithField("what", invalid.problem).Warn("a leaf's stream could not be used")
	case err != nil:
		streamStatus = status.Code(err).String()
		result.Outcome = StreamOutcome(status.Code(err), len(trailer.Get(NeverRanTrailer)) > 0, active.requestLeft, begun)
	case last == nil:
		result.Outcome = balance.Failed
		streamStatus = "wordless"
	default:
		result = *last
		streamStatus = "OK"
		result.ID = active.ID
		if result.Outcome == balance.OK && table.Schema.Header == nil {
			result.Outcome = balance.Failed
			streamStatus = "tableless"
		}
	}
	if result.Outcome == balance.OK {
		result.Value = nil
		result.Table = table
	} else {
		table.Free()
	}
	return result, streamStatus, stream
}

// receiveAnswer reads a stream up to its result message, or its end, and appends the Arrow messages to table. It reserves their
// size in bytes in AnswerMemory and adds it to reservedBytes. begun says whether any message came; last is the result message, or
// nil where the stream ended without one. An invalidStreamError says that the node's messages cannot be used; any other
// error is the gRPC status with which the stream ended.
func (p *ConnPool) receiveAnswer(stream grpc.ClientStream, active *activeAttempt, table *protocol.Table, reservedBytes *int) (begun bool,
	last *protocol.AttemptResult, err error) {
	for {
		data := new(flight.FlightData)
		err := stream.RecvMsg(data)
		if err == io.EOF {
			return begun, last, nil
		} else if err != nil {
			return begun, last, err
		}
		begun = true
		if len(data.DataHeader) == 0 {
			if len(data.DataBody) > 0 {
				return begun, nil, &invalidStreamError{"a message with a body and no header"}
			}
			result, err := protocol.ParseReply(append(bytes.TrimSuffix(data.AppMetadata, []byte("\n")), '\n'))
			if err != nil {
				return begun, nil, &invalidStreamError{err.Error()}
			}
			if !strings.EqualFold(result.ID, active.ID) {
				return begun, nil, &invalidStreamError{"a result message with the id of another part"}
			}
			return begun, &result, nil
		}
		kind, rows, err := checkMessage(data.DataHeader, data.DataBody)
		if err == nil && (kind == kindSchema) != (table.Schema.Header == nil) {
			err = errors.New("a second schema, or a batch before the schema")
		}
		size := len(data.DataHeader) + len(data.DataBody)
		p.mu.Lock()
		switch p.counts.BytesReceived += int64(size); {
		case err != nil:
			p.counts.InvalidMessages++
		case *reservedBytes+size > p.limits.MaxPartBytes:
			p.counts.OversizedParts++
			err = errors.New("more bytes than one part may have")
		case !p.limits.AnswerMemory.Reserve(size):
			p.counts.PartsWithoutMemory++
			err = errors.New("no memory left of what all unfinished parts may use together")
		}
		p.mu.Unlock()
		if err != nil {
			return begun, nil, &invalidStreamError{err.Error()}
		}
		*reservedBytes += size
		message := protocol.ArrowMessage{Header: data.DataHeader, Body: data.DataBody}
		if kind == kindSchema {
			table.Schema = message
		} else {
			table.Batches = append(table.Batches, message)
			table.Rows += rows
		}
	}
}
