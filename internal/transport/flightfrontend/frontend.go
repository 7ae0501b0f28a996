// Package flightfrontend serves Arrow Flight to clients: a descriptor or a ticket holds a search, and DoGet returns its one final
// answer. The search itself is executed by a given SearchFunc.
//
// Terms of this package:
//   - A stream is one gRPC call on a client's connection, such as a DoGet.
//   - A command is the JSON text of a search, in a descriptor or in a ticket.
//   - The class of a search is its kind, one of those that the deployment configures. Classes are numbered from 0.
//   - The final status is the gRPC status with which a stream ends.
//   - A drain is the orderly end of the service (Frontend.Drain). It is cut short if its context ends before all streams have
//     ended.
//   - A close code is a word that says why a connection ended, for the log and for Counts.ClosedByCode.
package flightfrontend

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/sockets"
	"brackenfront/internal/transport/turns"
)

const (
	// maxHeaderBytes is the largest size, in bytes, of the headers of one stream.
	maxHeaderBytes = 8 << 10
	// maxCommandOverheadBytes is by how many bytes a client's gRPC message may exceed protocol.MaxBodyBytes, the largest size of a
	// search's JSON object; it is for the other members of the command.
	maxCommandOverheadBytes = 4096
	// minPingInterval is the shortest time between two keepalive pings of a client; one that pings more often loses its
	// connection.
	minPingInterval = time.Second
	// finalStatusTimeout is how long streams in progress have to get their final status where a drain is cut short, or the
	// connection of a slow client ends.
	finalStatusTimeout = time.Second
)

// Limits bound how many connections and streams clients may have, and how long these may take.
type Limits struct {
	// MaxSearchTime is the longest time that a search may take. It is the deadline of a call that only reads a search
	// (GetFlightInfo, GetSchema) and states none, and it also bounds how long the handshake of a new connection and the client's
	// reply to a keepalive ping may take.
	MaxSearchTime time.Duration
	// WriteTimeout is the longest time that writing an answer may take, even if the client's deadline is later.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which a connection without streams is closed, and the time without any byte from the client
	// after which a connection with streams gets a keepalive ping.
	IdleTimeout time.Duration
	// MaxStreamsPerConn is how many streams one connection may have at once.
	MaxStreamsPerConn int
	// MaxConns is how many connections may be open at once.
	MaxConns int
	// MaxCallMemory is how many bytes of memory the calls of all clients together may take beyond what each connection has to itself
	// (freeCallMemory). A call beyond it is refused, and a connection whose calls need more for their data ends.
	MaxCallMemory int64
	// Turns makes the goroutines that read the connections take turns at the processor; nil for no such turns.
	Turns *turns.Scheduler
}

// SearchFunc executes a search that arrived at the given time and returns its final answer, which the caller frees once it has been
// written. It returns an error only where ctx was cancelled before there was an answer, or clientDeparted has returned true.
// clientDeparted reports, without waiting, whether the client has left, also where ctx is not cancelled yet.
type SearchFunc func(ctx context.Context, search *protocol.Search, arrivedAt time.Time, clientDeparted func() bool) (protocol.FinalAnswer, error)

// Frontend is the Flight server for clients.
type Frontend struct {
	// UnimplementedFlightServiceServer rejects the calls of Flight that the frontend does not serve.
	flight.UnimplementedFlightServiceServer
	// limits are the limits given to Listen.
	limits Limits
	// parse reads a search from the path, header and body of an HTTP request, which parseCommand makes from a command; it fails
	// where one of them is invalid.
	parse func(path string, h http.Header, body []byte) (*protocol.Search, error)
	// search executes a search.
	search SearchFunc
	// ready reports whether a search that came now could be executed.
	ready func() bool
	// log gets a line for each connection that ends.
	log *logrus.Logger
	// netListener accepts the connections of clients.
	netListener net.Listener
	// server is the gRPC server that serves the connections of clients.
	server *grpc.Server
	// streamsCtx is cancelled when a drain is cut short: the searches of all streams in progress stop, and each stream gets its
	// final status at once.
	streamsCtx context.Context
	// endStreams cancels streamsCtx.
	endStreams context.CancelFunc

	// callMemory is the budget of Limits.MaxCallMemory.
	callMemory parts.MemoryBudget

	// mu guards the fields below.
	mu sync.Mutex
	// openConns is how many connections are open.
	openConns int
	// connsByAddr has the open connections by the client's address, as host:port.
	connsByAddr map[string]*clientConn
	// lastSchemas has, by the number of the search class, the schema of the last answer to a search of that class, as an
	// encapsulated Arrow message.
	lastSchemas map[int][]byte
	// counts are the totals that Counts returns.
	counts Counts
}

// Counts are totals of connections and streams since the frontend was made.
type Counts struct {
	// Accepted is how many connections were accepted within the limit.
	Accepted int
	// Closed is how many of the accepted connections have ended.
	Closed int
	// RejectedConns is how many connections were closed as soon as they were accepted, because MaxConns were open.
	RejectedConns int
	// Streams is how many streams have ended.
	Streams int
	// BadRequests is how many calls were rejected because their descriptor, ticket or action was invalid.
	BadRequests int
	// StreamsByStatus is how many streams ended with each gRPC status, by the name of the status, such as "OK" or "Unavailable".
	StreamsByStatus map[string]int
	// ClosedByCode is how many connections ended with each close code, a word for the reason, such as codeSlow.
	ClosedByCode map[string]int
}

// Listen opens addr (host:port) and returns the frontend that New makes on it. It fails if the address cannot be opened.
func Listen(addr string, limits Limits, parse func(string, http.Header, []byte) (*protocol.Search, error), search SearchFunc,
	ready func() bool, log *logrus.Logger) (*Frontend, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(ln, limits, parse, search, ready, log), nil
}

// New returns a frontend that accepts connections from ln, and serves nothing before Serve. parse reads a search from the path,
// header and body of an HTTP request; the frontend makes these from a command, the JSON text of a search in a ticket or descriptor.
// search executes a search; ready reports whether a search that came now could be executed.
func New(ln net.Listener, limits Limits, parse func(string, http.Header, []byte) (*protocol.Search, error), search SearchFunc,
	ready func() bool, log *logrus.Logger) *Frontend {
	frontend := &Frontend{limits: limits, parse: parse, search: search, ready: ready, log: log, netListener: ln, lastSchemas: map[int][]byte{},
		connsByAddr: map[string]*clientConn{}}
	frontend.streamsCtx, frontend.endStreams = context.WithCancel(context.Background())
	frontend.callMemory.MaxBytes = limits.MaxCallMemory
	frontend.counts.StreamsByStatus = map[string]int{}
	frontend.counts.ClosedByCode = map[string]int{}
	frontend.server = grpc.NewServer(
		// These limits guard against floods of streams, headers, messages and pings, and of connections that stay silent. The
		// library itself bounds resets of streams, as it serves no more than MaxStreamsPerConn at once.
		grpc.MaxConcurrentStreams(uint32(limits.MaxStreamsPerConn)),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxRecvMsgSize(protocol.MaxBodyBytes+maxCommandOverheadBytes),
		grpc.ConnectionTimeout(limits.MaxSearchTime),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: limits.IdleTimeout, Time: limits.IdleTimeout, Timeout: limits.MaxSearchTime}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.StatsHandler(streamStats{frontend}),
		// socketReader has the read buffer.
		grpc.ReadBufferSize(0),
		grpc.InTapHandle(tagStream),
		grpc.WaitForHandlers(true))
	flight.RegisterFlightServiceServer(frontend.server, frontend)
	return frontend
}

// Addr returns the address that the frontend listens on, as host:port.
func (f *Frontend) Addr() string { return f.netListener.Addr().String() }

// Serve accepts and serves connections until Drain ends that, and then returns nil. Any other end is returned as an error.
func (f *Frontend) Serve() error {
	if err := f.server.Serve(&listener{turns.NewListener(f.netListener, f.limits.Turns), f}); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// Drain ends the service and returns once it has ended. New connections are accepted for the time acceptFor; then clients get a
// GOAWAY, so that they open no further streams, and the streams in progress may go on until ctx ends. Streams that have not ended
// by then get a status that leaves open whether their search ran: if the library ended them, clients would see the status that
// means that the search was rejected.
func (f *Frontend) Drain(ctx context.Context, acceptFor time.Duration) {
	select {
	case <-time.After(acceptFor):
	case <-ctx.Done():
	}
	// GracefulStop closes the listener. After a pause of this process the time may be over before the connections that came in it are
	// accepted.
	sockets.AwaitAccepted(f.netListener)
	stopped := make(chan struct{})
	go func() {
		f.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		f.endStreams()
		select {
		case <-stopped:
		case <-time.After(finalStatusTimeout):
			f.server.Stop()
			<-stopped
		}
	}
}

// Counts returns a copy of the totals.
func (f *Frontend) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.counts
	counts.StreamsByStatus = maps.Clone(counts.StreamsByStatus)
	counts.ClosedByCode = maps.Clone(counts.ClosedByCode)
	return counts
}

// ReservedCallMemory returns how many bytes of Limits.MaxCallMemory are reserved for the calls of clients now.
func (f *Frontend) ReservedCallMemory() int64 { return f.callMemory.Reserved() }

// OpenConnections returns how many connections of clients are open.
func (f *Frontend) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openConns
}
