package fleet

import (
	"context"
	"sync"
	"time"

	"brackenfront/healthprobes"
	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
	"brackenfront/lease"
)

// memberConn is the session client's connection to one member of the council.
type memberConn struct {
	// conn is the connection, whose handshake is done.
	conn *wire.Conn
	// queue holds the requests that wait to be sent, at most maxQueuedFrames.
	queue chan clientRequest
	// closed is closed when the connection has ended, so that its goroutines end and the client dials again.
	closed chan struct{}
}

// send queues a request. If the queue is full, the member has stopped reading, and the connection is closed.
func (c *memberConn) send(request clientRequest) {
	select {
	case c.queue <- request:
	default:
		c.conn.Close()
	}
}

// dial starts a goroutine that connects to the council's leader if a member has stated the leader's address, or else to
// the next of the council's brokers in turn. The client's goroutine then calls connected with the result. The attempt ends
// early, without a connection, if ctx ends. dial does nothing while another dial is in progress, and before nextDial. Only
// the client's goroutine may call it.
func (c *sessionClient) dial(ctx context.Context) {
	if c.dialing || time.Now().Before(c.nextDial) {
		return
	}
	addr := c.leaderAddr
	if c.leaderAddr = ""; addr == "" {
		addr = c.node.config.Council[c.nextMember%len(c.node.config.Council)].Addr
		c.nextMember++
	}
	c.dialing = true
	c.node.goroutines.Go(func() {
		conn, _, err := c.node.dial(ctx, addr, wire.PurposeClient)
		ok := err == nil && c.node.addConn(ctx, conn)
		if !c.do(func() { c.connected(ctx, conn, ok) }) && ok {
			c.node.dropConn(conn)
		}
	})
}

// connected handles the result of a dial. If ok, conn is a new connection, for which it starts the goroutines;
// otherwise it delays the next dial by a tick. Only the client's goroutine may call it.
func (c *sessionClient) connected(ctx context.Context, conn *wire.Conn, ok bool) {
	c.dialing = false
	if !ok {
		c.nextDial = time.Now().Add(c.node.config.Tick)
		return
	}
	toMember := &memberConn{conn, make(chan clientRequest, maxQueuedFrames), make(chan struct{})}
	c.conn = toMember
	c.resend = true
	c.waitingSince = 0
	if c.node.prober != nil {
		// Subscribes to the health updates of the zone.
		toMember.send(clientRequest{HealthUpdates: &HealthUpdates{Zone: c.node.config.Zone}})
	}
	var writer sync.WaitGroup
	writer.Go(toMember.writeRequests)
	c.node.goroutines.Go(func() {
		defer c.node.dropConn(conn)
		c.readFrames(toMember)
		close(toMember.closed)
		conn.Close()
		writer.Wait()
		// Makes the client's goroutine notice the end of the connection at once.
		c.do(func() {})
	})
}

// writeRequests sends the queued requests until a write fails or the connection has ended.
func (c *memberConn) writeRequests() {
	for {
		select {
		case request := <-c.queue:
			if c.conn.Write(frameRequest, wire.Encode(request)) != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// readFrames reads frames from the connection source and has them handled: replies and grants by the client's goroutine, and
// health updates by the prober's. It returns when the connection ends or a frame cannot be used.
func (c *sessionClient) readFrames(source *memberConn) {
	for {
		kind, raw, err := source.conn.Read(maxClientFrameBytes)
		var handle func()
		switch {
		case err != nil:
		case kind == frameReply:
			var reply clientReply
			if err = wire.Decode(raw, &reply); err == nil {
				handle = func() { c.handleReply(source, reply) }
			}
		case kind == frameGrant:
			var grant lease.Grant
			if err = wire.Decode(raw, &grant); err == nil {
				handle = func() {
					if grant.Name == "" {
						c.session.CallSoon()
						return
					}
					c.session.HandleGrant(c.node.environment.Now(), grant)
				}
			}
		case kind == frameHealthUpdates && c.node.prober != nil:
			var updates []healthprobes.Update
			if err = wire.Decode(raw, &updates); err == nil {
				c.node.prober.receive(updates)
				continue
			}
		default:
			err = wire.ErrMalformed
		}
		if err != nil {
			return
		}
		if !c.do(handle) {
			source.conn.Close()
		}
	}
}

// disconnect closes the connection, if there is one. Only the client's goroutine may call it.
func (c *sessionClient) disconnect() {
	if c.conn != nil {
		c.conn.conn.Close()
		c.conn = nil
		c.waitingSince = 0
	}
}

// handleReply handles a reply that came on the connection source, and ignores it if that is no longer the client's
// connection. If it has no answer of the council, and another error than council.ErrBusy, the member does not lead: the client
// then disconnects and dials the leader, if the reply names it, or else another member. Only the client's goroutine may call it.
func (c *sessionClient) handleReply(source *memberConn, reply clientReply) {
	if source != c.conn {
		return
	}
	c.waitingSince = 0
	switch {
	case reply.Answer != nil:
		c.session.HandleAnswer(c.node.environment.Now(), *reply.Answer)
	case reply.Err == council.ErrBusy.Error():
	default:
		// The member does not lead the council.
		c.node.countEvent("redirected")
		// An address in this broker's own settings goes before the one that the member names.
		for _, configured := range c.node.config.Council {
			if configured.Broker == reply.Leader {
				reply.LeaderAddr = configured.Addr
			}
		}
		c.leaderAddr = reply.LeaderAddr
		if reply.LeaderAddr == "" {
			// There is no leader, or the member does not know it.
			c.nextDial = time.Now().Add(c.node.config.Tick)
		}
		c.disconnect()
	}
}

// RenewalBytes returns how many bytes one renewal of a lease session without other content takes on the connection:
// those of the request's frame and of the reply's, each with FrameOverheadBytes.
func RenewalBytes() (requestBytes, replyBytes int) {
	call := lease.Call{Session: lease.ID{1}, Number: 1 << 20, SeenToken: 1 << 41, Attempt: 1 << 20}
	answer := lease.Answer{Session: call.Session, Number: call.Number, Attempt: call.Attempt, Status: lease.Done, LastToken: 1 << 41, Now: 1e6 + 0.1}
	request := clientRequest{Handle: call.Attempt, Call: &call}
	reply := clientReply{Handle: call.Attempt, Answer: &answer}
	return wire.FrameOverheadBytes + len(wire.Encode(request)), wire.FrameOverheadBytes + len(wire.Encode(reply))
}
