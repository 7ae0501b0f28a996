// Package kit2 holds the cases of the second review: stand-ins for nodes, clients and discovery, and what each case does with
// them. The commands in review/6 to review/10 run one case each.
package kit2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held       = 0
	broken     = 1
	couldNotDo = 2
)

// run is one run of a case.
type run struct {
	// trouble is false with TROUBLE=0.
	trouble bool
	// folder is a temporary folder.
	folder  string
	began   time.Time
	mu      sync.Mutex
	out     *os.File
	brokers []*broker
}

// note writes a line into the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// path returns the path of a file in the temporary folder.
func (r *run) path(name string) string { return filepath.Join(r.folder, name) }

// start starts a broker, which ends with the case.
func (r *run) start(name, command, listen, config string) (*broker, error) {
	b, err := startBroker(r.folder, name, command, listen, config)
	if b != nil {
		r.mu.Lock()
		r.brokers = append(r.brokers, b)
		r.mu.Unlock()
		r.note("started %s: %s, listens on %s, pid %d", name, command, listen, b.cmd.Process.Pid)
	}
	return b, err
}

var cases = map[string]func(*run) (int, error){
	"head-flood":        headFlood,
	"drain-after-pause": drainAfterPause,
	"two-councils":      twoCouncils,
	"effect-after-gap":  effectAfterGap,
	"term-pause":        termPause,
}

// RunCase runs the case of that name once and returns its exit status: 1 if the rule was broken, 0 if it held, 2 if it could not
// run. The first argument of the command line is the path of the record; ROOT in the environment is the repository's root.
// TROUBLE=0 leaves out the disruption.
func RunCase(name string) int {
	if len(os.Args) != 2 || cases[name] == nil || os.Getenv("ROOT") == "" {
		fmt.Fprintln(os.Stderr, "usage: ROOT=FOLDER COMMAND RECORD")
		return couldNotDo
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotDo
	}
	defer os.RemoveAll(folder)
	out, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotDo
	}
	defer out.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: folder, began: time.Now(), out: out}
	end := func() {
		r.mu.Lock()
		brokers := r.brokers
		r.mu.Unlock()
		for _, b := range brokers {
			b.kill()
			if raw, err := os.ReadFile(b.log); err == nil && os.Getenv("KEEP_LOGS") != "" {
				os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), b.name+".log"), raw, 0o600)
			}
		}
	}
	defer end()
	// A case that is ended early ends its processes, too.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		end()
		os.RemoveAll(folder)
		os.Exit(couldNotDo)
	}()
	status, err := cases[name](r)
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotDo
	}
	r.note("exit %d", status)
	fmt.Printf("exit %d\n", status)
	return status
}
