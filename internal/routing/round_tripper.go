package routing

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/clients"
)

// RoundTripper is an http.RoundTripper that answers each request by running a search on a Router. A reverse proxy uses it as
// its transport.
type RoundTripper struct {
	// router runs the searches.
	router *Router
	// invalidRequests is the number of requests that were refused as invalid or as duplicates, or whose body could not be read.
	invalidRequests atomic.Int64
}

// RoundTripper returns a new round tripper for the router.
func (r *Router) RoundTripper() *RoundTripper { return &RoundTripper{router: r} }

// InvalidRequests returns the number of requests that were refused as invalid or as duplicates, or whose body could not be
// read.
func (t *RoundTripper) InvalidRequests() int { return int(t.invalidRequests.Load()) }

// RoundTrip runs one search from its HTTP request to its HTTP response; an invalid request gets a response with a 4xx
// status. An error means that the client has left or that the body could not be read.
func (t *RoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	defer request.Body.Close()
	if request.Method != http.MethodPost {
		return t.refuse(request, http.StatusMethodNotAllowed, "method: expected POST")
	}
	body, err := io.ReadAll(request.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return t.refuse(request, http.StatusRequestEntityTooLarge,
			fmt.Sprintf("body: expected %d bytes at most", protocol.MaxBodyBytes))
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		return t.refuse(request, http.StatusRequestTimeout,
			fmt.Sprintf("body: expected whole within %s", t.router.liveDeployment.Load().MaxDeadline))
	} else if err != nil {
		t.invalidRequests.Add(1)
		return nil, err
	}
	arrivedAt := clients.ArrivalTime(request.Context(), time.Now())
	search, err := t.router.ParseSearch(request.URL.EscapedPath(), request.Header, body)
	if err != nil {
		return t.refuse(request, http.StatusBadRequest, err.Error())
	}
	checkDisconnected := func() bool { return clients.Departed(request.Context()) }
	clients.EndTurn(request.Context())
	answer, err := t.router.Search(request.Context(), search, arrivedAt, checkDisconnected)
	if err != nil {
		return nil, err
	}
	defer answer.Free()
	return t.toResponse(request, answer), nil
}

// toResponse converts a final answer into the HTTP response to request, with the status code that stands for the answer's
// status.
func (t *RoundTripper) toResponse(request *http.Request, answer protocol.FinalAnswer) *http.Response {
	switch answer.Status {
	case protocol.StatusSucceeded:
		return newResponse(request, http.StatusOK, protocol.AppendAnswer(nil, answer.Complete, answer.Values))
	case protocol.StatusRejected, protocol.StatusOverloaded:
		response := newResponse(request, http.StatusServiceUnavailable, nil)
		if answer.RetryAfterSeconds > 0 {
			response.Header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfterSeconds, 'f', 3, 64))
		}
		return response
	case protocol.StatusDeadlineExceeded:
		return newResponse(request, http.StatusGatewayTimeout, nil)
	case protocol.StatusStopped:
		return newResponse(request, http.StatusServiceUnavailable, nil)
	case protocol.StatusDuplicate:
		t.invalidRequests.Add(1)
		return newResponse(request, http.StatusConflict, []byte(`{"error":"X-Trace-Id: expected an id of no query that is in hand or may have run"}`))
	}
	return newResponse(request, http.StatusInternalServerError, nil)
}

// refuse returns the response to an invalid request, with the given HTTP status and a JSON body that contains message, and
// counts the request as invalid. message names the invalid field and what it has to contain. The error is always nil, so that
// RoundTrip can return both results as they are.
func (t *RoundTripper) refuse(request *http.Request, status int, message string) (*http.Response, error) {
	t.invalidRequests.Add(1)
	return newResponse(request, status, fmt.Appendf(nil, `{"error":%q}`, message)), nil
}

// newResponse returns a response with a JSON body, or without a body if body is nil. It always has a Content-Length, by which
// a client can recognize a truncated answer.
func newResponse(request *http.Request, status int, body []byte) *http.Response {
	header := make(http.Header, 3)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	return &http.Response{
		StatusCode:    status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
		Request:       request,
	}
}
