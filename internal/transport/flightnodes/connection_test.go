package flightnodes

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// healthyServer is a node that passes health probes, and ends every other call with an error.
type healthyServer struct {
	// UnimplementedFlightServiceServer ends every call but DoAction with an error.
	flight.UnimplementedFlightServiceServer
}

// DoAction answers a health probe.
func (healthyServer) DoAction(_ *flight.Action, out flight.FlightService_DoActionServer) error {
	return out.Send(&flight.Result{Body: []byte("hit")})
}

// outcomeRecorder is an owner of attempts: a channel that receives their outcomes.
type outcomeRecorder chan balance.Outcome

// AttemptEnded is called by the pool when an attempt has ended; it sends the outcome to the channel.
func (o outcomeRecorder) AttemptEnded(_, _ int, result protocol.AttemptResult) { o <- result.Outcome }

// TestAnsweredConnectionIsUp: a probe or a part on a new connection is answered before the goroutine of watchState has noticed
// that the connection is up; the test starts that goroutine only after the check. The connection must count as up all the same,
// so that CloseIdleOrSilent closes it as unused.
func TestAnsweredConnectionIsUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, healthyServer{})
	go server.Serve(listener)
	defer server.Stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	address := listener.Addr().String()
	for name, use := range map[string]func(pool *ConnPool){
		"probe": func(pool *ConnPool) {
			passed := make(chan bool, 1)
			if pool.Probe(address, func(ok bool) { passed <- ok }); !<-passed {
				t.Error("a healthy node failed a probe")
			}
		},
		"part": func(pool *ConnPool) {
			outcomes := make(outcomeRecorder, 1)
			pool.Send(address, []*parts.Attempt{{Permission: new(parts.SendPermission), ID: "a.0", SearchText: "q", Deadline: time.Now().Add(time.Minute), Owner: outcomes}})
			if outcome := <-outcomes; outcome != balance.Failed {
				t.Errorf("a part ended with outcome %d, expected %d", outcome, balance.Failed)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewConnPool(Limits{MaxStreamsPerConn: 8, ConnectTimeout: time.Minute, PeerIdleTimeout: time.Hour, MaxWait: time.Minute, MayCancel: true,
				MaxMessageBytes: 1 << 20, MaxPartBytes: 1 << 20, AnswerMemory: &parts.MemoryBudget{MaxBytes: 1 << 20}}, log)
			pool.mu.Lock()
			conn := pool.newConnection(address)
			pool.mu.Unlock()
			use(pool)
			if pool.CloseIdleOrSilent(address, 0); pool.OpenConnections() != 0 {
				t.Error("an unused connection was not closed, though what was sent on it has been answered")
			}
			pool.goroutines.Add(1)
			go conn.watchState()
			pool.Close()
		})
	}
}
