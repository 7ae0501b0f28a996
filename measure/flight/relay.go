package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"

	"brackenfront/internal/protocol"
	"brackenfront/internal/standin"
)

// relay is a Flight server that passes on the streams of its nodes, one after the other, and does nothing else.
type relay struct {
	// UnimplementedFlightServiceServer rejects every call of Flight but DoGet.
	flight.UnimplementedFlightServiceServer
	// nodes are the Flight clients through which the relay reaches its nodes, one for each.
	nodes []flight.FlightServiceClient
	// searches is the number of searches so far; the ID of each search is made from it.
	searches atomic.Int64
}

// startRelay starts a relay for the streams of the first three nodes in this process, and returns a client of the relay. The function
// end closes the client and stops the relay.
func startRelay(nodes []*standin.ScriptedNode) (client flight.FlightServiceClient, end func(), err error) {
	var addrs []string
	for _, node := range nodes[:3] {
		addrs = append(addrs, node.Addr())
	}
	server, closeNodes, err := newRelayServer(addrs)
	if err != nil {
		return nil, nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	go server.Serve(ln)
	client, closeClient, err := standin.NewFlightClient(ln.Addr().String())
	return client, func() {
		closeClient()
		server.Stop()
		for _, closeNode := range closeNodes {
			closeNode()
		}
	}, err
}

// serveRelay listens on a free loopback port, prints the host:port on standard error, and serves a relay that passes on the streams of
// the nodes at addrs. It returns only with the error that stops it.
func serveRelay(addrs []string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server, _, err := newRelayServer(addrs)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "relay listen=%q\n", ln.Addr())
	return server.Serve(ln)
}

// newRelayServer makes the server of a relay for the streams of the nodes at the addresses, which does not serve yet. The functions in
// closeNodes close its connections to the nodes.
func newRelayServer(addrs []string) (server *grpc.Server, closeNodes []func() error, err error) {
	r := &relay{}
	for _, addr := range addrs {
		node, closeNode, err := standin.NewFlightClient(addr)
		if err != nil {
			return nil, nil, err
		}
		r.nodes = append(r.nodes, node)
		closeNodes = append(closeNodes, closeNode)
	}
	server = grpc.NewServer()
	flight.RegisterFlightServiceServer(server, r)
	return server, closeNodes, nil
}

// DoGet sends a search to all nodes at once, as the broker does, and passes on their streams in the order of the nodes. It ignores the
// ticket.
func (r *relay) DoGet(_ *flight.Ticket, out flight.FlightService_DoGetServer) error {
	id := fmt.Sprintf("r%d", r.searches.Add(1))
	var streams []flight.FlightService_DoGetClient
	for i, node := range r.nodes {
		stream, err := node.DoGet(out.Context(), &flight.Ticket{Ticket: protocol.AppendPartRequest(nil,
			protocol.PartRequest{ID: fmt.Sprintf("%s.%d", id, i), Shard: i, TimeoutSeconds: 10, SearchText: "q"})})
		if err != nil {
			return err
		}
		streams = append(streams, stream)
	}
	for _, stream := range streams {
		for {
			data, err := stream.Recv()
			if err == io.EOF {
				break
			} else if err != nil {
				return err
			}
			if err := out.Send(data); err != nil {
				return err
			}
		}
	}
	return nil
}
