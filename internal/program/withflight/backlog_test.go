package withflight

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"brackenfront/internal/rig"
	"brackenfront/internal/standin"
)

// TestFlightDrainAcceptsBacklog guards against connections that are reset because the Flight frontend, after a pause of its process,
// closes its listener while they wait in the backlog: they are accepted, so that their clients get the frames that say that the
// frontend ends, and no reset.
func TestFlightDrainAcceptsBacklog(t *testing.T) {
	s := startSystemWith(t, rig.AllSpeakFlight, rig.FlightLimits{
		WrapListener: func(listener net.Listener) net.Listener { return standin.NewBacklogListener(listener) },
	})
	socket, err := net.Dial("tcp", s.FlightFrontend.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	framer := startHTTP2(socket)
	var buffer bytes.Buffer
	framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: encodeHeaders(&buffer), EndHeaders: true})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.FlightFrontend.Drain(ctx, 0)
	}()
	reader := http2.NewFramer(io.Discard, socket)
	for {
		frame, err := reader.ReadFrame()
		if err != nil {
			t.Fatal("the connection ends without GOAWAY:", err)
		}
		if _, ok := frame.(*http2.GoAwayFrame); ok {
			break
		}
	}
	socket.Close()
	<-drained
}
