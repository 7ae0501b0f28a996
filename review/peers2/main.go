// Command peers2 holds the stand-ins of the second review's scripts: nodes, discovery, clients and the platform's memory limit.
// Each is a subcommand that runs until it is done or ended. What it sees goes to the file that its flag -record names, one line
// each, with the milliseconds of Unix time in front.
package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	recordPath = flag.String("record", "", "file to which lines are appended")
	name       = flag.String("name", "", "name of this stand-in in the record")
	addr       = flag.String("addr", "", "address to listen at, or of the broker")
	count      = flag.Int("count", 1, "number of connections, of ports or of searches")
	size       = flag.Int("size", 0, "bytes of a head before it goes on slowly")
	wait       = flag.Duration("wait", 0, "time that a node takes for a part, or that a client goes on")
	gap        = flag.Duration("gap", 0, "time between two searches, or two lines of a head")
	resets     = flag.Bool("resets", false, "a node resets the connection in place of its answer to the first attempt of a part")
	pipelined  = flag.Bool("pipelined", true, "the client sends its commands on one connection, without waiting")
	class      = flag.String("class", "full-quote", "query type of the searches")
	expires    = flag.Duration("expires", 2400*time.Millisecond, "X-Expires-In of the searches")
	list       = flag.String("list", "", "file with discovery's list")
	process    = flag.Int("process", 0, "id of the process whose memory is limited")
	megabytes  = flag.Int("megabytes", 0, "memory that the process may use")
	shards     = flag.Int("shards", 2, "number of parts of a search")
)

// lateness is how long after its time an answer earns nothing and is not lost yet: half a second, and the protocol's slack.
const lateness = 550 * time.Millisecond

var recordMu sync.Mutex

// record appends a line to the record.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%d %s ", time.Now().UnixMilli(), *name) + fmt.Sprintf(format, args...) + "\n"
	file, err := os.OpenFile(*recordPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		os.Stdout.WriteString(line)
		return
	}
	defer file.Close()
	file.WriteString(line)
}

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	command := os.Args[1]
	flag.CommandLine.Parse(os.Args[2:])
	commands := map[string]func() int{"ports": ports, "discovery": discovery, "node": node, "memory": memory,
		"searches": searches, "heads": heads, "commands": pipelineCommands}
	run, ok := commands[command]
	if !ok {
		fmt.Fprintln(os.Stderr, "peers2: no stand-in", command)
		os.Exit(2)
	}
	os.Exit(run())
}

// ports prints the numbers of free ports of the loopback address.
func ports() int {
	var listeners []net.Listener
	for range *count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 2
		}
		listeners = append(listeners, l)
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range listeners {
		l.Close()
	}
	return 0
}

// discovery serves the list in the file, as a whole, and an empty line every two seconds while a watch is open.
func discovery() int {
	err := http.ListenAndServe(*addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := os.ReadFile(*list)
		if err != nil || r.URL.Path != "/v1/servers" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Write(append([]byte(strings.TrimSpace(string(text))), '\n'))
		for r.URL.Query().Get("follow") == "1" {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				io.WriteString(w, "\n")
			}
		}
	}))
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// node serves parts: each runs at once, and is answered after the time -wait with a value that names it.
func node() int {
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return 2
		}
		go serveBroker(c)
	}
}

// serveBroker serves one connection of a broker to a node.
func serveBroker(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	reply := func(letter byte, rest string) {
		writing.Lock()
		defer writing.Unlock()
		frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
		c.Write(append(append(frame, letter), rest...))
	}
	r := bufio.NewReader(c)
	for {
		var length uint32
		if binary.Read(r, binary.BigEndian, &length) != nil || length < 1 || length > 1<<20 {
			return
		}
		frame := make([]byte, length)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		switch frame[0] {
		case 'C':
			reply('C', "hit")
		case 'D':
			reply('D', "-")
		case 'B':
			record("given up %s", frame[1:])
		case 'A':
			for rest := string(frame[1:]); rest != ""; {
				line, text, _ := strings.Cut(rest, "\n")
				words := strings.Fields(line)
				if len(words) != 4 {
					reply('F', "unreadable")
					return
				}
				n, err := strconv.Atoi(words[3])
				if err != nil || n > len(text) {
					reply('F', "unreadable")
					return
				}
				rest = text[n:]
				record("run %s %s", words[0], words[2])
				go func() {
					time.Sleep(*wait)
					if *resets {
						record("reset under %s", words[0])
						c.(*net.TCPConn).SetLinger(0)
						c.Close()
						return
					}
					reply('E', words[0]+" hit 1 -\nvalue of "+words[0])
				}()
			}
		}
	}
}

// memory is the platform's limit on memory: a process that uses more is killed. Only memory that no file backs is counted.
func memory() int {
	peak := 0
	for {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", *process))
		if err != nil {
			record("the process is gone; peak %d MB", peak>>10)
			return 0
		}
		used := 0
		for line := range strings.Lines(string(text)) {
			if words := strings.Fields(line); len(words) > 1 && words[0] == "RssAnon:" {
				used, _ = strconv.Atoi(words[1])
			}
		}
		if used>>10 > peak>>10+20 {
			record("memory %d MB", used>>10)
		}
		peak = max(peak, used)
		if used>>10 > *megabytes {
			record("killed for memory: %d MB of %d", used>>10, *megabytes)
			syscall.Kill(*process, syscall.SIGKILL)
			return 1
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request returns a search with the id as a client sends it.
func request(id string) string {
	var parts []string
	for shard := range *shards {
		parts = append(parts, fmt.Sprintf(`{"bucket":%d,"part":%.6f}`, shard, 1/float64(*shards)))
	}
	body := `{"buckets":[` + strings.Join(parts, ",") + `],"body":"c41e77d0"}`
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\nX-Expires-In: %dm\r\nContent-Length: %d\r\n\r\n%s",
		*class, id, *class, expires.Milliseconds(), len(body), body)
}

// readAnswer reads one answer, and returns its status and whether its values are those of the search with the id.
func readAnswer(r *bufio.Reader, id string) (status int, foreign bool, err error) {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, false, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return res.StatusCode, false, err
	}
	var answer struct {
		Found []struct {
			Bucket int
			Item   string
		}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return res.StatusCode, true, nil
	}
	for _, part := range answer.Found {
		foreign = foreign || part.Item != fmt.Sprintf("value of %s.%d", id, part.Bucket)
	}
	return res.StatusCode, foreign, nil
}

// judge records the end of a search that was sent at the time sent, and returns 1 if it was lost or foreign.
func judge(id string, sent time.Time, status int, foreign bool, err error) int {
	took := time.Since(sent)
	switch {
	case err != nil:
		record("LOST %s after %d ms: %v", id, took.Milliseconds(), err)
	case foreign:
		record("FOREIGN %s after %d ms", id, took.Milliseconds())
	case took > *expires+lateness:
		record("LOST %s: %d only after %d ms of %d", id, status, took.Milliseconds(), expires.Milliseconds())
	default:
		record("answered %s: %d after %d ms", id, status, took.Milliseconds())
		return 0
	}
	return 1
}

// searches sends searches one after another, each on a new connection; the exit status is 1 if one was lost.
func searches() int {
	var running sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range *count {
		running.Go(func() {
			id := fmt.Sprintf("%s-%d", *name, i)
			sent := time.Now()
			status, foreign := 0, false
			c, err := net.DialTimeout("tcp", *addr, 15*time.Second)
			if err == nil {
				defer c.Close()
				c.SetDeadline(time.Now().Add(15 * time.Second))
				sent = time.Now()
				if _, err = io.WriteString(c, request(id)); err == nil {
					status, foreign, err = readAnswer(bufio.NewReader(c), id)
				}
			}
			wrong := judge(id, sent, status, foreign, err)
			mu.Lock()
			lost += wrong
			mu.Unlock()
		})
		time.Sleep(*gap)
	}
	running.Wait()
	record("%d of %d searches lost", lost, *count)
	return min(lost, 1)
}

// heads are bad clients whose heads never end: each sends -size bytes of header lines at full speed, then another line in each
// -gap, reads what it is sent, and begins anew the moment that it is turned away, until the time -wait has passed.
func heads() int {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var head strings.Builder
	head.WriteString("POST /" + *class + " HTTP/1.1\r\nHost: origin.svc\r\n")
	for i := 0; head.Len() < *size; i++ {
		fmt.Fprintf(&head, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/1296%36])
	}
	until := time.Now().Add(*wait)
	var running sync.WaitGroup
	for range *count {
		running.Go(func() {
			for time.Now().Before(until) {
				c, err := net.DialTimeout("tcp", *addr, 2*time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				turnedAway := make(chan struct{})
				go func() {
					io.Copy(io.Discard, c)
					close(turnedAway)
				}()
				_, err = io.WriteString(c, head.String())
				for i := 0; err == nil && time.Now().Before(until); i++ {
					select {
					case <-turnedAway:
						err = io.EOF
					case <-time.After(*gap):
						_, err = fmt.Fprintf(c, "x-%d: a\r\n", i)
					}
				}
				c.Close()
			}
		})
	}
	record("%d heads of %d bytes begun", *count, head.Len())
	running.Wait()
	return 0
}

// pipelineCommands is a client that sends -count commands at once, and as many again after the time -gap; the exit status is 1 if
// one was lost. With -pipelined all go on one connection without waiting, else each goes on a connection of its own.
func pipelineCommands() int {
	type command struct {
		id   string
		sent time.Time
	}
	var running sync.WaitGroup
	lost := make(chan int, 2**count)
	sentCommands := make(chan command, 2**count)
	var shared net.Conn
	if *pipelined {
		var err error
		if shared, err = net.Dial("tcp", *addr); err != nil {
			return 2
		}
		defer shared.Close()
		shared.SetDeadline(time.Now().Add(40 * time.Second))
		running.Go(func() {
			r := bufio.NewReader(shared)
			for sent := range sentCommands {
				status, foreign, err := readAnswer(r, sent.id)
				lost <- judge(sent.id, sent.sent, status, foreign, err)
			}
		})
	}
	for burst := range 2 {
		var text strings.Builder
		for i := range *count {
			sent := command{fmt.Sprintf("%s-%d-%d", *name, burst, i), time.Now()}
			if *pipelined {
				text.WriteString(request(sent.id))
				sentCommands <- sent
				continue
			}
			running.Go(func() {
				c, err := net.Dial("tcp", *addr)
				status, foreign := 0, false
				if err == nil {
					defer c.Close()
					c.SetDeadline(time.Now().Add(40 * time.Second))
					if _, err = io.WriteString(c, request(sent.id)); err == nil {
						status, foreign, err = readAnswer(bufio.NewReader(c), sent.id)
					}
				}
				lost <- judge(sent.id, sent.sent, status, foreign, err)
			})
		}
		if *pipelined {
			record("sends %d commands at once", *count)
			io.WriteString(shared, text.String())
		}
		if burst == 0 {
			time.Sleep(*gap)
		}
	}
	close(sentCommands)
	running.Wait()
	close(lost)
	total := 0
	for one := range lost {
		total += one
	}
	record("%d of %d commands lost", total, 2**count)
	return min(total, 1)
}
