package withflight

import (
	"bytes"
	"io"
	"net"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"brackenfront/internal/rig"
)

// codeMemory is the close code of connections that were closed because there was no memory for their calls, or because the gRPC
// library had rejected too many of their heads.
const codeMemory = "memory"

// dialFlight opens a connection to the Flight frontend, discards what arrives on it, and closes it at the test's end.
func (s *system) dialFlight() net.Conn {
	s.Helper()
	socket, err := net.Dial("tcp", s.FlightFrontend.Addr())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { socket.Close() })
	go io.Copy(io.Discard, socket)
	return socket
}

// stallCalls opens calls on a new connection and sends half of a message on each; it returns the connection. The frontend may end it.
func (s *system) stallCalls(count int) net.Conn {
	s.Helper()
	const messageBytes = 60_000
	socket := s.dialFlight()
	framer := startHTTP2(socket)
	var buffer bytes.Buffer
	message := append([]byte{0, 0, 0, messageBytes >> 8, messageBytes & 0xff}, make([]byte, messageBytes/2)...)
	for i := range count {
		id := uint32(2*i + 1)
		if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: encodeHeaders(&buffer), EndHeaders: true}) != nil {
			break
		}
		for sent := 0; sent < len(message); sent += 10_000 {
			framer.WriteData(id, false, message[sent:min(sent+10_000, len(message))])
		}
	}
	return socket
}

// TestStalledFlightCallsShareMemory guards against Flight clients that stop within messages and together take the process over its
// memory: connections end whose calls need more than is left, other clients are served, and the memory is free again when the
// connections have ended.
func TestStalledFlightCallsShareMemory(t *testing.T) {
	s := startSystemWith(t, rig.AllSpeakFlight, rig.FlightLimits{CallMemoryBytes: 1 << 20})
	var sockets []net.Conn
	// Each of these connections needs more than the whole budget.
	for range 8 {
		sockets = append(sockets, s.stallCalls(64))
	}
	waitFor(t, "the connections that need too much to be closed", func() bool {
		return s.FlightFrontend.Counts().ClosedByCode[codeMemory] > 0
	})
	for i := range 30 {
		if outcome := s.ask("flight", s.NewSearch("all", i%3)); !outcome.Complete {
			t.Fatalf("an ordinary client: %v", outcome)
		}
	}
	for _, socket := range sockets {
		socket.Close()
	}
	waitFor(t, "the memory to be free", func() bool { return s.FlightFrontend.ReservedCallMemory() == 0 })
}

// TestFlightHeadsOfManyFieldsEndConnection guards against Flight clients that keep the processor busy with heads of very many header
// fields, each of which the gRPC library rejects: their connections end, and other clients are served.
func TestFlightHeadsOfManyFieldsEndConnection(t *testing.T) {
	const heads = 1000
	s := startSystem(t, rig.AllSpeakFlight)
	var fields []hpack.HeaderField
	for range 1500 {
		fields = append(fields, hpack.HeaderField{Name: "x", Value: "y"})
	}
	framer := startHTTP2(s.dialFlight())
	var buffer bytes.Buffer
	for i := range heads {
		if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: encodeHeaders(&buffer, fields...), EndHeaders: true}) != nil {
			break
		}
	}
	waitFor(t, "the connection to be closed", func() bool { return s.FlightFrontend.Counts().ClosedByCode[codeMemory] == 1 })
	if outcome := s.ask("flight", s.NewSearch("all", 0)); !outcome.Complete {
		t.Fatalf("an ordinary client: %v", outcome)
	}
}
