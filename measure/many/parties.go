package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
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

// places is how many cells the layout has.
const places = 32

// configuration is of one of 350 brokers, with the limits that the platform's day puts on each.
const configuration = `{"name":"b1","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":41,"whole":true,"hosts":[HOSTS]},
 "settings":{"instances":350,"tick":5,"myZone":"a","discovery":"pushed","overShareWorth":0.1,
  "lanes":[{"name":"all","effect":"read_like","target":400,"giveUp":1500,"worth":1,"window":1000}],
  "tenants":[{"name":"acme","quotaPerS":1000}],
  "familyInfo":{"perCall":4,"places":32,"reach":1,"slices":32,"classNeed":[1],"minShare":[1],"incompleteWorth":[0],"fetchParts":[0]},
  "policyLimits":{"mostTries":3,"maxOpen":2000,"streamsPerConn":32,"mayCancel":true,"mayProbe":true,"dialTimeout":300,"keepalive":30000},
  "rules":{"cold":1000,"coldFrom":0.5,"fall":1000,"fallMultiple":3}}}`

// broker is one process of the program.
type broker struct {
	program, dir string
	cmd          *exec.Cmd
	addr         chan string
	lines        chan string // counters
	at           string
}

func newBroker(program, discovery string, hosts []string) (*broker, error) {
	dir, err := os.MkdirTemp("", "many")
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer("DISCOVERY", discovery, "HOSTS", strings.Join(hosts, ",")).Replace(configuration)
	b := &broker{program: program, dir: dir, addr: make(chan string, 1), lines: make(chan string, 64)}
	return b, os.WriteFile(b.config(), []byte(text), 0o600)
}

func (b *broker) config() string { return filepath.Join(b.dir, "config.json") }

func (b *broker) remove() { os.RemoveAll(b.dir) }

var listens = regexp.MustCompile(`msg=serving listen="([^"]+)"`)

func (b *broker) start() error {
	b.cmd = exec.Command(b.program)
	b.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+b.config())
	log, err := b.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	go func() {
		for s := bufio.NewScanner(log); s.Scan(); {
			if found := listens.FindStringSubmatch(s.Text()); found != nil {
				select {
				case b.addr <- found[1]:
				default:
				}
			}
			if strings.Contains(s.Text(), "counters: ") {
				b.lines <- s.Text()
			}
		}
	}()
	return nil
}

// ready waits until the program answers that it is.
func (b *broker) ready() error {
	select {
	case b.at = <-b.addr:
	case <-time.After(patience):
		return errors.New("the program does not say that it serves")
	}
	for end := time.Now().Add(patience); time.Now().Before(end); {
		res, err := http.Get("http://" + b.at + "/healthz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the program is never ready")
}

// kill ends the program and gives the processor time that it used.
func (b *broker) kill() time.Duration {
	b.cmd.Process.Kill()
	b.cmd.Wait()
	return b.cmd.ProcessState.UserTime() + b.cmd.ProcessState.SystemTime()
}

func (b *broker) residentMB() float64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	found := regexp.MustCompile(`VmRSS:\s+(\d+)`).FindSubmatch(status)
	if found == nil {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(found[1]), 64)
	return kb / 1024
}

// held is what a process holds.
type held struct {
	residentMB, heapMB, liveMB float64 // live: by the last garbage collection, 0 before the first
	goroutines, descriptors    int
}

// holds asks the program for its counters, and the system for the rest.
func (b *broker) holds() (h held, err error) {
	process, err := b.counters("process")
	if err != nil {
		return h, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.cmd.Process.Pid))
	return held{b.residentMB(), float64(process["heap"]) / (1 << 20), float64(process["live"]) / (1 << 20), process["goroutines"], len(open)}, err
}

// taken waits until the program has taken in so many lists.
func (b *broker) taken(lists int) error {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		c, err := b.counters("discovery")
		if err != nil || c["lists"] >= lists {
			return err
		}
	}
	return errors.New("an update is never taken in")
}

// counters asks for all and gives one line of them; "discovery" is the last.
func (b *broker) counters(which string) (map[string]int, error) {
	if err := b.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return nil, err
	}
	all := map[string]int{}
	for {
		select {
		case line := <-b.lines:
			if strings.Contains(line, "counters: "+which) {
				for _, f := range regexp.MustCompile(`(\w+)=(\d+)`).FindAllStringSubmatch(line, -1) {
					all[f[1]], _ = strconv.Atoi(f[2])
				}
			}
			if strings.Contains(line, "counters: discovery") {
				return all, nil
			}
		case <-time.After(patience):
			return nil, errors.New("the program prints no counters")
		}
	}
}

// discoveryState is how discovery is when a program starts.
type discoveryState string

const (
	answering discoveryState = "up"
	refusing  discoveryState = "down"
	silent    discoveryState = "silent"
)

// discovery stands in for the real one.
type discovery struct {
	addr     string
	updates  chan string
	watches  chan bool
	server   *http.Server
	listener net.Listener
	seq      int
}

func newDiscovery(how discoveryState) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), updates: make(chan string, 1), watches: make(chan bool, 8), listener: ln, seq: 41}
	switch how {
	case refusing:
		ln.Close()
	case answering:
		d.server = &http.Server{Handler: http.HandlerFunc(d.watch)}
		go d.server.Serve(ln)
	case silent: // connections come up, and nobody says a word
	}
	return d, nil
}

func (d *discovery) watch(w http.ResponseWriter, r *http.Request) {
	w.(http.Flusher).Flush()
	d.watches <- true
	for {
		select {
		case update := <-d.updates:
			fmt.Fprintln(w, update)
		case <-time.After(time.Second):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}

// followed waits for a watch.
func (d *discovery) followed() error {
	select {
	case <-d.watches:
		return nil
	case <-time.After(patience):
		return errors.New("nobody follows discovery")
	}
}

// tell says one update.
func (d *discovery) tell(hosts []string) {
	d.seq++
	d.updates <- fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, d.seq, strings.Join(hosts, ","))
}

func (d *discovery) close() {
	if d.server != nil {
		d.server.Close()
	}
	d.listener.Close()
}
