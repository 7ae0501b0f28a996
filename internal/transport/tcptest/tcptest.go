// Package tcptest helps tests to observe what the operating system does with TCP connections. Only tests import it.
package tcptest

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// waitTimeout is how long AwaitTrue waits for a condition that has to become true.
	waitTimeout = 20 * time.Second
	// pollPause is the pause between two checks of such a condition.
	pollPause = time.Millisecond
)

// SmallBufferBytes is the size in bytes of a receive buffer that is made small, so that it has no room for what a test sends.
const SmallBufferBytes = 4096

// Info returns what the system reports of a connection (TCP_INFO), and an error if this end of the connection is closed.
func Info(conn net.Conn) (info *unix.TCPInfo, err error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}

// MustInfo returns what Info does, and fails the test on an error.
func MustInfo(t testing.TB, conn net.Conn) *unix.TCPInfo {
	t.Helper()
	info, err := Info(conn)
	if err != nil {
		t.Fatal(err)
	}
	return info
}

// AwaitTrue waits until the condition holds, and fails the test if it does not within 20 seconds; what describes the condition in the
// failure message.
func AwaitTrue(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// AwaitReset waits until the connection whose end is conn has been ended by a reset from the other end, though nothing is read from conn.
func AwaitReset(t testing.TB, conn net.Conn) {
	t.Helper()
	AwaitTrue(t, "the machine has the reset", func() bool {
		info, err := Info(conn)
		return err == nil && info.State == unix.BPF_TCP_CLOSE
	})
}
