// Package fleet connects this process to the other brokers of its fleet, over sockets, disks and clocks: a listener for
// the fleet alone, membership of the fleet's council where this broker is configured as one of its voters, and this
// process's lease session with the council. The decisions are made in packages without I/O (lease, and council's
// Replica); this package carries them out. Searches never wait for any of it.
//
// Terms of this package:
//   - The council is the brokers that vote on the fleet's agreed state; a member is one of them, as this process sees it.
//   - A client is a broker, or an operator's command, that sends requests to another broker over the connection that it has
//     opened; it is not a client that sends searches. A peer is another member, or a broker that may become one.
//   - A session is what the council knows this process by; it holds the leases and shares of budgets. The session client
//     (sessionClient) keeps the session, and a connection to one member; the client's goroutine runs it.
//   - A lease, its places, its token (also called fencing token: targets refuse operations with a lower one) and its note
//     (bytes that its holder stores with it at the council) are as in package lease.
//   - The hold time-out is the time for which one renewal keeps the leases of a session valid (lease.Config.HoldTimeout).
//   - A task is a function that runs while this broker holds the lease of that name. An elected task is one that
//     several brokers try to run again and again, so that one of them always does.
//   - A tick is one period of Config.Tick.
//   - A disk is a member's durable storage of the council's state. It is blank while it holds none, and its storage id is a
//     random number that it has from its creation on. Its write count is the number of durable writes since then.
//   - The founding snapshot is the first state of a council, with the list of its voters. A learner is a member without a
//     vote, which receives the council's log.
//   - A hello is the message of a connection's handshake in which a broker describes itself; the remote hello is the other
//     side's.
//   - A health update says that a node is to be probed, is being probed, or is healthy or not; brokers of a zone exchange them.
//     The zone's prober is the broker that probes nodes for its whole zone; the prober (zoneProber) is a broker's own part.
//   - The floor of a budget is what a broker may use without the council; its share is what the council grants it beyond
//     that. The published shares are the amounts that Node.BudgetShares returns.
//   - The plan of a rolling restart is the list of the brokers to restart, and how far that is done. A broker's turn is the
//     time at which it is ordered to restart or to reload its settings. An instruction is what the operator asks of a
//     rolling restart.
package fleet

import (
	"context"
	"crypto/rand"
	"net"

	"golang.org/x/sys/unix"

	"brackenfront/internal/fleet/council"
)

// Environment holds the functions by which the fleet reaches what is outside the process: clock, network, disk and random
// numbers. A test can replace any of them, to make the n-th call of a kind fail or to let a clock run at a wrong rate.
type Environment struct {
	// Now reads this process's clock: seconds since a fixed moment (in the real environment the machine's start), including
	// time during which the machine was asleep. The error of its rate is bounded by lease.Config.MaxClockDrift.
	Now func() float64
	// Dial opens a connection to an address of the form host:port.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Listen opens a listener on an address of the form host:port.
	Listen func(addr string) (net.Listener, error)
	// Open opens the storage of the council's state in a directory. aside is true if the storage in the directory was found
	// to be a copy of another one; it was then renamed (SetAside), and the returned storage is a new, blank one.
	Open func(dir string) (storage council.StableStorage, aside bool, err error)
	// SetAside renames the storage in the council's directory, so that the next Open returns a new, blank storage.
	SetAside func(dir string) error
	// Random fills its argument with cryptographically secure random bytes.
	Random func([]byte)
}

// RealEnvironment returns the environment of the machine itself.
func RealEnvironment() Environment {
	var dialer net.Dialer
	return Environment{
		Now: func() float64 {
			var t unix.Timespec
			// ClockGettime fails only for an unknown clock.
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
			return float64(t.Sec) + float64(t.Nsec)/1e9
		},
		Dial:     func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
		Listen:   func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		Open:     council.OpenDirectory,
		SetAside: council.SetAside,
		Random:   func(b []byte) { rand.Read(b) },
	}
}
