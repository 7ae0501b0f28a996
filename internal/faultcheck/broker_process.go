package faultcheck

import (
	"fmt"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// brokerProcess is one process of a broker from its start to its exit.
type brokerProcess struct {
	// name is the broker's name in the history; each process has its own.
	name string
	// addr is the host and port that the process serves at; "" until awaitServing has found it in the log.
	addr string
	// command is the started process.
	command *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}

	// The recorder's lock guards the fields below.

	// killedAt is when the process was killed by SIGKILL, or when its crash was noticed; zero if neither happened.
	killedAt time.Time
	// terminatedAt is when the process was sent SIGTERM; zero if it was not.
	terminatedAt time.Time
	// scenarioEnded is set before the scenario ends the process because the scenario is over, so that its exit is not taken for a crash.
	scenarioEnded bool
	// crashed is set if the process exited without a signal from the scenario.
	crashed bool
	// logLines are the lines that the process has logged.
	logLines []string
}

// servingAddress matches the log line of a process that has begun to serve; its group is the host and port.
var servingAddress = regexp.MustCompile(`listen="([^"]+)"`)

// awaitServing waits for the log line that says where a process serves, and sets the process's addr from it. It is an error if the line
// does not come within startTimeout, or if the process exits first.
func (b *broker) awaitServing(process *brokerProcess) error {
	var found string
	b.recorder.waitUntil(startTimeout, func(*History) bool {
		for _, line := range process.logLines {
			if m := servingAddress.FindStringSubmatch(line); m != nil && strings.Contains(line, "msg=serving") {
				found = m[1]
			}
		}
		return found != "" || process.hasExited()
	})
	if found == "" {
		return fmt.Errorf("%s does not serve: %s", b.name, b.logText(process))
	}
	process.addr = found
	return nil
}

// terminating reports whether the process was sent SIGTERM, also if it has exited since. The caller holds the recorder's lock.
func (p *brokerProcess) terminating() bool { return !p.terminatedAt.IsZero() }

// hasExited reports whether the process has exited.
func (p *brokerProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// logText returns all that a process has logged, with one line of text for each line of the log.
func (b *broker) logText(process *brokerProcess) (text string) {
	b.recorder.update(func(*History) { text = strings.Join(process.logLines, "\n") })
	return text
}

// terminate continues a process that was stopped by SIGSTOP, sends it SIGTERM and waits for its exit. It is an error if the process does
// not exit within endTimeout.
func (p *brokerProcess) terminate() error {
	p.command.Process.Signal(syscall.SIGCONT)
	p.command.Process.Signal(syscall.SIGTERM)
	timeout := time.NewTimer(endTimeout)
	defer timeout.Stop()
	select {
	case <-p.exited:
		return nil
	case <-timeout.C:
		return fmt.Errorf("%s does not end after SIGTERM", p.name)
	}
}
