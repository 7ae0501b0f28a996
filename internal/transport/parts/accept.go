package parts

import (
	"errors"
	"slices"
	"syscall"
)

// transientAcceptErrors are the errors of accept(2) that concern one connection or one moment only: a shortage of memory, and
// network errors that the kernel reports for the connection that was about to be accepted.
var transientAcceptErrors = []syscall.Errno{
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.ECONNABORTED,
	syscall.EPERM,
	syscall.EPROTO,
	syscall.ENOPROTOOPT,
	syscall.ENETDOWN,
	syscall.ENETUNREACH,
	syscall.EHOSTDOWN,
	syscall.EHOSTUNREACH,
	syscall.ENONET,
	syscall.EOPNOTSUPP,
}

// TransientAcceptError reports whether an error of accepting a connection concerns only that connection or that moment, so that the
// listener can go on accepting.
func TransientAcceptError(err error) bool {
	return slices.ContainsFunc(transientAcceptErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}
