package kit2

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is one part that has reached a node with the last byte of its frame.
type arrival struct {
	id    string
	shard int
	at    time.Time
}

// node is a stand-in for a node: it answers each part with the part's own text and shard after a service time.
type node struct {
	name     string
	listener net.Listener
	// serviceTime returns how long a part takes; a negative time stands for a part that is never answered.
	serviceTime func(shard int, text string) time.Duration

	mu       sync.Mutex
	arrivals []arrival
	open     map[net.Conn]bool
}

// newNode starts a node on a free port of the loopback address.
func newNode(name string, serviceTime func(int, string) time.Duration) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, listener: listener, serviceTime: serviceTime, open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n, nil
}

func (n *node) addr() string { return n.listener.Addr().String() }

// stop ends the node: it refuses new connections, and what it works on is lost.
func (n *node) stop() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.open {
		conn.Close()
	}
}

// takeArrivals returns the parts that have arrived since it was last called.
func (n *node) takeArrivals() []arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := n.arrivals
	n.arrivals = nil
	return taken
}

// serve reads one connection's frames until it ends.
func (n *node) serve(conn net.Conn) {
	n.mu.Lock()
	n.open[conn] = true
	n.mu.Unlock()
	defer func() {
		conn.Close()
		n.mu.Lock()
		delete(n.open, conn)
		n.mu.Unlock()
	}()
	var writeMu sync.Mutex
	reply := func(letter byte, rest string) {
		frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
		frame = append(append(frame, letter), rest...)
		writeMu.Lock()
		defer writeMu.Unlock()
		conn.Write(frame)
	}
	cancelled := map[string]chan struct{}{}
	var cancelMu sync.Mutex
	r := bufio.NewReader(conn)
	for {
		var head [5]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		length := binary.BigEndian.Uint32(head[:4])
		if length < 1 || length > 1<<24 {
			return
		}
		rest := make([]byte, length-1)
		if _, err := io.ReadFull(r, rest); err != nil {
			return
		}
		switch head[4] {
		case 'A':
			at := time.Now()
			for len(rest) > 0 {
				line, after, _ := strings.Cut(string(rest), "\n")
				words := strings.Fields(line)
				if len(words) != 4 {
					reply('F', "bad line")
					return
				}
				shard, _ := strconv.Atoi(words[1])
				size, err := strconv.Atoi(words[3])
				if err != nil || size < 0 || size > len(after) {
					reply('F', "bad length")
					return
				}
				text := after[:size]
				rest = []byte(after[size:])
				n.mu.Lock()
				n.arrivals = append(n.arrivals, arrival{words[0], shard, at})
				n.mu.Unlock()
				gone := make(chan struct{})
				cancelMu.Lock()
				cancelled[words[0]] = gone
				cancelMu.Unlock()
				go func() {
					wait := n.serviceTime(shard, text)
					if wait < 0 {
						return
					}
					select {
					case <-time.After(wait):
						reply('E', fmt.Sprintf("%s hit %d -\n%s@%d", words[0], 1000+shard, text, shard))
					case <-gone:
						reply('E', fmt.Sprintf("%s fault 0 -\n", words[0]))
					}
				}()
			}
		case 'B':
			cancelMu.Lock()
			if gone := cancelled[string(rest)]; gone != nil {
				close(gone)
				delete(cancelled, string(rest))
			}
			cancelMu.Unlock()
		case 'C':
			reply('C', "hit")
		case 'D':
			reply('D', "-")
		default:
			reply('F', "unknown letter")
			return
		}
	}
}
