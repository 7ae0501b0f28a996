package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// largeBodyBytes is the length of the bodies that take more memory than a connection has to itself, within the limit on bodies.
const largeBodyBytes = 60_000

// largeRequest returns the parts of a request, head and body, of which the body is large.
func largeRequest() (head, body string) {
	return fmt.Sprintf("POST /all HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", largeBodyBytes), strings.Repeat("x", largeBodyBytes)
}

// fillRequestMemory has clients send half of a large request each, until there is no memory for another half, and returns their
// connections.
func (s *testServer) fillRequestMemory() (clients []net.Conn) {
	s.Helper()
	head, body := largeRequest()
	half := head + body[:largeBodyBytes/2]
	need := int64(len(half)*memoryPerByte - freeRequestMemory)
	for s.requestMemory.Reserved()+need <= s.requestMemory.MaxBytes {
		before := s.requestMemory.Reserved()
		client, _ := s.dial()
		io.WriteString(client, half)
		s.waitUntil("half of a request", func() bool { return s.requestMemory.Reserved() >= before+need })
		clients = append(clients, client)
	}
	return clients
}

// TestHalfRequestsShareMemory guards against clients that stop in the middle of large requests and together take the process over
// its memory: beyond the memory for all requests a large one is refused, with a status that does not say that it did not run, while
// ordinary requests are served; when the clients leave, the memory is free again.
func TestHalfRequestsShareMemory(t *testing.T) {
	server := newTestServer(t, nil)
	go server.Serve()
	held := server.fillRequestMemory()
	head, body := largeRequest()
	longField := "POST /all HTTP/1.1\r\nHost: x\r\nX-Long: " + body + "\r\n\r\n"
	for name, request := range map[string]string{"body": head + body, "head": longField, "head without end": longField[:len(longField)-1]} {
		client, responses := server.dial()
		go io.WriteString(client, request)
		if status := server.readLastStatus(responses); status != http.StatusInternalServerError {
			t.Errorf("%s: answered with status %d", name, status)
		}
	}
	if n := server.forwarded.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
	for range 3 {
		client, responses := server.dial()
		io.WriteString(client, searchRequest)
		server.readOK(responses)
	}
	for _, client := range held {
		client.Close()
	}
	server.waitUntil("the memory to be free", func() bool { return server.requestMemory.Reserved() == 0 })
	client, responses := server.dial()
	io.WriteString(client, head+body)
	server.readOK(responses)
}

// TestRequestMemoryIsFreeAfterResponse guards against memory that stays reserved: a large request that comes in halves is served, and
// what was reserved for it is free once its response is sent, though its connection stays open.
func TestRequestMemoryIsFreeAfterResponse(t *testing.T) {
	server := newTestServer(t, nil)
	go server.Serve()
	head, body := largeRequest()
	client, responses := server.dial()
	for range 3 {
		io.WriteString(client, head+body[:largeBodyBytes/2])
		server.waitUntil("half of the request", func() bool { return server.requestMemory.Reserved() > largeBodyBytes })
		io.WriteString(client, body[largeBodyBytes/2:])
		server.readOK(responses)
		server.waitUntil("the memory to be free", func() bool { return server.requestMemory.Reserved() == 0 })
	}
}
