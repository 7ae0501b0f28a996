package fleet

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLog is the logger of the Raft library. It logs information and warnings at the debug level; its Fatal methods panic
// instead of ending the process, and member.loop returns the panic as an error.
type raftLog struct {
	// Logger is the logger of the process.
	*logrus.Logger
}

// Info logs an informational message of the Raft library at the debug level.
func (l raftLog) Info(v ...any) { l.Debug(v...) }

// Infof logs a formatted informational message of the Raft library at the debug level.
func (l raftLog) Infof(format string, v ...any) { l.Debugf(format, v...) }

// Warning logs a warning of the Raft library at the debug level.
func (l raftLog) Warning(v ...any) { l.Debug(v...) }

// Warningf logs a formatted warning of the Raft library at the debug level.
func (l raftLog) Warningf(format string, v ...any) { l.Debugf(format, v...) }

// Fatal panics with the message, in place of ending the process; member.loop returns the panic as an error.
func (l raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics with the formatted message, in place of ending the process; member.loop returns the panic as an error.
func (l raftLog) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics with the message; member.loop returns the panic as an error.
func (l raftLog) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics with the formatted message; member.loop returns the panic as an error.
func (l raftLog) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
