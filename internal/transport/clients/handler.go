package clients

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net/http"
	"net/http/httputil"
	"time"

	"brackenfront/internal/protocol"
)

// newProxy returns the reverse proxy that passes searches to the transport and sends the transport's responses to clients. It
// logs its own errors to errorLog.
func (s *Server) newProxy(transport http.RoundTripper, errorLog *stdlog.Logger) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Transport: transport,
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.Scheme = "http"
			p.Out.URL.Host = p.In.Host
			// The proxy represents a request without a body by a nil Body.
			if p.Out.Body == nil {
				p.Out.Body = http.NoBody
			}
			// A client may name header fields of its search in Connection: the proxy would remove them.
			if len(p.In.Header["Connection"]) > 0 {
				p.Out.Header = p.In.Header.Clone()
			}
			// A body must not grow without end while it is read.
			p.Out.Body = http.MaxBytesReader(nil, p.Out.Body, protocol.MaxBodyBytes)
		},
		ModifyResponse: func(res *http.Response) error {
			c, _ := res.Request.Context().Value(connContextKey{}).(*conn)
			s.announceClose(c, res.Header, isBadRequest(res.StatusCode) && c.countBadRequest())
			// Otherwise net/http would wait for more of the body before it sends this response.
			if res.StatusCode == http.StatusRequestEntityTooLarge && c.limitBodyRead() {
				res.Header.Set("Connection", "close")
			}
			return nil
		},
		ErrorHandler: s.writeProxyError,
		ErrorLog:     errorLog,
	}
}

// handler serves the requests of all connections of a server.
type handler struct {
	// server owns the connections.
	server *Server
	// proxy serves the searches.
	proxy *httputil.ReverseProxy
	// ready reports whether a search that comes now could be routed.
	ready func() bool
}

// ServeHTTP answers health checks and "OPTIONS *" by itself, and hands every other request to the proxy as a search. Requests
// whose client has ended its sending side, or whose end is ambiguous, are answered with status 400.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := h.server
	c, _ := r.Context().Value(connContextKey{}).(*conn)
	switch c.startRequest() {
	case connClosed:
		// No response can reach the client, so nothing that the request asks for may happen.
		panic(http.ErrAbortHandler)
	case clientLeft:
		// The client may have closed its sending side only, and still read the response.
		c.setEndCode(codeLeft)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !c.matchesFraming(r) {
		c.setEndCode(codeFraming)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// This is "OPTIONS *", which concerns the server and no path.
	if r.RequestURI == "*" {
		s.announceClose(c, w.Header(), false)
		return
	}
	if r.URL.Path == "/healthz" {
		if s.announceClose(c, w.Header(), false); !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	// No search has a query, and the proxy would parse it, which takes many times its length of memory.
	r.URL.RawQuery = ""
	// The read deadline holds for the body only: if it stayed in force it would look like a client that closes its connection while
	// its search is in progress.
	controller := http.NewResponseController(w)
	now := time.Now()
	timeout := time.Duration(s.requestTimeout.Load())
	controller.SetReadDeadline(now.Add(timeout))
	controller.SetWriteDeadline(now.Add(3 * timeout))
	if r.ContentLength == 0 {
		h.proxy.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = &notifyingBody{r.Body, c.addBodyMemory, func() {
		controller.SetReadDeadline(time.Time{})
		// A search must not be sent to nodes if its client has closed the connection: after a pause of this process, a request
		// and its client's end may both are unread.
		if c.departed(ctx) {
			cancel()
		}
	}}
	h.proxy.ServeHTTP(w, r)
}

// isBadRequest reports whether a response status says that the request itself is at fault (4xx, but not 429). Such a request is
// answered at once, without waiting for a node. A client that pipelined any number of them could thus occupy the processor and delay
// all other connections, which maxBadRequests prevents.
func isBadRequest(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests
}

// notifyingBody is a request body that calls onRead for what was read, and onEOF once it has been read completely.
type notifyingBody struct {
	// ReadCloser is the body itself.
	io.ReadCloser
	// onRead is called by each read with the number of bytes; reading fails with its error if that is not nil.
	onRead func(bytes int) error
	// onEOF is called by each read that returns the end of the body.
	onEOF func()
}

// Read reads from the body, and calls onRead, and onEOF at its end.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if refused := b.onRead(n); refused != nil {
		return 0, refused
	}
	if err == io.EOF {
		b.onEOF()
	}
	return n, err
}

// announceClose sets "Connection: close" in a response if its connection ends with it, as the server drains or the client has
// pipelined maxBadRequests bad requests (tooManyBad). Where complete heads of requests are pipelined, the connection ends after the
// responses to these instead.
func (s *Server) announceClose(c *conn, header http.Header, tooManyBad bool) {
	if (tooManyBad || s.draining.Load()) && !c.mustAnswerPipelined() {
		header.Set("Connection", "close")
	}
}

// writeProxyError answers a request for which the transport returned an error instead of a response: with status 500 if a drain
// was cut short or there is no memory for the request, and 400 if the client has left or sent an incomplete request. Neither says
// that the request did not run.
func (s *Server) writeProxyError(w http.ResponseWriter, r *http.Request, err error) {
	c, _ := r.Context().Value(connContextKey{}).(*conn)
	if s.baseContext.Err() != nil {
		s.announceClose(c, w.Header(), false)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if errors.Is(err, errNoRequestMemory) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Context().Err() != nil {
		c.setEndCode(codeLeft)
	}
	s.announceClose(c, w.Header(), false)
	w.WriteHeader(http.StatusBadRequest)
}
