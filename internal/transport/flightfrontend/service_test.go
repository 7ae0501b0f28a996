package flightfrontend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
	"brackenfront/internal/standin"
	"brackenfront/internal/transport/flightfrontend"
	"brackenfront/internal/transport/tcptest"
)

// maxWait is how long the test waits for something that has to happen.
const maxWait = 20 * time.Second

// TestNoSearchForClientThatLeftWhileParsed guards against a search that is begun, and sent to nodes at once, for a client that closed
// its connection while its request was being parsed, where the close lies unread.
func TestNoSearchForClientThatLeftWhileParsed(t *testing.T) {
	reads := &standin.HeldReads{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	parsing := make(chan struct{})
	left, leave := context.WithCancel(context.Background())
	defer leave()
	parse := func(string, http.Header, []byte) (*protocol.Search, error) {
		reads.Hold()
		close(parsing)
		<-left.Done()
		return &protocol.Search{}, nil
	}
	var begun atomic.Int32
	search := func(context.Context, *protocol.Search, time.Time, func() bool) (protocol.FinalAnswer, error) {
		begun.Add(1)
		return protocol.FinalAnswer{}, context.Canceled
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	frontend := flightfrontend.New(reads.Listen(listener), flightfrontend.Limits{MaxSearchTime: maxWait, WriteTimeout: maxWait, IdleTimeout: maxWait, MaxStreamsPerConn: 1, MaxConns: 1},
		parse, search, func() bool { return true }, log)
	go frontend.Serve()
	defer frontend.Drain(context.Background(), 0)
	defer reads.Release()
	client, closeClient, err := standin.NewFlightClient(frontend.Addr())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	if _, err := client.DoGet(ctx, &flight.Ticket{Ticket: []byte(`{"type":"one","id":"a","search":{}}`)}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-parsing:
	case <-ctx.Done():
		t.Fatal("the request was not parsed")
	}
	closeClient()
	tcptest.AwaitTrue(t, "the close lies unread", func() bool {
		_, closed := reads.Unread()
		return closed == 1
	})
	leave()
	tcptest.AwaitTrue(t, "the end of the call", func() bool { return frontend.Counts().Streams == 1 })
	if begun.Load() > 0 {
		t.Error("a search was begun for a client that had left")
	}
}
