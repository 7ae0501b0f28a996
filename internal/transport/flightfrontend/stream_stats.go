package flightfrontend

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

// streamStats implements stats.Handler of gRPC: it counts how streams end, and puts the connection into the context of its
// streams.
type streamStats struct {
	// frontend holds the counts and the connections.
	frontend *Frontend
}

// connKey is the key under which a stream's context has its *clientConn.
type connKey struct{}

// call is what is known of a call from the bytes of its connection.
type call struct {
	// stream is the number of the call's stream.
	stream uint32
	// unreadTime is for how long the call's headers had lain at this machine when the gRPC library read them, from when on it counts the
	// client's deadline. It is less than that if bytes that came behind them were read with them, and never more.
	unreadTime time.Duration
}

// callKey is the key under which a stream's context has its call.
type callKey struct{}

// tagStream puts the call of a new stream into the stream's context, and begins the account of the call's memory, which ends with that
// context. It rejects the stream, with a status that promises nothing, where there is no memory for it. The gRPC library calls it on
// the goroutine that reads the connection, after it has read the stream's headers and before it reads anything else, so that theirs is
// the frame that was delivered last.
func tagStream(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if conn, ok := ctx.Value(connKey{}).(*clientConn); ok && conn.reader != nil {
		// The library may wait, behind this, for an earlier call of the connection to end.
		defer conn.turn.End()
		newCall := conn.reader.deliveredCall()
		if !conn.memory.open(newCall.stream) {
			return ctx, status.Error(codes.Internal, "no memory for the call: nothing is promised")
		}
		context.AfterFunc(ctx, func() { conn.memory.end(newCall.stream) })
		ctx = context.WithValue(ctx, callKey{}, newCall)
	}
	return ctx, nil
}

// TagConn is called by gRPC for each new connection, and returns the context for all its streams, which holds its *clientConn
// under connKey.
func (s streamStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	s.frontend.mu.Lock()
	defer s.frontend.mu.Unlock()
	if conn := s.frontend.connsByAddr[info.RemoteAddr.String()]; conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// TagRPC implements stats.Handler; it returns the stream's context unchanged.
func (streamStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler; it ignores the events of connections, as clientConn counts these itself.
func (streamStats) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler: it counts the end of a stream by its gRPC status, and ignores all other events.
func (s streamStats) HandleRPC(_ context.Context, event stats.RPCStats) {
	if end, ok := event.(*stats.End); ok {
		s.frontend.mu.Lock()
		s.frontend.counts.Streams++
		s.frontend.counts.StreamsByStatus[status.Code(end.Error).String()]++
		s.frontend.mu.Unlock()
	}
}
