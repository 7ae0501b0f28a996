package clients

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDepartedTakesNoBytesOfNextRequest: Departed is called for a request that has had its response already, while the next
// request comes on the same connection. It must report true and read no byte of the next request, which is then answered.
func TestDepartedTakesNoBytesOfNextRequest(t *testing.T) {
	server := newTestServer(t, nil)
	firstContext := make(chan context.Context, 1)
	server.respond = func(r *http.Request) (*http.Response, error) {
		select {
		case firstContext <- r.Context():
		default:
		}
		return respondOK(r)
	}
	go server.Serve()
	client, responses := server.dial()
	io.WriteString(client, searchRequest)
	server.readOK(responses)
	ctx := <-firstContext
	var stop atomic.Bool
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for !stop.Load() {
			Departed(ctx)
		}
	}()
	for range 20 {
		for _, piece := range []string{searchRequest[:3], searchRequest[3:30], searchRequest[30 : len(searchRequest)-2], searchRequest[len(searchRequest)-2:]} {
			io.WriteString(client, piece)
			time.Sleep(time.Millisecond)
		}
		server.readOK(responses)
	}
	stop.Store(true)
	<-stopped
}

// TestDepartedLeavesNextRequestUnread: Departed is called for a request that has had its response already, while the next request
// is unread in the socket and the server is about to read it. It must report true and leave those bytes in the socket.
func TestDepartedLeavesNextRequestUnread(t *testing.T) {
	unread := &unreadListener{release: make(chan struct{})}
	server := newTestServer(t, func(l net.Listener) net.Listener { unread.Listener = l; return unread })
	// The server's end waits for its reads, also if the test fails.
	release := sync.OnceFunc(func() { close(unread.release) })
	t.Cleanup(release)
	contexts := make(chan context.Context, 2)
	server.respond = func(r *http.Request) (*http.Response, error) {
		unread.holding.Store(true)
		contexts <- r.Context()
		return respondOK(r)
	}
	go server.Serve()
	client, responses := server.dial()
	io.WriteString(client, searchRequest)
	server.readOK(responses)
	ctx := <-contexts
	<-ctx.Done()
	// Until then the server still looks for the client's close, and sets bytes of a next request aside.
	server.waitUntil("an idle connection", func() bool { return server.allConns(1, func(c *conn) bool { return c.idle }) })
	io.WriteString(client, searchRequest)
	server.waitUntil("unread bytes", func() bool {
		return server.allConns(1, func(c *conn) (unread bool) {
			c.rawConn.Control(func(fd uintptr) {
				n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
				unread = err == nil && n == 1
			})
			return unread
		})
	})
	if !Departed(ctx) {
		t.Error("Departed does not report that the request is over")
	}
	if !server.allConns(1, func(c *conn) bool { return len(c.pipelined) == 0 }) {
		t.Error("bytes of the next request were taken")
	}
	release()
	server.readOK(responses)
}

// TestClientCloseSeenBehindPipelinedBytes: a client sends further bytes while its request is in progress, and then closes its
// connection. The close must be detected however many bytes precede it, and none of those bytes are forwarded as a request.
func TestClientCloseSeenBehindPipelinedBytes(t *testing.T) {
	for _, ahead := range []int{0, 1, len(searchRequest), maxPipelinedBytes - 1, maxPipelinedBytes, 3 * maxPipelinedBytes} {
		server := newTestServer(t, nil)
		seen := make(chan error, 1)
		server.respond = func(r *http.Request) (*http.Response, error) {
			select {
			case <-r.Context().Done():
				seen <- nil
			case <-time.After(maxTestWait):
				seen <- fmt.Errorf("the client's close is not seen with %d bytes pipelined", ahead)
			}
			return nil, errors.New("left")
		}
		go server.Serve()
		client, _ := server.dial()
		io.WriteString(client, searchRequest)
		server.waitUntil("the request", func() bool { return server.forwarded.Load() == 1 })
		io.WriteString(client, strings.Repeat(searchRequest, ahead/len(searchRequest)+1)[:ahead])
		server.waitUntil("the pipelined bytes", func() bool {
			return server.allConns(1, func(c *conn) bool { return len(c.pipelined) == min(ahead, maxPipelinedBytes) })
		})
		client.Close()
		if err := <-seen; err != nil {
			t.Fatal(err)
		}
		server.waitUntil("the connection's end", func() bool { return len(server.openConns()) == 0 })
		if server.forwarded.Load() != 1 {
			t.Fatal("pipelined requests of a client that has left were forwarded")
		}
	}
}

// TestRequestOfClosedClientIsNotForwarded: a client has sent its request and closed its connection before the server has read
// the request or the close; this happens before the connection is accepted, or just after that. By the time at which the request
// would be forwarded, its context must have ended, so that no node gets the search of a client that has left.
func TestRequestOfClosedClientIsNotForwarded(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		t.Run(fmt.Sprintf("accepted %t", accepted), func(t *testing.T) {
			server := newTestServer(t, nil)
			var forwarded atomic.Int32
			server.respond = func(r *http.Request) (*http.Response, error) {
				if r.Context().Err() == nil {
					forwarded.Add(1)
				}
				return respondOK(r)
			}
			sendAndClose := func(client net.Conn) {
				io.WriteString(client, searchRequest+searchRequest[:7])
				client.Close()
			}
			const n = 100
			clients := map[string]net.Conn{}
			for range n {
				client, _ := server.dial()
				if clients[client.LocalAddr().String()] = client; !accepted {
					sendAndClose(client)
				}
			}
			server.httpServer.ConnState = func(netConn net.Conn, state http.ConnState) {
				server.connStateChanged(netConn, state)
				// The server does not read from a new connection before this function returns.
				if client := clients[netConn.RemoteAddr().String()]; accepted && state == http.StateNew {
					sendAndClose(client)
					server.waitUntil("the client's end", func() bool { return clientEndArrived(netConn.(*conn)) })
				}
			}
			go server.Serve()
			server.waitUntil("the end of all connections", func() bool { return server.Counts().Closed == n })
			if got := forwarded.Load(); got > 0 {
				t.Fatalf("%d of %d requests were forwarded", got, n)
			}
		})
	}
}

// TestCloseWithinRequestForwardsNothing: nothing is forwarded for a client that closes its connection before its request,
// the body included, has arrived completely, however many of its bytes came.
func TestCloseWithinRequestForwardsNothing(t *testing.T) {
	chunked := "POST /all HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, request := range []string{searchRequest, chunked} {
		for at := 1; at < len(request); at++ {
			server := newTestServer(t, nil)
			go server.Serve()
			client, _ := server.dial()
			io.WriteString(client, request[:at])
			server.waitUntil("the first bytes", func() bool { return server.allConns(1, func(c *conn) bool { return c.requestBegun }) })
			client.Close()
			server.waitUntil("the connection's end", func() bool { return server.Counts().Closed == 1 })
			if n := server.forwarded.Load(); n > 0 {
				t.Fatalf("forwarded with %q only", request[:at])
			}
		}
	}
}

// TestHalfCloseCancelsRequest: a client ends its sending side while its request is in progress. The server cannot tell that from
// a closed connection, so the request's context must be cancelled.
func TestHalfCloseCancelsRequest(t *testing.T) {
	server := newTestServer(t, nil)
	result := make(chan error, 1)
	server.respond = func(r *http.Request) (*http.Response, error) {
		select {
		case <-r.Context().Done():
		case <-time.After(maxTestWait):
		}
		result <- r.Context().Err()
		return nil, io.EOF
	}
	go server.Serve()
	client, _ := server.dial()
	io.WriteString(client, searchRequest)
	server.waitUntil("the request", func() bool { return server.forwarded.Load() == 1 })
	client.(*net.TCPConn).CloseWrite()
	if <-result == nil {
		t.Fatal("the request was not cancelled")
	}
}
