package faultcheck

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// timestampedConn is a connection whose reads also return when the system received the last byte that they return. Without that, on a
// busy machine, the late scheduling of a stand-in's own goroutine would be taken for a late frame or answer of the broker.
type timestampedConn struct {
	// TCPConn is the connection itself.
	*net.TCPConn
	// raw provides access to the connection's socket.
	raw syscall.RawConn
}

// newTimestampedConn returns a timestampedConn of the connection, after it has the system record when the connection's data arrives.
func newTimestampedConn(c *net.TCPConn) (*timestampedConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err == nil {
		err = optionErr
	}
	return &timestampedConn{c, raw}, err
}

// readTimestamped reads into b and returns the number of bytes, and when the last of them arrived (the current time if the system does not
// report that). At the end of the connection it returns io.EOF.
func (s *timestampedConn) readTimestamped(b []byte) (n int, at time.Time, err error) {
	// The control message holds a timespec of two 8-byte fields.
	control := make([]byte, unix.CmsgSpace(2*8))
	var size int
	var receiveErr error
	err = s.raw.Read(func(fd uintptr) bool {
		n, size, _, _, receiveErr = unix.Recvmsg(int(fd), b, control, 0)
		return receiveErr != unix.EAGAIN && receiveErr != unix.EINTR
	})
	at = time.Now()
	switch {
	case err != nil:
		return 0, at, err
	case receiveErr != nil:
		return 0, at, receiveErr
	case n == 0 && len(b) > 0:
		return 0, at, io.EOF
	}
	if stamp, ok := kernelTimestamp(control[:size]); ok && stamp.Before(at) {
		at = stamp
	}
	return n, at, nil
}

const (
	// recordingTimeout bounds how long the system may take to begin to record timestamps; after it, keepTimestamps returns an error.
	recordingTimeout = 5 * time.Second
	// unreadTime is how long a byte stays unread to show whether the system has recorded when it arrived.
	unreadTime = 2 * time.Millisecond
)

// keepTimestamps has the system record when data arrives, from its return until the process ends. It works once, and then returns the same
// results: the connections that it keeps open for that, and an error. The system records while any connection asks for it, and begins with
// a delay: without an earlier connection that asks, the first data on a scenario's connections would be dated by when a stand-in read it.
var keepTimestamps = sync.OnceValues(func() ([]net.Conn, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := listener.Accept()
	if err != nil {
		return nil, err
	}
	stamped, err := newTimestampedConn(far.(*net.TCPConn))
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(recordingTimeout); time.Now().Before(end); {
		if _, err := near.Write([]byte{0}); err != nil {
			return nil, err
		}
		time.Sleep(unreadTime)
		beforeRead := time.Now()
		_, at, err := stamped.readTimestamped(make([]byte, 1))
		if err != nil {
			return nil, err
		}
		if at.Before(beforeRead) {
			return []net.Conn{near, far}, nil
		}
	}
	return nil, errors.New("the system records no timestamps")
})

// kernelTimestamp returns the time of arrival that the system states in the control messages of a read; ok is false if it states none.
func kernelTimestamp(control []byte) (at time.Time, ok bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return at, false
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SCM_TIMESTAMPNS && len(m.Data) >= 16 {
			seconds, nanoseconds := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[8:])
			return time.Unix(int64(seconds), int64(nanoseconds)), true
		}
	}
	return at, false
}
