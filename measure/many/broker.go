package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// groupCount is the number of replica groups (the field block of nodes) over which the nodes of the list are spread.
const groupCount = 32

// configuration is the configuration file of one of 350 brokers, with the limits that the platform sets for each. DISCOVERY and HOSTS
// are placeholders.
const configuration = `{"name":"b1","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":41,"whole":true,"hosts":[HOSTS]},
 "settings":{"instances":350,"tick":5,"myZone":"a","discovery":"pushed","overShareWorth":0.1,
  "lanes":[{"name":"all","effect":"read_like","target":400,"giveUp":1500,"worth":1,"window":1000}],
  "tenants":[{"name":"acme","quotaPerS":1000}],
  "familyInfo":{"perCall":4,"places":32,"reach":1,"slices":32,"classNeed":[1],"minShare":[1],"incompleteWorth":[0],"fetchParts":[0]},
  "policyLimits":{"mostTries":3,"maxOpen":2000,"streamsPerConn":32,"mayCancel":true,"mayProbe":true,"dialTimeout":300,"keepalive":30000},
  "rules":{"cold":1000,"coldFrom":0.5,"fall":1000,"fallMultiple":3}}}`

// broker is one process of the measured program, with a configuration file of its own.
type broker struct {
	// program is the path of the executable, and dir the folder of its configuration.
	program, dir string
	// cmd is the command of the process; nil before start.
	cmd *exec.Cmd
	// addrs receives the host:port where the process serves, once, when it logs it; waitUntilReady takes it.
	addrs chan string
	// counterLines receives the lines of the process's log that contain "counters: ", which the method counters takes.
	counterLines chan string
	// addr is the host:port where the process serves; empty until waitUntilReady has set it.
	addr string
}

// newBroker writes the configuration of a broker, with discovery's address and the entries of the list of nodes that it starts
// with, and starts nothing. The caller has to call remove.
func newBroker(program, discovery string, entries []string) (*broker, error) {
	dir, err := os.MkdirTemp("", "many")
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer("DISCOVERY", discovery, "HOSTS", strings.Join(entries, ",")).Replace(configuration)
	b := &broker{program: program, dir: dir, addrs: make(chan string, 1), counterLines: make(chan string, 64)}
	return b, os.WriteFile(b.configFile(), []byte(text), 0o600)
}

// configFile returns the path of the broker's configuration file.
func (b *broker) configFile() string { return filepath.Join(b.dir, "config.json") }

// remove removes the folder of the broker's configuration file.
func (b *broker) remove() { os.RemoveAll(b.dir) }

// servingLine matches the log line of a process that serves; the first group is the host:port where it does.
var servingLine = regexp.MustCompile(`msg=serving listen="([^"]+)"`)

// start starts the process, and a goroutine that reads its log until it ends. It returns an error if it cannot be started.
func (b *broker) start() error {
	b.cmd = exec.Command(b.program)
	b.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+b.configFile())
	log, err := b.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if found := servingLine.FindStringSubmatch(lines.Text()); found != nil {
				select {
				case b.addrs <- found[1]:
				default:
				}
			}
			if strings.Contains(lines.Text(), "counters: ") {
				b.counterLines <- lines.Text()
			}
		}
	}()
	return nil
}

// waitUntilReady waits until the program answers GET /healthz with 200, and sets addr. It returns an error after waitTimeout.
func (b *broker) waitUntilReady() error {
	select {
	case b.addr = <-b.addrs:
	case <-time.After(waitTimeout):
		return errors.New("the program does not log that it serves")
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		res, err := http.Get("http://" + b.addr + "/healthz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the program does not become ready")
}

// kill kills the program, waits until it has ended and returns the processor time that it used from its start on.
func (b *broker) kill() time.Duration {
	b.cmd.Process.Kill()
	b.cmd.Wait()
	return b.cmd.ProcessState.UserTime() + b.cmd.ProcessState.SystemTime()
}

// residentMB returns the program's resident memory, in units of bytesPerMB, from /proc; 0 if it cannot be read.
func (b *broker) residentMB() float64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	found := regexp.MustCompile(`VmRSS:\s+(\d+)`).FindSubmatch(status)
	if found == nil {
		return 0
	}
	kilobytes, _ := strconv.ParseFloat(string(found[1]), 64)
	return kilobytes / 1024
}

// resourceUsage is the memory, goroutines and file descriptors that a process holds at one moment.
type resourceUsage struct {
	// residentMB is the resident memory of the process, in units of bytesPerMB.
	residentMB float64
	// heapMB is the memory that objects on the heap occupy, also those that are no longer used and not yet freed, in units of bytesPerMB.
	heapMB float64
	// liveMB is the part of the heap that the last garbage collection found in use, in units of bytesPerMB; 0 before the first one.
	liveMB float64
	// goroutines is the number of goroutines of the process, and descriptors the number of its open file descriptors.
	goroutines, descriptors int
}

// usage returns the memory, goroutines and file descriptors that the process holds now, from its counters and from /proc. It returns an
// error if either cannot be read.
func (b *broker) usage() (usage resourceUsage, err error) {
	process, err := b.counters("process")
	if err != nil {
		return usage, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.cmd.Process.Pid))
	return resourceUsage{b.residentMB(), float64(process["heap"]) / bytesPerMB, float64(process["live"]) / bytesPerMB, process["goroutines"], len(open)}, err
}

// waitForLists waits until the program has applied the given number of node lists in total: that of its configuration, and lists and
// updates from discovery. It returns an error after waitTimeout.
func (b *broker) waitForLists(lists int) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		counters, err := b.counters("discovery")
		if err != nil || counters["lists"] >= lists {
			return err
		}
	}
	return errors.New("the program does not take an update of the list")
}

// counters makes the program log its counters, by the signal SIGUSR1, and returns the counters of one group, by name. group is
// its name, which stands after "counters: " in its log line, such as "process". It reads on until the group "discovery", which the
// program logs last, and returns an error if the signal fails or no line comes within waitTimeout.
func (b *broker) counters(group string) (map[string]int, error) {
	if err := b.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return nil, err
	}
	counters := map[string]int{}
	for {
		select {
		case text := <-b.counterLines:
			if strings.Contains(text, "counters: "+group) {
				for _, field := range regexp.MustCompile(`(\w+)=(\d+)`).FindAllStringSubmatch(text, -1) {
					counters[field[1]], _ = strconv.Atoi(field[2])
				}
			}
			if strings.Contains(text, "counters: discovery") {
				return counters, nil
			}
		case <-time.After(waitTimeout):
			return nil, errors.New("the program does not log its counters")
		}
	}
}
