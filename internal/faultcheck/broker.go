package faultcheck

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ProgramVariable is the environment variable that makes a binary which contains the shipped program run as that program. A scenario sets
// it and runs its own binary to start a broker's process.
const ProgramVariable = "FAULTCHECK_PROGRAM"

// Bounds of waits for processes. They are far longer than such a wait usually takes; a wait that exceeds its bound is an error.
const (
	// startTimeout is the longest wait for a process to begin to serve, or to apply new settings after SIGHUP.
	startTimeout = 20 * time.Second
	// endTimeout is the longest wait for a process to exit, and then for its connections to nodes to end.
	endTimeout = 10 * time.Second
)

// broker is one broker: a process of the shipped program, and the processes that are started in its place after a fault has ended it.
type broker struct {
	// name is the broker's name in the configuration; its first process has the same name in the history.
	name string
	// configFolder is the folder of the configuration file.
	configFolder string
	// host is the loopback address that processes listen at.
	host string
	// discoveryAddress is the stand-in discovery's host and port.
	discoveryAddress string
	// knownNodes returns discovery's current node list as JSON, which is written into the configuration file.
	knownNodes func() json.RawMessage
	// recorder records what the processes do; its lock also guards the state of the processes.
	recorder *recorder

	// mu guards the fields below.
	mu sync.Mutex
	// setting is the configuration that the next process starts with, or that the present one reads at the next SIGHUP.
	setting Setting
	// listenAddress is the host and port that the configuration tells the broker to listen at.
	listenAddress string
	// startedProcesses are all processes that were started, in their order.
	startedProcesses []*brokerProcess
	// servingProcesses are those of startedProcesses that have begun to serve, in the same order.
	servingProcesses []*brokerProcess
}

// start starts a new process of the broker and waits until it serves. A process that does not serve within startTimeout is an error.
func (b *broker) start() (*brokerProcess, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listenAddress = net.JoinHostPort(b.host, "0")
	// A process that is started again serves at the address that clients know.
	if len(b.servingProcesses) > 0 {
		b.listenAddress = b.servingProcesses[len(b.servingProcesses)-1].addr
	}
	if err := b.writeConfiguration(); err != nil {
		return nil, err
	}
	process := &brokerProcess{name: b.name, exited: make(chan struct{})}
	if len(b.servingProcesses) > 0 {
		process.name = fmt.Sprintf("%s-%d", b.name, len(b.servingProcesses)+1)
	}
	// The process applies the current settings from its start.
	b.recorder.update(func(h *History) {
		h.ContractChanges = append(h.ContractChanges, ContractChange{Broker: process.name, Contract: b.setting.contract()})
	})
	shell := `exec "$0"`
	if b.setting.DescriptorLimit > 0 {
		shell = fmt.Sprintf(`ulimit -n %d; exec "$0"`, b.setting.DescriptorLimit)
	}
	process.command = exec.Command("/bin/sh", "-c", shell, os.Args[0])
	// Where the race detector is built in, a process would otherwise sleep for a second at every exit.
	process.command.Env = append(os.Environ(), ProgramVariable+"=1", "ROUTER_CONFIG="+b.configFile(), "GORACE=atexit_sleep_ms=0")
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logReader, err := process.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.command.Start(); err != nil {
		return nil, err
	}
	b.startedProcesses = append(b.startedProcesses, process)
	go func() {
		defer close(process.exited)
		for scanner := bufio.NewScanner(logReader); scanner.Scan(); {
			b.recorder.update(func(*History) { process.logLines = append(process.logLines, scanner.Text()) })
		}
		process.command.Wait()
		b.noteCrash(process)
	}()
	if err := b.awaitServing(process); err != nil {
		return nil, err
	}
	b.servingProcesses = append(b.servingProcesses, process)
	return process, nil
}

// configFile returns the path of the configuration file.
func (b *broker) configFile() string { return filepath.Join(b.configFolder, b.name+".json") }

// writeConfiguration writes the configuration file, which the process reads at its start and on SIGHUP. The caller holds mu.
func (b *broker) writeConfiguration() error {
	return os.WriteFile(b.configFile(), b.setting.configuration(b.name, b.listenAddress, b.discoveryAddress, b.knownNodes()), 0o600)
}

// currentProcess returns the newest process that served.
func (b *broker) currentProcess() *brokerProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servingProcesses[len(b.servingProcesses)-1]
}

// pauseFor stops a process by SIGSTOP for the given time, continues it, and records the pause.
func (b *broker) pauseFor(process *brokerProcess, pause time.Duration) {
	// The pause is the injected fault, not a wait for anything.
	b.pauseDuring(process, func() { time.Sleep(pause) })
}

// pauseDuring stops a process by SIGSTOP, calls the function during, continues the process, and records the pause.
func (b *broker) pauseDuring(process *brokerProcess, during func()) {
	from := time.Now()
	process.command.Process.Signal(syscall.SIGSTOP)
	during()
	process.command.Process.Signal(syscall.SIGCONT)
	b.recorder.update(func(h *History) {
		h.Pauses = append(h.Pauses, Pause{Broker: process.name, From: from, Until: time.Now()})
	})
}

// kill ends the current process by SIGKILL, and marks the deliveries that it had not answered as interrupted by the kill.
func (b *broker) kill() {
	process := b.currentProcess()
	b.recorder.update(func(h *History) {
		process.killedAt = time.Now()
		for i := range h.Deliveries {
			if d := &h.Deliveries[i]; d.Broker == process.name && d.EndedAt.IsZero() {
				d.BrokerKilledAt = process.killedAt
			}
		}
	})
	process.command.Process.Signal(syscall.SIGKILL)
	<-process.exited
}

// crashNoticeDelay is the longest time from when a crashed process closes its connections until its exit is noticed.
const crashNoticeDelay = 100 * time.Millisecond

// noteCrash records a process that exited without a signal from the scenario, in the same way as one that was killed. Deliveries that it
// had not answered by then, and those whose connections it closed without an answer as it exited, are marked as interrupted by the kill.
func (b *broker) noteCrash(process *brokerProcess) {
	b.recorder.update(func(history *History) {
		if process.scenarioEnded || process.terminating() || !process.killedAt.IsZero() {
			return
		}
		process.crashed, process.killedAt = true, time.Now()
		for i := range history.Deliveries {
			d := &history.Deliveries[i]
			unanswered := d.EndedAt.IsZero() || !d.Complete && process.killedAt.Sub(d.EndedAt) < crashNoticeDelay
			if d.Broker == process.name && unanswered && !d.Unread {
				d.BrokerKilledAt = process.killedAt
			}
		}
	})
}

// crashes returns how many (n) processes of the broker exited without a signal from the scenario. Where the setting does not allow crashes,
// err has an error for each of them.
func (b *broker) crashes() (n int, err error) {
	b.mu.Lock()
	processes, allowed := append([]*brokerProcess(nil), b.startedProcesses...), b.setting.MayCrash
	b.mu.Unlock()
	b.recorder.update(func(*History) {
		for _, process := range processes {
			if !process.crashed {
				continue
			}
			n++
			if !allowed {
				err = errors.Join(err, fmt.Errorf("%s crashed: %s", process.name, strings.Join(process.logLines, "\n")))
			}
		}
	})
	return n, err
}

// restart starts a new process of the broker at the address of the last one. It is an error if another process has got that address
// meanwhile.
func (b *broker) restart() error {
	_, err := b.start()
	return err
}

// terminate sends SIGTERM to the current process, records that, and waits for the exit. It is an error if the process does not exit within
// endTimeout.
func (b *broker) terminate() error {
	process := b.currentProcess()
	b.recorder.update(func(h *History) {
		process.terminatedAt = time.Now()
		h.Terminations = append(h.Terminations, Termination{process.name, process.terminatedAt})
	})
	return process.terminate()
}

// reconfigure applies change to the broker's setting, rewrites the configuration file and sends SIGHUP to the current process. It is an
// error if the process does not log that it switched to the new settings, unless it crashed and the setting allows crashes.
func (b *broker) reconfigure(change func(s *Setting)) error {
	b.mu.Lock()
	change(&b.setting)
	err := b.writeConfiguration()
	contract, mayCrash := b.setting.contract(), b.setting.MayCrash
	b.mu.Unlock()
	if err != nil {
		return err
	}
	process := b.currentProcess()
	var earlierLines, changeIndex int
	b.recorder.update(func(h *History) {
		earlierLines, changeIndex = len(process.logLines), len(h.ContractChanges)
		h.ContractChanges = append(h.ContractChanges, ContractChange{Broker: process.name, At: time.Now(), Contract: contract})
	})
	process.command.Process.Signal(syscall.SIGHUP)
	var outcomeLine string
	b.recorder.waitUntil(startTimeout, func(*History) bool {
		for _, line := range process.logLines[earlierLines:] {
			if strings.Contains(line, "configuration read again") || strings.Contains(line, "the running one stays") {
				outcomeLine = line
			}
		}
		return outcomeLine != "" || process.hasExited()
	})
	b.recorder.update(func(h *History) { h.ContractChanges[changeIndex].SwitchedAt = time.Now() })
	// A crashed process reads the new setting when it is started again.
	if outcomeLine == "" && mayCrash && process.hasExited() {
		return nil
	}
	if !strings.Contains(outcomeLine, "switched=true") {
		return fmt.Errorf("%s did not switch: %q", process.name, outcomeLine)
	}
	return nil
}

// endAllProcesses ends every process of the broker: by SIGKILL, or if graceful is set, by SIGTERM first. A process that does not exit
// after that is an error.
func (b *broker) endAllProcesses(graceful bool) (err error) {
	b.mu.Lock()
	processes := append([]*brokerProcess(nil), b.startedProcesses...)
	b.mu.Unlock()
	b.recorder.update(func(*History) {
		for _, process := range processes {
			process.scenarioEnded = true
		}
	})
	for _, process := range processes {
		if graceful && !process.hasExited() {
			err = errors.Join(err, process.terminate())
		}
		process.command.Process.Kill()
		<-process.exited
	}
	return err
}
