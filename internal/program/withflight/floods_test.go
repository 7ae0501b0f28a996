package withflight

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"brackenfront/internal/rig"
)

// TestFloodingClients guards against clients that exhaust the Flight frontend: some open and reset streams by the hundred, send a
// huge header, speak another protocol, or send nothing. Other clients must be served meanwhile, and afterwards no
// connection, search or goroutine of these clients may remain.
func TestFloodingClients(t *testing.T) {
	// goroutineMargin is how many goroutines more than before may run at the end.
	const goroutineMargin = 8
	s := startSystem(t, rig.AllSpeakFlight)
	// These searches open all the connections that ordinary clients need, so that the count below includes their goroutines.
	for i := range 30 {
		s.ask("flight", s.NewSearch("all", i%3))
	}
	goroutinesBefore := runtime.NumGoroutine()
	var sockets []net.Conn
	// dial opens a connection to the Flight frontend and discards what arrives on it.
	dial := func() net.Conn {
		socket, err := net.Dial("tcp", s.FlightFrontend.Addr())
		if err != nil {
			t.Fatal(err)
		}
		sockets = append(sockets, socket)
		go io.Copy(io.Discard, socket)
		return socket
	}
	for range 4 {
		openAndResetStreams(dial(), 500)
	}
	sendHeaderOf(dial(), 1<<20)
	io.WriteString(dial(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	// These clients send nothing.
	for range 10 {
		dial()
	}
	for i := range 50 {
		if outcome := s.ask("flight", s.NewSearch("all", i%3)); !outcome.Complete {
			t.Fatalf("an ordinary client: %v", outcome)
		}
	}
	for _, socket := range sockets {
		socket.Close()
	}
	waitFor(t, "the connections to be closed", func() bool { return s.FlightFrontend.OpenConnections() <= 1 })
	waitFor(t, "the searches to end", func() bool {
		counts := s.Router.Counts()
		return counts.InFlight == 0 && counts.AttemptsInFlight == 0
	})
	waitFor(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= goroutinesBefore+goroutineMargin })
}

// encodeHeaders returns the HPACK header block of a DoGet request, with the fields in more at its end. The block is in buffer, and
// the next call with that buffer overwrites it.
func encodeHeaders(buffer *bytes.Buffer, more ...hpack.HeaderField) []byte {
	buffer.Reset()
	encoder := hpack.NewEncoder(buffer)
	for _, field := range append([]hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: "/arrow.flight.protocol.FlightService/DoGet"}, {Name: ":authority", Value: "x"},
		{Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}, {Name: "grpc-timeout", Value: "9S"}}, more...) {
		encoder.WriteField(field)
	}
	return buffer.Bytes()
}

// startHTTP2 begins an HTTP/2 connection on a socket, a net.Conn or what writes to one, and returns a framer that writes on it.
func startHTTP2(socket io.Writer) *http2.Framer {
	io.WriteString(socket, http2.ClientPreface)
	framer := http2.NewFramer(socket, nil)
	framer.WriteSettings()
	return framer
}

// openAndResetStreams opens count streams on a new connection to the Flight frontend, and resets each of them at once.
func openAndResetStreams(socket net.Conn, count int) {
	framer := startHTTP2(socket)
	var buffer bytes.Buffer
	for i := range count {
		id := uint32(2*i + 1)
		// The frontend may close the connection; that is as good as serving it.
		if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: encodeHeaders(&buffer), EndHeaders: true}) != nil ||
			framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break
		}
	}
}

// sendHeaderOf sends a request with a header field of the given number of bytes on a new connection to the Flight frontend.
func sendHeaderOf(socket net.Conn, fieldBytes int) {
	// maxFrameBytes is the most bytes of the header block in one frame; HTTP/2 allows 16,384 unless the server allows more.
	const maxFrameBytes = 16000
	framer := startHTTP2(socket)
	var buffer bytes.Buffer
	headers := encodeHeaders(&buffer, hpack.HeaderField{Name: "x", Value: string(bytes.Repeat([]byte("y"), fieldBytes))})
	for first := true; len(headers) > 0; first = false {
		n := min(len(headers), maxFrameBytes)
		var err error
		if first {
			err = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headers[:n]})
		} else {
			err = framer.WriteContinuation(1, n == len(headers), headers[:n])
		}
		if err != nil {
			break
		}
		headers = headers[n:]
	}
}
