package clients

import (
	"bufio"
	"io"
	"net"
	"testing"

	"brackenfront/internal/standin"
)

// TestDrainAnswersBacklog guards against requests that are lost because the server, after a pause of its process, closes its listener
// while connections wait in the backlog: these are accepted and answered first.
func TestDrainAnswersBacklog(t *testing.T) {
	server := newTestServer(t, func(listener net.Listener) net.Listener { return standin.NewBacklogListener(listener) })
	go server.Serve()
	const clients = 20
	var responses []*bufio.Reader
	for range clients {
		client, reader := server.dial()
		io.WriteString(client, searchRequest)
		responses = append(responses, reader)
	}
	done := server.startDrain(0)
	for _, reader := range responses {
		if !server.readOK(reader) {
			t.Error("the response in a drain does not announce the connection's end")
		}
	}
	<-done
	if n := server.forwarded.Load(); n != clients {
		t.Errorf("%d requests were forwarded, expected %d", n, clients)
	}
}
