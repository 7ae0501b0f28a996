package withflight

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"golang.org/x/net/http2"
	"google.golang.org/protobuf/proto"

	"brackenfront/internal/rig"
	"brackenfront/internal/standin"
)

// resetFrameBytes is the size of an RST_STREAM frame (RFC 9113, section 6.4).
const resetFrameBytes = 13

// flightCaller is a Flight client that writes its frames itself and answers none, so that nothing but what a test writes lies unread
// at the frontend.
type flightCaller struct {
	// TCPConn is the connection to the frontend.
	*net.TCPConn
	// framer writes on the connection.
	framer *http2.Framer
	// written is how many bytes were written on the connection.
	written int
}

// Write writes to the connection and counts the bytes.
func (c *flightCaller) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.written += n
	return n, err
}

// newFlightCaller connects to the system's Flight frontend, and discards what comes from it.
func (s *system) newFlightCaller() *flightCaller {
	s.Helper()
	socket, err := net.Dial("tcp", s.FlightFrontend.Addr())
	if err != nil {
		s.Fatal(err)
	}
	go io.Copy(io.Discard, socket)
	caller := &flightCaller{TCPConn: socket.(*net.TCPConn)}
	caller.framer = startHTTP2(caller)
	return caller
}

// call writes the whole request of a DoGet for a search on the stream with the given number.
func (c *flightCaller) call(t testing.TB, stream uint32, search standin.Search) {
	t.Helper()
	message, err := proto.Marshal(&flight.Ticket{Ticket: search.Ticket()})
	if err != nil {
		t.Fatal(err)
	}
	// A gRPC message is preceded by a byte that says that it is not compressed, and by its length.
	data := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	var buffer bytes.Buffer
	if err := c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: encodeHeaders(&buffer), EndHeaders: true}); err != nil {
		t.Fatal(err)
	}
	if err := c.framer.WriteData(stream, true, append(data, message...)); err != nil {
		t.Fatal(err)
	}
}

// cancel resets the stream with the given number.
func (c *flightCaller) cancel(t testing.TB, stream uint32) {
	t.Helper()
	if err := c.framer.WriteRSTStream(stream, http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
}

// reset ends the connection so that the frontend's machine gets a reset in place of a close.
func (c *flightCaller) reset() {
	c.SetLinger(0)
	c.Close()
}

// wayToLeave is one thing that the client of the call on stream 3 does while the frontend's reads are held.
type wayToLeave struct {
	// name is the name of the test's case.
	name string
	// leave does it.
	leave func(t *testing.T, client *flightCaller)
	// stays says that the client of stream 3 still waits for its answer.
	stays bool
	// bytes and closed are what lies unread then, as HeldReads.Unread counts it.
	bytes, closed int
}

// waysToLeave are the cases of TestNoFurtherAttemptForFlightClientThatLeft.
var waysToLeave = []wayToLeave{
	{"stays", func(*testing.T, *flightCaller) {}, true, 0, 0},
	{"cancels another call", func(t *testing.T, client *flightCaller) { client.cancel(t, 1) }, true, resetFrameBytes, 0},
	{"cancels", func(t *testing.T, client *flightCaller) { client.cancel(t, 3) }, false, resetFrameBytes, 0},
	{"closes", func(_ *testing.T, client *flightCaller) { client.Close() }, false, 0, 1},
	{"cancels and closes", func(t *testing.T, client *flightCaller) { client.cancel(t, 3); client.CloseWrite() }, false, resetFrameBytes, 1},
	{"resets", func(_ *testing.T, client *flightCaller) { client.reset() }, false, 0, 1},
}

// TestNoFurtherAttemptForFlightClientThatLeft guards against a further attempt for a Flight client that has left: its cancellation, or
// the close of its connection, has come to this machine and lies unread, as after a pause of the process, when a node turns the first
// attempt away.
func TestNoFurtherAttemptForFlightClientThatLeft(t *testing.T) {
	for _, way := range waysToLeave {
		t.Run("frames "+way.name, func(t *testing.T) { turnAwayAfterLeaving(t, rig.AllSpeakFrames, way) })
		t.Run("Flight "+way.name, func(t *testing.T) { turnAwayAfterLeaving(t, rig.AllSpeakFlight, way) })
	}
}

// turnAwayAfterLeaving plays one case: a client calls on streams 1 and 3, the first attempt for stream 3 is held by its node, the
// client does what way says, unread, and then the node turns the attempt away.
func turnAwayAfterLeaving(t *testing.T, speaksFlight func(i int) bool, way wayToLeave) {
	reads := &standin.HeldReads{}
	// A retry that misses its send deadline, as on a starved machine, is followed by another one.
	s := startSystemWith(t, speaksFlight, rig.FlightLimits{WrapListener: reads.Listen}, `"mostTries":3`, `"mostTries":9`)
	defer reads.Release()
	client := s.newFlightCaller()
	defer client.Close()
	other := s.NewSearch("all", 1)
	search := s.NewSearch("once", 0)
	held, turnAway := context.WithCancel(context.Background())
	defer turnAway()
	s.Script.SetFaultFor(func(attempt standin.ReceivedAttempt) string {
		if attempt.PartID == other.ID+".1" {
			return "silent"
		}
		if attempt.AttemptNumber > 1 {
			return "hit"
		}
		<-held.Done()
		return "overload"
	})
	client.call(t, 1, other)
	client.call(t, 3, search)
	if !s.Script.WaitUntil(testTimeout, func(received []standin.ReceivedAttempt, _ int) bool { return len(received) == 2 }) {
		t.Fatal("the first attempts did not come to a node")
	}
	reads.Hold()
	way.leave(t, client)
	waitFor(t, "what the client does to lie unread", func() bool {
		bytes, closed := reads.Unread()
		return bytes == way.bytes && closed == way.closed
	})
	turnAway()
	s.expectAttempts(search.ID+".0", way.stays)
}

// expectAttempts waits until the search of the part with that id has ended, and fails the test unless the part then had a second
// attempt if further is true, and only its first one otherwise.
func (s *system) expectAttempts(partID string, further bool) {
	s.Helper()
	count := func() (attempts int) {
		for _, attempt := range s.Script.Received() {
			if attempt.PartID == partID {
				attempts++
			}
		}
		return attempts
	}
	if further {
		waitFor(s, "the second attempt", func() bool { return count() == 2 })
		return
	}
	waitFor(s, "the end of the search", func() bool {
		counts := s.Router.Counts()
		return counts.Succeeded+counts.ClientsLeft > 0 && counts.AttemptsInFlight <= 1
	})
	if attempts := count(); attempts != 1 {
		s.Errorf("%d attempts of a part whose client had left after the first", attempts)
	}
}

// TestNoAttemptForFlightClientThatLeftBefore guards against a first attempt for a Flight client that had left before its request was
// read, as after a pause of the process: the request and its cancellation, or the close of the connection, lie unread together.
func TestNoAttemptForFlightClientThatLeftBefore(t *testing.T) {
	const (
		clientCount    = 50
		callsPerClient = 20
	)
	for _, closes := range []bool{false, true} {
		t.Run(map[bool]string{false: "cancels", true: "closes"}[closes], func(t *testing.T) {
			reads := &standin.HeldReads{}
			s := startSystemWith(t, rig.AllSpeakFrames, rig.FlightLimits{WrapListener: reads.Listen})
			reads.Hold()
			defer reads.Release()
			written := 0
			for range clientCount {
				client := s.newFlightCaller()
				defer client.Close()
				for call := range callsPerClient {
					client.call(t, uint32(2*call+1), s.NewSearch("once", call%3))
				}
				if closes {
					// A full close could reset the connection, which discards some of what was sent.
					client.CloseWrite()
				} else {
					for call := range callsPerClient {
						client.cancel(t, uint32(2*call+1))
					}
				}
				written += client.written
			}
			waitFor(t, "all that the clients did to lie unread", func() bool {
				bytes, closed := reads.Unread()
				return bytes == written && (closed == clientCount || !closes)
			})
			reads.Release()
			waitFor(t, "the end of the calls", func() bool { return s.FlightFrontend.Counts().Streams == clientCount*callsPerClient })
			if received := s.Script.Received(); len(received) > 0 {
				t.Errorf("%d of %d searches of clients that had left were sent to nodes", len(received), clientCount*callsPerClient)
			}
		})
	}
}
