package fleetrig

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"brackenfront/internal/program"
	"brackenfront/internal/program/withfleet"
)

// Program is one process of a Site, through all its restarts.
type Program struct {
	// Name is the broker's name: b00, b01 and so on.
	Name string
	// ClientAddr is where the process listens for clients, and FleetAddr for other brokers; both are host:port.
	ClientAddr, FleetAddr string
	// Voter says that the process is a member of the council.
	Voter bool
	// ConfigFile is the path of the process's configuration file.
	ConfigFile string
	// RestartDelay is the time, in addition to usualRestartDelay, between an end of the process without an error and its next start. It is
	// 0 unless a scenario sets it, which it does while the process runs.
	RestartDelay time.Duration

	// site is the site that the process belongs to.
	site *Site
	// index is the index of the process in Site.Programs.
	index int
	// args are the command-line arguments that the process starts with: options --set NAME=VALUE.
	args []string
	// mu guards the fields below.
	mu sync.Mutex
	// cmd is the command of the running process; nil while it does not run.
	cmd *exec.Cmd
	// done is closed when the process that was started last has ended.
	done chan struct{}
	// killed says that Kill was called since the last call of Start, so that the process is not started again after its end.
	killed bool
	// goroutines are those that read the process's log and start the process again after its end.
	goroutines sync.WaitGroup
}

const (
	// usualRestartDelay is the time between the end of a process and its next start, to which RestartDelay is added.
	usualRestartDelay = 20 * time.Millisecond
	// maxLogLineBytes is the largest length in bytes of a log line that is read; after a longer one, the rest of the log is not read.
	maxLogLineBytes = 1 << 20
)

// logLine matches a log line of the program; the first group is its time, the second its message, quoted or not.
var logLine = regexp.MustCompile(`time="?([^" ]+)"? level=\w+ msg=("(?:[^"\\]|\\.)*"|\S+)`)

// Start starts the process, unless it runs or the site is being closed. A process that ends later without an error, and was not killed, is
// started again by itself, after usualRestartDelay and RestartDelay. It returns an error if the process cannot be started.
func (p *Program) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = false
	if p.cmd != nil || p.site.closing.Load() {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(p.args)
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), "FLEETRIG_PROGRAM="+string(raw), "ROUTER_CONFIG="+p.ConfigFile)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	p.site.addEvent(Event{At: time.Now(), Program: p.Name, Message: "started"})
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.goroutines.Go(func() {
		p.recordLog(out)
		err := cmd.Wait()
		var status *exec.ExitError
		if errors.As(err, &status) && status.ExitCode() > 0 {
			p.site.addEvent(Event{At: time.Now(), Program: p.Name, Line: status.Error()})
		}
		p.site.addEvent(Event{At: time.Now(), Program: p.Name, Message: "ended"})
		close(done)
		p.mu.Lock()
		p.cmd = nil
		restart := !p.killed && err == nil
		delay := p.RestartDelay
		p.mu.Unlock()
		if restart && !p.site.closing.Load() {
			time.Sleep(usualRestartDelay + delay)
			p.RestartUnlessKilled()
		}
	})
	return nil
}

// recordLog records each line of the process's log as an event, until the log ends.
func (p *Program) recordLog(log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		event := Event{At: time.Now(), Program: p.Name, Line: lines.Text()}
		if match := logLine.FindStringSubmatch(event.Line); match != nil {
			// The times that processes log can be compared with each other; the times of reading cannot.
			if at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", match[1]); err == nil {
				event.At = at
			}
			event.Message = strings.Trim(match[2], `"`)
		}
		p.site.addEvent(event)
	}
}

// RestartUnlessKilled starts the process again, as a supervisor of services does, unless Kill has been called since its last start.
func (p *Program) RestartUnlessKilled() {
	p.mu.Lock()
	killed := p.killed
	p.mu.Unlock()
	if !killed {
		p.Start()
	}
}

// Kill kills the process, also a stopped one, and waits until it has ended. It is not started again until Start is called.
func (p *Program) Kill() {
	p.mu.Lock()
	p.killed = true
	cmd, done := p.cmd, p.done
	if cmd != nil {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
	}
	p.mu.Unlock()
	if cmd != nil {
		<-done
		p.site.addEvent(Event{At: time.Now(), Program: p.Name, Message: "killed"})
		p.site.Wait(context.Background(), time.Second, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.cmd != cmd
		})
	}
}

// Signal sends the process a signal, if it runs.
func (p *Program) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig)
	}
}

// Ready reports whether the process takes searches: whether it answers GET /healthz with 200 within a second.
func (p *Program) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+p.ClientAddr+"/healthz", nil)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// runProgramIfChild runs this process as the program if a Site has started it, and does not return then. The environment
// holds the program's arguments as JSON.
func runProgramIfChild() {
	raw := os.Getenv("FLEETRIG_PROGRAM")
	if raw == "" {
		return
	}
	var args []string
	if err := json.Unmarshal([]byte(raw), &args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(program.Main("brackenflight", args, program.OptionalFeatures{Fleet: withfleet.NewSupport()}))
}
