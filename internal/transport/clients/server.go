// Package clients serves searches to clients over HTTP/1.1: a reverse proxy in front of a given transport, a health check
// (/healthz), and a record of every connection. It closes unused connections where file descriptors are short.
//
// Terms of this package:
//   - The transport is the http.RoundTripper that answers the searches; to forward a request is to pass it to the transport.
//   - The current request of a connection is the one whose bytes net/http is given now, until its response has been sent.
//   - Pipelined bytes are bytes that a client sends after the current request and before the response to it; pipelined requests
//     are the requests in them.
//   - The head of a request is its request line and its header fields, up to the empty line.
//   - The framing of a connection is the parser of this program that finds where requests end (protocol.RequestFraming). It
//     fails where a request is malformed, or where two HTTP readers could place its end differently.
//   - The final response to a request has a status of 200 or above; interim responses (1xx) may come before it.
//   - A connection is unused, or idle, if a response was sent on it and no byte of a further request has come since. It is silent
//     if its client has sent nothing since it was accepted.
//   - To close the sending side of a connection is to send the end of the stream and go on reading, as TCP allows.
//   - An end code is a word that says why a connection ended, for the log and for Counts.ClosedByCode.
//   - A bad request is one that is answered with a status that says that the request itself is at fault: 4xx, but not 429.
//   - A drain is the orderly end of the service (Server.Drain). It is cut short if its context ends before all requests have
//     their responses.
package clients

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
)

// Limits bound how long requests and unused connections of clients may take, and how many connections there may be.
type Limits struct {
	// RequestTimeout bounds each of: reading a request's head, reading its body, and writing its response.
	RequestTimeout time.Duration
	// IdleTimeout bounds how long a connection may stay open between two requests.
	IdleTimeout time.Duration
	// MaxConnections is how many connections there should be at most: those of clients and those of the server's ConnectionPool
	// together. Where there are more, unused ones are closed.
	MaxConnections int
	// MaxUnused is how many connections of clients may stay open unused; beyond that, those unused longest are closed.
	MaxUnused int
	// MaxRequestMemory is how many bytes of memory the requests of all clients together may take beyond what each connection has to
	// itself (freeRequestMemory), from their first byte until their responses are sent. A request beyond it is refused.
	MaxRequestMemory int64
	// Turns makes the connections take turns at the processor: to read and check a request, until it waits for its nodes or its response
	// is sent; nil for no such turns.
	Turns *turns.Scheduler
	// AcceptRetryDelay is how long the server waits before it accepts again after a transient error, such as a shortage of
	// file descriptors.
	AcceptRetryDelay time.Duration
}

// ConnectionPool holds connections that share the file descriptors of the process with those of clients.
type ConnectionPool interface {
	// OpenConnections returns how many connections are open.
	OpenConnections() int
	// CloseUnused closes at most limit connections that are unused, and returns how many it closed.
	CloseUnused(limit int) int
}

// Server accepts clients' connections and serves the requests on them.
type Server struct {
	// limits are the limits given to Listen. Its RequestTimeout is only the initial one: the field requestTimeout below has
	// the one in force.
	limits Limits
	// requestTimeout bounds each of: reading a request's head, reading its body, and writing its response; in nanoseconds. It
	// begins as Limits.RequestTimeout, and SetRequestTimeout changes it.
	requestTimeout atomic.Int64
	// otherConns are the process's other connections, such as those to nodes. They count towards Limits.MaxConnections, and unused
	// ones are closed first where there are more than that.
	otherConns ConnectionPool
	// log gets a line for each connection that ends, and the messages of net/http.
	log *logrus.Logger
	// httpServer is the server of net/http that reads the requests.
	httpServer http.Server
	// httpLog closes the writer that passes the messages of net/http to log.
	httpLog io.Closer
	// netListener accepts the connections; Drain closes it.
	netListener net.Listener

	// requestMemory is the budget of Limits.MaxRequestMemory.
	requestMemory parts.MemoryBudget
	// unusedConns is how many connections are unused, that is, between two requests (conn.idle is set).
	unusedConns atomic.Int64
	// closingConns is how many connections are still open that the server has begun to close by itself (conn.closing), so that their
	// descriptors are about to be free.
	closingConns atomic.Int64
	// draining is set once Drain has been called.
	draining atomic.Bool
	// baseContext is the parent of all requests' contexts. It is cancelled when a drain is cut short.
	baseContext context.Context
	// cancelRequests cancels baseContext.
	cancelRequests context.CancelFunc
	// acceptEnded is closed once the server accepts no more connections.
	acceptEnded chan struct{}
	// connEnded receives a value when a connection has ended, unless it holds one already; Drain waits for it.
	connEnded chan struct{}

	// mu guards all fields below.
	mu sync.Mutex
	// conns holds all open connections.
	conns map[*conn]struct{}
	// counts are the totals of connections, of which the method Counts returns a copy.
	counts Counts
}

// connContextKey is the key under which a request's context holds its *conn.
type connContextKey struct{}

// Listen opens the TCP address addr (host:port) and returns a server on it that serves nothing before Serve. transport answers
// the searches. ready reports whether a search that comes now could be routed, which is the result of the health check.
// otherConns are the connections that count towards Limits.MaxConnections along with clients'. It fails if the address cannot be
// opened.
func Listen(addr string, limits Limits, transport http.RoundTripper, ready func() bool, otherConns ConnectionPool,
	log *logrus.Logger) (*Server, error) {
	netListener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		limits:      limits,
		otherConns:  otherConns,
		log:         log,
		netListener: netListener,
		conns:       map[*conn]struct{}{},
		acceptEnded: make(chan struct{}),
		connEnded:   make(chan struct{}, 1),
	}
	s.requestMemory.MaxBytes = limits.MaxRequestMemory
	s.counts.ClosedByCode = map[string]int{}
	s.baseContext, s.cancelRequests = context.WithCancel(context.Background())
	s.SetRequestTimeout(limits.RequestTimeout)
	logWriter := log.WriterLevel(logrus.WarnLevel)
	s.httpLog = logWriter
	errorLog := stdlog.New(logWriter, "", 0)
	h := &handler{server: s, proxy: s.newProxy(transport, errorLog), ready: ready}
	s.httpServer = http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.RequestTimeout,
		// A request may take its timeout to come, as long again being served, and as long again to be answered.
		WriteTimeout:   3 * limits.RequestTimeout,
		IdleTimeout:    limits.IdleTimeout,
		MaxHeaderBytes: protocol.MaxBodyBytes,
		ConnState:      s.connStateChanged,
		ErrorLog:       errorLog,
		BaseContext:    func(net.Listener) context.Context { return s.baseContext },
		// Every request has to pass conn.matchesFraming, "OPTIONS *" too.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	return s, nil
}

// SetRequestTimeout replaces Limits.RequestTimeout for requests that come from now on. Any goroutine may call it.
func (s *Server) SetRequestTimeout(timeout time.Duration) { s.requestTimeout.Store(int64(timeout)) }

// Addr returns the address that the server listens on, as host:port.
func (s *Server) Addr() string { return s.netListener.Addr().String() }

// Serve accepts and serves connections until Drain ends that, and then returns nil. Any other end is returned as an error.
func (s *Server) Serve() error {
	defer close(s.acceptEnded)
	if err := s.httpServer.Serve(&retryingListener{turns.NewListener(s.netListener, s.limits.Turns), s}); !s.draining.Load() {
		return err
	}
	return nil
}
