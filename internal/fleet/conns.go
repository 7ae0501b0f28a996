package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"brackenfront/internal/fleet/wire"
)

// dialTimeout is the longest time that opening a connection to another broker may take, including the handshake.
const dialTimeout = 2 * time.Second

// readTimeoutMargin is added to twice lease.Config.TTL, the time for which the council keeps a session that is not renewed;
// a client's connection that is silent for longer than the sum is closed.
const readTimeoutMargin = 10 * time.Second

// addConn adds a connection to conns, so that shutDown closes it. If the node is closing (ctx has ended) or has maxConns
// connections already, it closes the connection instead and returns false.
func (n *Node) addConn(ctx context.Context, conn *wire.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil || len(n.conns) >= maxConns {
		conn.Close()
		return false
	}
	n.conns[conn] = true
	return true
}

// dropConn closes a connection and removes it from conns.
func (n *Node) dropConn(conn *wire.Conn) {
	conn.Close()
	n.mu.Lock()
	delete(n.conns, conn)
	n.mu.Unlock()
}

// dial opens a connection for the given purpose to an address, host:port, and performs the handshake, within dialTimeout. It
// returns the connection and the other side's hello.
func (n *Node) dial(ctx context.Context, addr string, purpose wire.ConnPurpose) (*wire.Conn, wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := n.environment.Dial(ctx, addr)
	if err != nil {
		return nil, wire.Hello{}, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	conn, remoteHello, err := wire.Dial(raw, n.keys, n.hello(purpose))
	if err != nil {
		raw.Close()
		n.countEvent("dial " + wire.ReasonCode(err))
		return conn, remoteHello, err
	}
	n.noteDisk(ctx, remoteHello)
	return conn, remoteHello, nil
}

// acceptConns accepts connections until ctx ends or the listener is closed, and serves each in a goroutine of its own.
func (n *Node) acceptConns(ctx context.Context) {
	for {
		raw, err := n.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			n.countEvent("accept failed")
			// A lack of file descriptors is temporary: accept again after a tick.
			select {
			case <-ctx.Done():
				return
			case <-time.After(n.config.Tick):
			}
			continue
		}
		n.mu.Lock()
		full := n.handshakes >= maxHandshakes || len(n.conns) >= maxConns
		if !full {
			n.handshakes++
		}
		n.mu.Unlock()
		if full {
			raw.Close()
			n.countEvent("crowded")
			continue
		}
		n.goroutines.Go(func() {
			stop := context.AfterFunc(ctx, func() { raw.Close() })
			conn, remoteHello, err := wire.Accept(raw, n.keys, n.hello(0))
			stop()
			n.mu.Lock()
			n.handshakes--
			n.mu.Unlock()
			if err != nil {
				raw.Close()
				n.countEvent("refused " + wire.ReasonCode(err))
				return
			}
			if !n.addConn(ctx, conn) {
				return
			}
			defer n.dropConn(conn)
			n.noteDisk(ctx, remoteHello)
			if remoteHello.Purpose == wire.PurposePeer && n.member != nil {
				err = n.member.servePeer(ctx, conn, remoteHello)
			} else if remoteHello.Purpose == wire.PurposeClient {
				err = n.serveClient(ctx, conn, remoteHello)
			}
			if err != nil {
				n.countEvent("ended " + wire.ReasonCode(err))
			}
		})
	}
}

// serveClient replies to the requests on a client's connection until the connection ends. remoteHello is how the client
// described itself in the handshake. It returns the connection's error, which wire.ReasonCode classifies, or nil if a request
// has to go to the goroutine of this broker's member (member.run) and that, or ctx, has ended.
func (n *Node) serveClient(ctx context.Context, conn *wire.Conn, remoteHello wire.Hello) error {
	client := newClientConn(conn, remoteHello.Broker)
	closed := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { client.write(closed) })
	defer func() {
		close(closed)
		writer.Wait()
		if n.member != nil {
			n.member.do(ctx, func() { n.member.removeClient(client) })
		}
	}()
	readTimeout := time.Duration(2*n.config.Terms.TTL*float64(time.Second)) + readTimeoutMargin
	for {
		conn.SetReadTimeout(readTimeout)
		kind, raw, err := conn.Read(maxClientFrameBytes)
		if err != nil {
			return err
		}
		var request clientRequest
		if err := wire.Decode(raw, &request); err != nil || kind != frameRequest {
			return wire.ErrMalformed
		}
		switch {
		case request.State:
			state := n.state()
			client.queueReply(clientReply{Handle: request.Handle, State: &state})
		case request.Order != nil:
			reply := clientReply{Handle: request.Handle}
			if err := n.takeTurn(ctx, *request.Order); err != nil {
				reply.Err = err.Error()
			}
			client.queueReply(reply)
		case n.member == nil && request.Status:
			client.queueReply(clientReply{Handle: request.Handle, Status: n.Status()})
		case n.member == nil:
			client.queueReply(clientReply{Handle: request.Handle, Err: "this broker has no seat in the council"})
		default:
			if !n.member.do(ctx, func() { n.member.handleRequest(client, &request) }) {
				return nil
			}
		}
	}
}
