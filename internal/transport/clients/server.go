// Package clients serves HTTP to clients: a reverse proxy whose transport is given, a word on
// health, and an account of every connection.
package clients

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"maps"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
)

// Limits bound what clients may hold.
type Limits struct {
	Request time.Duration // to read a request, or to write an answer
	Idle    time.Duration // between requests
	Most    int           // descriptors that clients and Others hold together
	Unused  int           // connections of clients that stand unused
	Pause   time.Duration // before accepting again when no descriptor can be had
}

// Others are the connections that share the descriptors.
type Others interface {
	Open() int
	Shorten(most int) int
}

// Server is the side that clients see.
type Server struct {
	limits  Limits
	request atomic.Int64 // the limit of that name, in nanoseconds
	others  Others
	log     *logrus.Logger
	http    http.Server
	quiet   io.Closer // what the HTTP library has to say goes to the log through it
	ln      net.Listener

	unused atomic.Int64 // connections between requests

	mu      sync.Mutex
	conns   map[*conn]struct{}
	leaving int // of these, closed by us and about to go
	count   Counts
}

// Counts are sums since the start.
type Counts struct {
	Accepted, Closed, Peak int
	Codes                  map[string]int
}

// Listen opens the address and makes a server that answers by the given transport.
// ready says whether a search that came now could be decided on.
func Listen(addr string, l Limits, transport http.RoundTripper, ready func() bool, others Others,
	log *logrus.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{limits: l, others: others, log: log, ln: ln, conns: map[*conn]struct{}{}}
	s.count.Codes = map[string]int{}
	s.Restate(l.Request)
	words := log.WriterLevel(logrus.WarnLevel)
	s.quiet = words
	quiet := stdlog.New(words, "", 0)
	proxy := &httputil.ReverseProxy{
		Transport: transport,
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.Scheme, p.Out.URL.Host = "http", p.In.Host
			if p.Out.Body == nil { // the proxy's word for a request without a body
				p.Out.Body = http.NoBody
			}
			// Guards against a body that grows without end while it is read.
			p.Out.Body = http.MaxBytesReader(nil, p.Out.Body, protocol.MaxBody)
		},
		ErrorHandler: s.failed,
		ErrorLog:     quiet,
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			if !ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		// The bound is on reading the body alone: a read deadline that went on would pass for a client
		// that left while its search is in hand.
		rc := http.NewResponseController(w)
		now, bound := time.Now(), time.Duration(s.request.Load())
		rc.SetReadDeadline(now.Add(bound))
		rc.SetWriteDeadline(now.Add(3 * bound))
		r.Body = &body{r.Body, func() { rc.SetReadDeadline(time.Time{}) }}
		proxy.ServeHTTP(w, r)
	}
	// A request may take its bound to come, as long again in hand, and again to be answered.
	s.http = http.Server{Handler: http.HandlerFunc(serve), ReadHeaderTimeout: l.Request, WriteTimeout: 3 * l.Request,
		IdleTimeout: l.Idle, MaxHeaderBytes: protocol.MaxBody, ConnState: s.state, ErrorLog: quiet,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) }}
	return s, nil
}

// body tells when it has been read whole.
type body struct {
	io.ReadCloser
	whole func()
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole()
	}
	return n, err
}

// Restate puts another bound on reading a request and writing an answer in force, for requests from now on.
func (s *Server) Restate(request time.Duration) { s.request.Store(int64(request)) }

type key struct{}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Serve serves until Close or Drain; any other end is an error.
func (s *Server) Serve() error {
	if err := s.http.Serve(&listener{s.ln, s}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain ends the service in good order: at once every connection closes after its request, while
// new ones are still taken for so long; then it waits for all requests, as long as ctx lasts.
func (s *Server) Drain(ctx context.Context, accept time.Duration) {
	s.mu.Lock()
	for c := range s.conns {
		c.drainable()
	}
	s.mu.Unlock()
	s.http.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(accept):
	case <-ctx.Done():
	}
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	s.quiet.Close()
}

// Counts gives the sums.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count
	c.Codes = maps.Clone(s.count.Codes)
	return c
}

// failed is called when a request has no answer: its client is gone, or sent no whole request.
func (s *Server) failed(w http.ResponseWriter, r *http.Request, err error) {
	if c, ok := r.Context().Value(key{}).(*conn); ok && r.Context().Err() != nil {
		c.why("left")
	}
	w.WriteHeader(http.StatusBadRequest)
}

func (s *Server) accepted(sock net.Conn) *conn {
	c := &conn{Conn: sock, s: s, made: time.Now()}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.count.Accepted++
	s.count.Peak = max(s.count.Peak, len(s.conns))
	n := len(s.conns) - s.leaving // one on its way out makes room for one
	s.mu.Unlock()
	// Guards against running out of descriptors: unused connections go before new ones would fail.
	if over := n + s.others.Open() - s.limits.Most; over > 0 {
		s.Shorten(over)
	}
	return c
}

// Shorten closes up to so many unused connections, those to nodes first, as clients cannot tell
// a closed one from one that ended while they were sending.
func (s *Server) Shorten(most int) int {
	done := s.others.Shorten(most)
	return done + s.trim(most-done, 0, "short")
}

// trim closes the clients' connections that are unused longest, so many at the most and while more than
// keep are unused.
func (s *Server) trim(most, keep int, code string) (done int) {
	var idle []*conn
	s.mu.Lock()
	for c := range s.conns {
		c.mu.Lock()
		if c.idle && c.code == "" {
			idle = append(idle, c)
		}
		c.mu.Unlock()
	}
	s.mu.Unlock()
	slices.SortFunc(idle, func(a, b *conn) int { return a.idleAt.Compare(b.idleAt) })
	for _, c := range idle[:max(min(most, len(idle)-keep), 0)] {
		c.mu.Lock()
		if c.idle && c.code == "" { // still
			c.code, c.leaving = code, true
			done++
			c.Conn.Close()
		}
		c.mu.Unlock()
	}
	s.mu.Lock()
	s.leaving += done
	s.mu.Unlock()
	return done
}

// state follows what the server does with a connection.
func (s *Server) state(sock net.Conn, to http.ConnState) {
	c, ok := sock.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	switch to {
	case http.StateActive:
		if c.idle {
			s.unused.Add(-1)
		}
		c.idle = false
		c.served++
	case http.StateIdle:
		c.idle, c.idleAt = true, time.Now()
		s.unused.Add(1)
	}
	c.mu.Unlock()
	// Guards against clients that ask once and keep their connection: what they may hold in all is bounded
	// on their side too, and who finds no place for a new connection cannot ask at all.
	if to == http.StateIdle && s.unused.Load() > int64(s.limits.Unused) {
		s.trim(math.MaxInt, s.limits.Unused, "kept")
	}
}

// drainable notes beforehand why an unused connection is about to be closed.
func (c *conn) drainable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.code == "" {
		c.code = "drained"
	}
}

func (s *Server) closed(c *conn) {
	s.mu.Lock()
	_, held := s.conns[c]
	delete(s.conns, c)
	c.mu.Lock()
	code, served := c.code, c.served
	if held && c.leaving {
		s.leaving--
	}
	if held && c.idle {
		s.unused.Add(-1)
		c.idle = false
	}
	c.mu.Unlock()
	if code == "" {
		code = "done" // by us, after an answer that said so
	}
	if held {
		s.count.Closed++
		s.count.Codes[code]++
	}
	s.mu.Unlock()
	if held {
		s.log.WithField("side", "client").WithField("peer", c.RemoteAddr().String()).WithField("code", code).
			WithField("requests", served).WithField("ms", time.Since(c.made).Milliseconds()).Info("connection ended")
	}
}
