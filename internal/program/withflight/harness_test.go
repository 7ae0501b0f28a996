package withflight

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"google.golang.org/grpc/codes"

	"brackenfront/internal/protocol"
	"brackenfront/internal/rig"
	"brackenfront/internal/standin"
)

// testTimeout is the longest time that a test waits for something that has to happen.
const testTimeout = 20 * time.Second

// system is a broker with simulated nodes (rig.Rig), all in the process of the test; errors of its methods end the test.
type system struct {
	// TB is the test that started the system.
	testing.TB
	// Rig is the broker with its nodes, frontends and backends.
	*rig.Rig
}

// startSystem starts a system and closes it at the end of the test. The test fails if memory for answers is still reserved
// after that. speaksFlight reports whether the node with index i speaks Flight. changes are pairs of a text in the JSON of the
// deployment's settings and the text that replaces it.
func startSystem(t testing.TB, speaksFlight func(i int) bool, changes ...string) *system {
	return startSystemWith(t, speaksFlight, rig.FlightLimits{}, changes...)
}

// startSystemWith is startSystem with limits of the test, of which it sets the sizes.
func startSystemWith(t testing.TB, speaksFlight func(i int) bool, limits rig.FlightLimits, changes ...string) *system {
	limits.MaxPartBytes = 1 << 20
	limits.AnswerMemoryBytes = 64 << 20
	limits.RowsPerPart = 3
	r, err := rig.Start(speaksFlight, limits, changes...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if held := r.Close(); held != 0 {
			t.Errorf("%d bytes of answers are still held", held)
		}
	})
	return &system{t, r}
}

// list returns the complete list of nodes as discovery would send it now.
func (s *system) list() protocol.DiscoveryUpdate {
	list, err := s.NextDiscoveryUpdate()
	if err != nil {
		s.Fatal(err)
	}
	return list
}

// ask sends a search to the broker over the protocol frontend, "http" or "flight", and returns its outcome; it ends the test on an
// error that is not an outcome of a search.
func (s *system) ask(frontend string, search standin.Search) standin.Outcome {
	s.Helper()
	outcome, err := s.Send(context.Background(), frontend, search)
	if err != nil {
		s.Fatalf("%s over %s: %v", search.ID, frontend, err)
	}
	return outcome
}

// codeSendTimeout is the close code, in both pools, of connections that were closed because bytes did not leave this machine
// in time.
const codeSendTimeout = "stuck"

// missedSendDeadlines counts the requests, and the connections with requests, that met a send deadline: connections closed
// with codeSendTimeout, and Flight streams that were cancelled in the gRPC library's queue (status Canceled without a Cancel)
// or not begun any more (status moot). Only a starved machine causes them here: the deadlines are 45 ms for a retry, from the
// decision on it, and 80 ms for any request, from its encoding.
func (s *system) missedSendDeadlines() int {
	overFlight := s.FlightNodePool.Counts()
	connections := s.FrameNodePool.Counts().ClosedByCode[codeSendTimeout] + overFlight.ClosedByCode[codeSendTimeout]
	unsentStreams := overFlight.StreamsByStatus[codes.Canceled.String()] + overFlight.StreamsByStatus["moot"] - overFlight.AttemptsCancelled
	return connections + max(unsentStreams, 0)
}

// waitFor calls holds until it returns true, and ends the test if that takes longer than testTimeout; description names what
// is waited for.
func waitFor(t testing.TB, description string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// decodeLastColumn returns the values of the last column of an encapsulated Arrow stream, each as text.
func decodeLastColumn(t testing.TB, stream []byte) (values []string) {
	t.Helper()
	reader, err := ipc.NewReader(bytes.NewReader(stream))
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Release()
	for reader.Next() {
		column := reader.RecordBatch().Column(int(reader.RecordBatch().NumCols()) - 1)
		for i := range column.Len() {
			if texts, ok := column.(*array.String); ok {
				values = append(values, texts.Value(i))
			} else {
				values = append(values, fmt.Sprint(column.(*array.Float64).Value(i)))
			}
		}
	}
	if reader.Err() != nil {
		t.Fatal(reader.Err())
	}
	return values
}
