package parts

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection to addr, as net.Dialer.DialContext does: network is "tcp", addr is host:port, and the dial fails once
// ctx has ended. Close of a connection that it returns must end a Write that is in progress on it.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// minRetransmissionTimeout is the shortest time after which the system sends a segment again that a node's machine has not
// acknowledged. Linux's default of 200 ms is longer than a request may take to arrive after it stated the time that its client has left.
// It must be longer than the 40 ms by which a machine may delay an acknowledgement: 44 ms is longer by one tick of a Linux kernel
// with 250 ticks a second.
const minRetransmissionTimeout = 44 * time.Millisecond

// maxReceiveWindow is the largest TCP receive window, in bytes, that this machine advertises on connections to nodes. By it Linux chooses
// a window scale of 4 bytes, which has to be less than the shortest frame (a probe), so that a reset (DiscardUnsentOnClose) also ends the
// connection on a node's machine that has shrunk its window. Such a machine ignores a reset whose sequence number lies outside its
// window. Linux gives the reset the number that follows all sent bytes; only if these exceed the window by the window scale or more does
// it take the number at the window's end.
const maxReceiveWindow = 256<<10 - 1

// NodeDialer returns a DialFunc that opens TCP connections to nodes and sets their socket options (minRetransmissionTimeout and
// maxReceiveWindow). connectTimeout bounds each dial. TCP keepalive is off: the pools of these connections bound how long one is idle.
func NodeDialer(connectTimeout time.Duration) DialFunc {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setSocketOptions}
	return dialer.DialContext
}

// setSocketOptions sets the options of connections to nodes on a socket that is about to be connected; net.Dialer calls it. Linux before
// version 6.15 has no option for minRetransmissionTimeout, and keeps its default.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_RTO_MIN_US, int(minRetransmissionTimeout.Microseconds()))
		unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, maxReceiveWindow)
	})
}

// OutOfDescriptors reports whether an error means that this process or this machine has no free file descriptor.
func OutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// DialWithRetry dials addr (host:port) by TCP, and dials again while no file descriptor is free. closeUnused closes up to most
// unused connections of the process and returns how many it closed; pause is the time between two dials; a dial that ends
// maxDuration or more after the first one began is the last. RetryWithoutDescriptors says when closeUnused is called.
func (dial DialFunc) DialWithRetry(ctx context.Context, addr string, closeUnused func(most int) int, pause, maxDuration time.Duration) (conn net.Conn, err error) {
	err = RetryWithoutDescriptors(ctx, closeUnused, pause, maxDuration, func() (err error) {
		conn, err = dial(ctx, "tcp", addr)
		return err
	})
	return conn, err
}

// RetryWithoutDescriptors calls open, and calls it again while it fails for lack of a file descriptor, until maxDuration has
// passed or ctx has ended; it returns the error of the last call, or nil. This guards against counting a shortage of this process
// as a failure of the other side. closeUnused closes up to most unused connections of the process and returns how many it closed.
// It is called with 1 before each repeat, followed by a wait of pause in which that connection can end. It is called with 0 before
// the first call, to close only what exceeds the configured number of connections, because the number of descriptors itself
// may have no limit.
func RetryWithoutDescriptors(ctx context.Context, closeUnused func(most int) int, pause, maxDuration time.Duration, open func() error) error {
	began := time.Now()
	closeUnused(0)
	for {
		err := open()
		if !OutOfDescriptors(err) || time.Since(began) >= maxDuration || ctx.Err() != nil {
			return err
		}
		closeUnused(1)
		time.Sleep(pause)
	}
}

// DiscardUnsentOnClose makes the connection's Close reset the connection and drop the bytes that the system has accepted from a Write
// and not yet sent, or not yet sent again after the node's machine dropped them. By default the system goes on sending them after the
// close: a request could reach its node while the next attempt is already in flight elsewhere. Connections without SetLinger are left
// as they are.
func DiscardUnsentOnClose(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// SetLinger fails only where the connection has ended.
		tcp.SetLinger(0)
	}
}
