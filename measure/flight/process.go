package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is a child process, whose CPU time is not mixed with that of nodes and clients.
type process struct {
	// cmd is the command of the process.
	cmd *exec.Cmd
	// lines reads the lines of the process's standard error.
	lines *bufio.Scanner
}

// startProcess starts a command whose standard error listenAddr can read. The caller has to call end.
func startProcess(cmd *exec.Cmd) (*process, error) {
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &process{cmd, bufio.NewScanner(pipe)}, nil
}

// listenAddr reads the process's standard error up to the first line that contains text and a field listen="HOST:PORT", and returns that
// host:port. It returns an error if the process closes its standard error before.
func (p *process) listenAddr(text string) (string, error) {
	for p.lines.Scan() {
		if line := p.lines.Text(); strings.Contains(line, text) {
			if match := regexp.MustCompile(`listen="([^"]+)"`).FindStringSubmatch(line); match != nil {
				return match[1], nil
			}
		}
	}
	return "", fmt.Errorf("%s ended without a line of %q", p.cmd.Path, text)
}

// cpuSeconds returns the processor time that the process has used, in seconds; 0 if it cannot be read from /proc. It is the sum of the
// fields utime and stime (14 and 15) of /proc/PID/stat (see proc(5)), which are in hundredths of a second.
func (p *process) cpuSeconds() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100
}

// end sends SIGTERM and waits until the process has ended by itself, as it may have a profile to write; a broker drains for less
// than a second. After 20 s it is killed.
func (p *process) end() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(20*time.Second, func() { p.cmd.Process.Kill() })
	defer timer.Stop()
	p.cmd.Wait()
}
