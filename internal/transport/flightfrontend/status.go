package flightfrontend

import (
	"errors"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"brackenfront/internal/protocol"
)

// badRequest counts an invalid request, of which err says what is wrong, and returns the gRPC status INVALID_ARGUMENT for it.
func (f *Frontend) badRequest(err error) error {
	f.mu.Lock()
	f.counts.BadRequests++
	f.mu.Unlock()
	return badRequestStatus(err)
}

// badRequestStatus is the gRPC status INVALID_ARGUMENT with the text of err. If err is a protocol.InvalidFieldError, the status's
// details name the invalid field.
func badRequestStatus(err error) error {
	grpcStatus := status.New(codes.InvalidArgument, err.Error())
	var invalid *protocol.InvalidFieldError
	if errors.As(err, &invalid) {
		if withField, err := grpcStatus.WithDetails(&errdetails.BadRequest{FieldViolations: []*errdetails.BadRequest_FieldViolation{
			{Field: invalid.Field, Description: "expected " + invalid.Expected}}}); err == nil {
			grpcStatus = withField
		}
	}
	return grpcStatus.Err()
}

// finalStatusError returns the gRPC status, as an error, for a final answer that is no success, by answer.Status; docs/flight.md
// has the table. For a rejected search, the details of the gRPC status say after how long to send it again, if
// answer.RetryAfterSeconds does.
func finalStatusError(answer protocol.FinalAnswer) error {
	switch answer.Status {
	case protocol.StatusRejected, protocol.StatusOverloaded:
		code := codes.Unavailable
		if answer.Status == protocol.StatusOverloaded {
			code = codes.ResourceExhausted
		}
		grpcStatus := status.New(code, "shed: asking again is harmless")
		if answer.RetryAfterSeconds > 0 {
			if withDelay, err := grpcStatus.WithDetails(&errdetails.RetryInfo{
				RetryDelay: durationpb.New(time.Duration(answer.RetryAfterSeconds * float64(time.Second)))}); err == nil {
				grpcStatus = withDelay
			}
		}
		return grpcStatus.Err()
	case protocol.StatusDuplicate:
		return status.Error(codes.AlreadyExists, "id: expected one of no query that is in hand or may have run")
	case protocol.StatusDeadlineExceeded:
		return status.Error(codes.DeadlineExceeded, "the client's time is up")
	case protocol.StatusStopped:
		return status.Error(codes.Unavailable, "the program ends")
	}
	return status.Error(codes.Internal, "errored: nothing is promised")
}
