package standin

import (
	"fmt"
	"net"
	"sync"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
)

// defaultRows is the number of rows of a part's table unless a test sets another.
const defaultRows = 3

// ScriptedNode is a stand-in node that follows a script, and speaks either frames or Flight.
type ScriptedNode struct {
	// Name is the node's name in discovery's list of nodes.
	Name string
	// Group is the number of the replica group that the node belongs to.
	Group int
	// SpeaksFlight says that the node speaks Flight; otherwise it speaks frames.
	SpeaksFlight bool
	// RowsPerPart is the number of rows of each part's table over Flight; defaultRows unless a test sets it before the first
	// attempt, as the table of a shard is made once.
	RowsPerPart int
	// ListedAsLeaving makes the result of DiscoveryEntry say that the node is leaving; false until a test sets it.
	ListedAsLeaving bool

	// script decides what the node does, and records what it receives.
	script *Script
	// listener accepts the connections of the node, also those for its Flight servers.
	listener net.Listener
	// server is the Flight server that accepts new connections, which replaceServer sets; nil for a node that speaks frames.
	server *grpc.Server
	// accepted passes accepted connections on to the Flight server that is in use; nil for a node that speaks frames.
	accepted chan net.Conn
	// tables caches the table that the node returns for each shard over Flight: it maps the shard (int) to a *protocol.Table.
	tables sync.Map

	// mu guards conns and server.
	mu sync.Mutex
	// conns is the set of the connections accepted since the last reset, closed ones included; all values are true.
	conns map[net.Conn]bool
}

// NewNode starts a node on loopback, at a port that is free, as NewNodeAt does.
func (s *Script) NewNode(name string, group int, overFlight bool) (*ScriptedNode, error) {
	return s.NewNodeAt("127.0.0.1:0", name, group, overFlight)
}

// NewNodeAt starts a node at an address, a host and port as net.Listen takes them. The node has the given name and replica group in
// discovery's list, and speaks Flight if overFlight is true, else frames. The error is the listener's.
func (s *Script) NewNodeAt(addr, name string, group int, overFlight bool) (*ScriptedNode, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	node := &ScriptedNode{
		Name:         name,
		Group:        group,
		SpeaksFlight: overFlight,
		RowsPerPart:  defaultRows,
		script:       s,
		listener:     ln,
		conns:        map[net.Conn]bool{},
	}
	if overFlight {
		node.accepted = make(chan net.Conn)
		node.replaceServer()
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			node.mu.Lock()
			node.conns[conn] = true
			node.mu.Unlock()
			if overFlight {
				node.accepted <- conn
			} else {
				go node.serveFrames(conn)
			}
		}
	}()
	return node, nil
}

// replaceServer starts a Flight server for the connections that are accepted from now on. It is called at the node's start, and for
// each fault "hit and bye": the server before it, if any, ends its connections in an orderly way.
func (n *ScriptedNode) replaceServer() {
	server := grpc.NewServer(grpc.MaxConcurrentStreams(1 << 16))
	flight.RegisterFlightServiceServer(server, &flightService{node: n})
	n.mu.Lock()
	old := n.server
	n.server = server
	n.mu.Unlock()
	go server.Serve(&sharedListener{Listener: n.listener, node: n, ended: make(chan struct{})})
	if old != nil {
		go old.GracefulStop()
	}
}

// Addr returns the host and port at which the node listens.
func (n *ScriptedNode) Addr() string { return n.listener.Addr().String() }

// DiscoveryEntry returns the node's entry, a JSON object, for a list of discovery.
func (n *ScriptedNode) DiscoveryEntry() string {
	health := "active"
	speaks := "frames"
	if n.ListedAsLeaving {
		health = "leaving"
	}
	if n.SpeaksFlight {
		speaks = "flight"
	}
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"k","block":%d,"health":%q,"share":1.0,"born_ms":0,"speaks":%q}`,
		n.Name, n.Addr(), n.Group, health, speaks)
}

// Close shuts the node down permanently: it refuses new connections and resets the open ones.
func (n *ScriptedNode) Close() {
	n.listener.Close()
	n.ResetConnections()
	n.mu.Lock()
	server := n.server
	n.mu.Unlock()
	if server != nil {
		server.Stop()
	}
}

// ResetConnections resets all open connections, as a node that crashes does; the node goes on to accept new ones.
func (n *ScriptedNode) ResetConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(n.conns)
}

// sharedListener is the listener of one Flight server. Closing it ends that server while the node goes on to listen, so that
// another server can take its place.
type sharedListener struct {
	// Listener is the node's listener, of which only the method Addr is used.
	net.Listener
	// node is the node that accepts the connections.
	node *ScriptedNode
	// closeOnce makes further calls of Close do nothing, so that the channel ended is closed only once.
	closeOnce sync.Once
	// ended is a channel that Close closes, to end a waiting Accept.
	ended chan struct{}
}

// Accept returns the next connection that the node has accepted, and net.ErrClosed after Close.
func (s *sharedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-s.node.accepted:
		return conn, nil
	case <-s.ended:
		return nil, net.ErrClosed
	}
}

// Close ends the server's part of the listener. It never fails.
func (s *sharedListener) Close() error {
	s.closeOnce.Do(func() { close(s.ended) })
	return nil
}
