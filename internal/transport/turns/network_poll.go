package turns

import (
	"errors"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// networkPoll waits until the Go runtime has asked the system for sockets that are ready. With one processor it does so only when no
// goroutine can run, or some ten milliseconds after it last did.
type networkPoll struct {
	// file is an event counter of the system (eventfd), which the runtime asks for along with the sockets.
	file *os.File
	// rawConn gives access to its descriptor.
	rawConn syscall.RawConn
}

// newNetworkPoll returns a networkPoll, which has to be closed. The error is that of the system.
func newNetworkPoll() (*networkPoll, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("eventfd", err)
	}
	file := os.NewFile(uintptr(fd), "eventfd")
	rawConn, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &networkPoll{file, rawConn}, nil
}

// eventBytes is the length of what is written to and read from an event counter: a number.
const eventBytes = 8

// wait makes the counter ready and waits until the runtime has noticed. The goroutines of sockets that were ready before can run by
// then. It must not be called concurrently, and fails once close was called.
func (p *networkPoll) wait() error {
	signalled := false
	var failed error
	err := p.rawConn.Read(func(fd uintptr) (done bool) {
		if !signalled {
			signalled = true
			_, failed = unix.Write(int(fd), []byte{eventBytes - 1: 1})
			return failed != nil
		}
		var count [eventBytes]byte
		unix.Read(int(fd), count[:])
		return true
	})
	return errors.Join(err, failed)
}

// close frees the descriptor; a wait in progress fails.
func (p *networkPoll) close() { p.file.Close() }
