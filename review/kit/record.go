// Package kit has what the cases of the review share: stand-ins for nodes, discovery and clients that follow the protocol page,
// the start of the project's programs, and the record of a run. It is used by the programs below review/ only.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of one run: a text file with a line for each thing that was sent, answered or run. It may be used from
// any goroutine.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// NewRecord creates the file at path, in place of an earlier one.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, begun: time.Now()}, nil
}

// Line writes one line, with the time since the start of the run.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the disruption is to be played: it is unless the environment has TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
