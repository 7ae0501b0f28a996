package clients

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDepartedIsOfOneRequest: whoever asks late whether a client has left, of a request that has its answer, is told so and
// takes no byte of the next request on that connection.
func TestDepartedIsOfOneRequest(t *testing.T) {
	b := newBench(t, nil)
	first := make(chan context.Context, 1)
	b.does = func(r *http.Request) (*http.Response, error) {
		select {
		case first <- r.Context():
		default:
		}
		return okay(r)
	}
	go b.Serve()
	c, r := b.dial()
	io.WriteString(c, text)
	b.answered(r)
	ctx := <-first
	var over atomic.Bool
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		for !over.Load() {
			Departed(ctx)
		}
	}()
	for range 20 {
		for _, piece := range []string{text[:3], text[3:30], text[30 : len(text)-2], text[len(text)-2:]} {
			io.WriteString(c, piece)
			time.Sleep(time.Millisecond)
		}
		b.answered(r)
	}
	over.Store(true)
	<-asked
}

// unread holds back reads, so that what has come lies unread.
type unread struct {
	net.Listener
	on   atomic.Bool
	open chan struct{} // closed to let them go on
}

func (u *unread) Accept() (net.Conn, error) {
	c, err := u.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &unreadConn{c.(*net.TCPConn), u}, nil
}

type unreadConn struct {
	*net.TCPConn
	u *unread
}

func (c *unreadConn) Read(b []byte) (int, error) {
	if c.u.on.Load() {
		<-c.u.open
	}
	return c.TCPConn.Read(b)
}

// TestDepartedLeavesTheNextUnread: the same with the next request unread, and the server about to read it, as it is asked.
func TestDepartedLeavesTheNextUnread(t *testing.T) {
	u := &unread{open: make(chan struct{})}
	b := newBench(t, func(ln net.Listener) net.Listener { u.Listener = ln; return u })
	first := make(chan context.Context, 2)
	b.does = func(r *http.Request) (*http.Response, error) {
		u.on.Store(true)
		first <- r.Context()
		return okay(r)
	}
	go b.Serve()
	c, r := b.dial()
	io.WriteString(c, text)
	b.answered(r)
	ctx := <-first
	<-ctx.Done()
	io.WriteString(c, text)
	b.until("unread bytes", func() bool {
		return b.every(1, func(c *conn) (lie bool) {
			c.raw.Control(func(fd uintptr) {
				n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
				lie = err == nil && n == 1
			})
			return lie
		})
	})
	if !Departed(ctx) {
		t.Error("whoever asks late is not told that the request is over")
	}
	if !b.every(1, func(c *conn) bool { return len(c.ahead) == 0 }) {
		t.Error("bytes of the next request were taken")
	}
	close(u.open)
	b.answered(r)
}

// TestClosesWithinItsBody: a client that closes before its body was read whole has asked for nothing, however much of it came.
func TestClosesWithinItsBody(t *testing.T) {
	chunked := "POST /all HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, request := range []string{text, chunked} {
		for at := 1; at < len(request); at++ {
			b := newBench(t, nil)
			go b.Serve()
			c, _ := b.dial()
			io.WriteString(c, request[:at])
			b.until("what it sent", func() bool { return b.every(1, func(c *conn) bool { return c.begun }) })
			c.Close()
			b.until("the end", func() bool { return b.Counts().Closed == 1 })
			if n := b.asked.Load(); n > 0 {
				t.Fatalf("sent on with %q only", request[:at])
			}
		}
	}
}

// TestHalfClose: a client that ends its sending side has closed its connection, as far as anyone can tell: what it asked
// for is called off.
func TestHalfClose(t *testing.T) {
	b := newBench(t, nil)
	left := make(chan error, 1)
	b.does = func(r *http.Request) (*http.Response, error) {
		select {
		case <-r.Context().Done():
		case <-time.After(patience):
		}
		left <- r.Context().Err()
		return nil, io.EOF
	}
	go b.Serve()
	c, _ := b.dial()
	io.WriteString(c, text)
	b.until("the request", func() bool { return b.asked.Load() == 1 })
	c.(*net.TCPConn).CloseWrite()
	if <-left == nil {
		t.Fatal("not seen")
	}
}
