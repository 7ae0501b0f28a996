package kit

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// maxNodeFrame bounds the length of a frame that a node takes.
const maxNodeFrame = 1 << 20

// Value is what a sound node gives for a part: a text that depends on the part's id, shard and text, so that a client can tell a
// value that was made for another request.
func Value(partID string, shard int, text string) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s|%d|%s", partID, shard, text)
	return fmt.Sprintf("%016x", hash.Sum64())
}

// Part is one part as a node received it.
type Part struct {
	// Node is the node's name, ID the part's id, Shard its shard and Text the text that it carries.
	Node, ID string
	Shard    int
	Text     string
	// Fields is the list of the part's line, such as d=240.
	Fields string
}

// Node is a stand-in node that speaks frames, as the section "Brokers to nodes" of the protocol page has it.
type Node struct {
	Name     string
	Block    int
	Health   string
	Born     int64
	listener net.Listener
	// work is how long a part takes.
	work time.Duration
	// onPart is called for each part that comes.
	onPart func(Part)
	// TurnAway, if it is set before the first part comes, says whether a part is turned away unseen, as by a node whose queue is
	// full; that takes as long as the work on a part.
	TurnAway func(Part) bool
}

// NewNode starts a node on a free loopback port. onPart is called for each part before it is answered.
func NewNode(name string, block int, work time.Duration, onPart func(Part)) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	node := &Node{Name: name, Block: block, Health: "active", listener: listener, work: work, onPart: onPart}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go node.serve(conn)
		}
	}()
	return node, nil
}

// Addr is the node's address.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Entry is the node's entry in discovery's list.
func (n *Node) Entry() string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"small-2c","block":%d,"health":%q,"share":1.0,"born_ms":%d}`,
		n.Name, n.Addr(), n.Block, n.Health, n.Born)
}

// serve answers the frames of one connection. Parts run side by side; a part that was given up is not answered.
func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	var mu sync.Mutex
	givenUp := map[string]bool{}
	send := func(letter byte, content string) {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(content)+1))
		frame = append(append(frame, letter), content...)
		mu.Lock()
		defer mu.Unlock()
		conn.Write(frame)
	}
	for reader := bufio.NewReader(conn); ; {
		var head [5]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return
		}
		length := binary.BigEndian.Uint32(head[:])
		if length < 1 || length > maxNodeFrame {
			return
		}
		content := make([]byte, length-1)
		if _, err := io.ReadFull(reader, content); err != nil {
			return
		}
		switch head[4] {
		case 'A':
			for len(content) > 0 {
				line, after, _ := bytes.Cut(content, []byte{'\n'})
				words := bytes.Fields(line)
				if len(words) != 4 {
					send('F', "a part's line has four words")
					return
				}
				shard, _ := strconv.Atoi(string(words[1]))
				size, err := strconv.Atoi(string(words[3]))
				if err != nil || size < 0 || size > len(after) {
					send('F', "a part's length does not fit")
					return
				}
				part := Part{Node: n.Name, ID: string(words[0]), Shard: shard, Text: string(after[:size]), Fields: string(words[2])}
				content = after[size:]
				mu.Lock()
				delete(givenUp, part.ID)
				mu.Unlock()
				go func() {
					n.onPart(part)
					turnedAway := n.TurnAway != nil && n.TurnAway(part)
					time.Sleep(n.work)
					mu.Lock()
					dropped := givenUp[part.ID]
					mu.Unlock()
					if turnedAway {
						send('E', part.ID+" overload 0 -\n")
					} else if !dropped {
						send('E', fmt.Sprintf("%s hit %d -\n%s", part.ID, 1000+part.Shard, Value(part.ID, part.Shard, part.Text)))
					}
				}()
			}
		case 'B':
			mu.Lock()
			givenUp[string(content)] = true
			mu.Unlock()
		case 'C':
			send('C', "hit")
		case 'D':
			send('D', "-")
		default:
			send('F', "an unknown letter")
			return
		}
	}
}
