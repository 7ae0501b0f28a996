package clients

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"brackenfront/internal/protocol"
)

// manyFields returns lines of the given number of short header fields, each with a name of its own.
func manyFields(count int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// TestManyFieldsAreRefused guards against heads and trailers of very many short fields, which take many times their length of
// memory: a request with more than protocol.MaxRequestFields is refused as soon as that is known, even if its head has no end, and
// nothing of it is forwarded.
func TestManyFieldsAreRefused(t *testing.T) {
	const (
		head        = "POST /all HTTP/1.1\r\nHost: x\r\n"
		chunkedBody = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
	)
	for name, test := range map[string]struct {
		// request is what the client sends.
		request string
		// status is the expected status of the response.
		status int
	}{
		"head":             {head + manyFields(8000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"head without end": {head + manyFields(protocol.MaxRequestFields), http.StatusRequestHeaderFieldsTooLarge},
		"trailer":          {head + chunkedBody + manyFields(8000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"head and trailer": {head + manyFields(protocol.MaxRequestFields-2) + chunkedBody + "a:\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, nil)
			go server.Serve()
			client, responses := server.dial()
			go io.WriteString(client, test.request)
			if status := server.readLastStatus(responses); status != test.status {
				t.Errorf("answered with status %d, expected %d", status, test.status)
			}
			if server.forwarded.Load() > 0 {
				t.Error("the request was forwarded")
			}
		})
	}
}

// TestMostFieldsAreServed checks that requests with protocol.MaxRequestFields fields are served, one after the other on one
// connection.
func TestMostFieldsAreServed(t *testing.T) {
	server := newTestServer(t, nil)
	go server.Serve()
	client, responses := server.dial()
	for range 2 {
		io.WriteString(client, "POST /all HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"+manyFields(protocol.MaxRequestFields-2)+"\r\nhello")
		server.readOK(responses)
	}
}

// TestQueryIsNotParsed guards against queries of many short parameters, which the reverse proxy would parse into a map: it is
// given none.
func TestQueryIsNotParsed(t *testing.T) {
	server := newTestServer(t, nil)
	query := "not forwarded"
	server.respond = func(r *http.Request) (*http.Response, error) {
		query = r.URL.RawQuery
		return respondOK(r)
	}
	go server.Serve()
	client, responses := server.dial()
	io.WriteString(client, "POST /all?a;"+strings.Repeat("&b", 1000)+" HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
	server.readOK(responses)
	if query != "" {
		t.Errorf("the query %.20q... was parsed", query)
	}
}
