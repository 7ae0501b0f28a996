package zoneloss

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// settings is the value of "settings" in each broker's configuration, as JSON; OWN is a placeholder for the name of the broker's zone.
const settings = `{"instances":4,"tick":5,"myZone":"OWN","discovery":"pushed","worthBy":"request","overShareWorth":1,
 "lanes":[{"name":"dear","effect":"read_like","target":1000,"giveUp":3000,"worth":4,"window":1000},
  {"name":"cheap","effect":"read_like","target":1000,"giveUp":3000,"worth":1,"window":1000}],
 "tenants":[{"name":"acme","quotaPerS":1000}],
 "familyInfo":{"perCall":1,"places":4,"reach":1,"slices":4,"classNeed":[1,1],"minShare":[1,1],"incompleteWorth":[0,0],"fetchParts":[0,0]},
 "policyLimits":{"mostTries":4,"maxOpen":4000,"streamsPerConn":64,"mayCancel":true,"mayProbe":true,"dialTimeout":300,"keepalive":30000},
 "rules":{"cold":12000,"coldFrom":0.1,"fall":2000,"fallMultiple":1.2,"drainGrace":250,"countedOver":10000,"furtherRatio":0.2,"minExtra":20}}`

// broker is one running process of the broker program.
type broker struct {
	// cmd is the command of the process.
	cmd *exec.Cmd
	// addr is the host:port where it serves clients.
	addr string
	// done is closed when the process has ended.
	done chan struct{}
	// mu guards log.
	mu sync.Mutex
	// log holds the process's log lines about zones, each prefixed with the broker's name and a space.
	log []string
}

// listenAddr matches the field listen=HOST:PORT, in quotes or not, in the log line of a broker that has begun to serve; the first group
// is the host:port.
var listenAddr = regexp.MustCompile(`listen="?(127[0-9.:]+)"?`)

// startTimeout is how long a broker may take to begin to serve.
const startTimeout = 20 * time.Second

// startBroker starts the i-th broker, counted from 0, and waits until it serves. known is the list of nodes that it starts with, as JSON,
// and discovery the host:port of discovery. It returns an error if the broker does not serve within startTimeout.
func (s *Scenario) startBroker(i int, known, discovery string) (*broker, error) {
	config := fmt.Sprintf(`{"name":"b%d","listen":"127.0.0.1:0","discovery":%q,"seed":"%x",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":2048},"known":%s,"settings":%s}`, i, discovery, 1000+i, known,
		strings.Replace(settings, "OWN", Zones[i%len(Zones)], 1))
	path := filepath.Join(s.Dir, fmt.Sprintf("b%d.json", i))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	started := &broker{done: make(chan struct{})}
	started.cmd = exec.Command(s.Binary, "serve", "--set", fmt.Sprintf("halls.guard=%v", s.Policy == Guarded),
		"--set", "halls.order=east: east > north = south; north: north > east = south; south: south > east = north",
		"--set", fmt.Sprintf("halls.spill_percent=%d", s.SpillPercent), "--set", "halls.wait_ms=1000", "--set", "halls.longest_ms=20000")
	started.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
	pipe, err := started.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := started.cmd.Start(); err != nil {
		return nil, err
	}
	serving := make(chan string, 1)
	go func() {
		defer close(started.done)
		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			line := lines.Text()
			if match := listenAddr.FindStringSubmatch(line); match != nil && strings.Contains(line, "serving") {
				select {
				case serving <- match[1]:
				default:
				}
			}
			if strings.Contains(line, "msg=\"hall") {
				started.mu.Lock()
				started.log = append(started.log, fmt.Sprintf("b%d %s", i, line))
				started.mu.Unlock()
			}
		}
		started.cmd.Wait()
	}()
	select {
	case started.addr = <-serving:
		return started, nil
	case <-started.done:
		return nil, fmt.Errorf("broker %d ended at its start", i)
	case <-time.After(startTimeout):
		started.cmd.Process.Kill()
		return nil, fmt.Errorf("broker %d does not serve", i)
	}
}
