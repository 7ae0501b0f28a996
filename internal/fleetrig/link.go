package fleetrig

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The two directions of a Link, as indices of its per-direction fields.
const (
	// towardsTarget is the index of the direction from the side that dials to the target.
	towardsTarget = 0
	// fromTarget is the index of the direction from the target back to the side that dials.
	fromTarget = 1
)

// Link is a TCP relay for one directed pair of processes: one of them dials the relay's address to reach the other. The faults that
// it injects may be changed at any time, from any goroutine.
type Link struct {
	// listener accepts the connections that are to be relayed, at the address that Addr returns.
	listener net.Listener
	// target is the host:port that connections are relayed to.
	target string
	// held says, by direction (towardsTarget or fromTarget), that bytes are not passed on while the connections stay open. Hold sets it.
	held [2]atomic.Bool
	// delay is how long each chunk of bytes (what one read returns) waits before it is passed on, in nanoseconds. SetDelay sets it.
	delay atomic.Int64
	// corruptOneIn is n if one in n chunks is made corrupt, by direction (towardsTarget or fromTarget): a bit is flipped, the second
	// half is dropped, or the chunk is sent twice. 0 for none. CorruptOneIn sets it.
	corruptOneIn [2]atomic.Int64
	// corruptible counts the chunks, of both directions, that passed while corruption was on; it determines which of them are made corrupt,
	// and how.
	corruptible atomic.Int64
	// refusing says that new connections are closed at once instead of being relayed. SetRefusing sets it.
	refusing atomic.Bool
	// refused counts the new connections that were closed at once because refusing was set.
	refused atomic.Int64
	// mu guards the fields connections and closed.
	mu sync.Mutex
	// connections are the open connections of both sides, two for each relayed one.
	connections map[net.Conn]bool
	// closed says that Close was called.
	closed bool
	// goroutines are those that accept and relay connections.
	goroutines sync.WaitGroup
}

// NewLink starts a relay to the address target, on a loopback port of its own. It returns an error if it cannot listen. The caller
// has to call Close.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, connections: map[net.Conn]bool{}}
	l.goroutines.Go(l.accept)
	return l, nil
}

// Addr returns the host:port to dial in place of the target.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Hold sets whether the link holds bytes back instead of passing them on: outgoing for bytes to the target, incoming for bytes from it.
// Connections stay open, and held bytes are passed on later.
func (l *Link) Hold(outgoing, incoming bool) {
	l.held[towardsTarget].Store(outgoing)
	l.held[fromTarget].Store(incoming)
}

// SetDelay delays each chunk of bytes (what one read returns) by d, in both directions; 0 for no delay.
func (l *Link) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// CorruptOneIn makes one in n chunks of bytes (what one read returns) corrupt, in both directions: a bit is flipped, the second half is
// dropped, or the chunk is sent twice. 0 for none.
func (l *Link) CorruptOneIn(n int) {
	l.corruptOneIn[towardsTarget].Store(int64(n))
	l.corruptOneIn[fromTarget].Store(int64(n))
}

// SetRefusing makes the relay close new connections at once, as if the target's process did not run, or accept them again. When
// it begins to refuse, it also closes the open connections.
func (l *Link) SetRefusing(refusing bool) {
	if l.refusing.Store(refusing); refusing {
		l.Reset()
	}
}

// Refused returns the number of new connections that were closed at once because of SetRefusing, since the start of the relay.
func (l *Link) Refused() int64 { return l.refused.Load() }

// OpenConnections returns the number of connections that are relayed at present.
func (l *Link) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections) / 2
}

// Reset closes all connections that are open now; new ones are relayed again.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		conn.Close()
	}
}

// Close stops the relay, closes its connections and waits for its goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.Reset()
	l.goroutines.Wait()
}

// track adds an open connection to connections and returns true; if the relay is closed, it closes the connection and returns false.
func (l *Link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		conn.Close()
		return false
	}
	l.connections[conn] = true
	return true
}

// closeAndForget closes a connection and removes it from connections, to which track has added it.
func (l *Link) closeAndForget(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	delete(l.connections, conn)
	l.mu.Unlock()
}

// accept accepts connections until the listener is closed, and relays each in a goroutine of its own.
func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.refusing.Load() {
			l.refused.Add(1)
			client.Close()
			continue
		}
		if !l.track(client) {
			return
		}
		l.goroutines.Go(func() {
			defer l.closeAndForget(client)
			// A host that is cut off does not answer a dial either.
			if !l.waitWhileHeld(client, towardsTarget) {
				return
			}
			server, err := net.DialTimeout("tcp", l.target, 2*time.Second)
			if err != nil || !l.track(server) {
				return
			}
			defer l.closeAndForget(server)
			var returning sync.WaitGroup
			returning.Go(func() {
				l.relay(server, client, fromTarget)
				client.Close()
				server.Close()
			})
			l.relay(client, server, towardsTarget)
			client.Close()
			server.Close()
			returning.Wait()
		})
	}
}

// waitWhileHeld blocks while bytes in a direction (towardsTarget or fromTarget) are held. It returns false if the connection or the
// relay was closed meanwhile.
func (l *Link) waitWhileHeld(conn net.Conn, direction int) bool {
	for l.held[direction].Load() {
		time.Sleep(2 * time.Millisecond)
		l.mu.Lock()
		open := l.connections[conn] && !l.closed
		l.mu.Unlock()
		if !open {
			return false
		}
	}
	return true
}

// relay copies bytes between two connections in one direction (towardsTarget or fromTarget), with the faults that are set, until one
// of them is closed.
func (l *Link) relay(from, to net.Conn, direction int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !l.waitWhileHeld(from, direction) {
			return
		}
		if delay := l.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		chunk := buf[:n]
		if oneIn := l.corruptOneIn[direction].Load(); oneIn > 0 {
			switch k := l.corruptible.Add(1); {
			case k%oneIn != 0:
			case k/oneIn%3 == 0:
				chunk[n/2] ^= 4
			case k/oneIn%3 == 1:
				chunk = chunk[:n/2]
			default:
				chunk = append(append([]byte(nil), chunk...), chunk...)
			}
		}
		if _, err := to.Write(chunk); err != nil {
			return
		}
	}
}
