package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
)

// Condition says how a QueueingNode works at present: as usual, or disturbed in one of several ways. SetCondition sets it; it
// has nothing to do with the faults of a script.
type Condition uint8

const (
	// ConditionHealthy means that the node works as usual: it runs parts, and answers them and health probes.
	ConditionHealthy Condition = iota
	// ConditionDown means that the process is down: connections are refused, open ones were reset, and work in progress is lost.
	ConditionDown
	// ConditionPartitioned means that the node runs but receives nothing and its replies are lost: a network partition. What is sent to it
	// in the meantime is lost.
	ConditionPartitioned
	// ConditionProbesOnly means that the node answers health probes, and drops every part that arrives, without a reply.
	ConditionProbesOnly
	// ConditionSlow means that every part that the node starts takes slowFactor times as long.
	ConditionSlow
)

const (
	// slowFactor is how many times as long a part takes in ConditionSlow as in ConditionHealthy.
	slowFactor = 5
	// initialAge is how long ago the process of a new node counts as started, so that the node is warm at once.
	initialAge = time.Hour
)

// CapacityModel is the capacity of the queueing nodes of one simulation, which is the same for all of them.
type CapacityModel struct {
	// PartDuration is the time that one part takes at a warm node.
	PartDuration time.Duration
	// Concurrency is the number of parts that a node runs at once.
	Concurrency int
	// WarmupTime is the time from a node's start until it has its full capacity.
	WarmupTime time.Duration
	// ColdCapacityShare is the share of the full capacity that a node has at its start, from 0 to 1.
	ColdCapacityShare float64
	// CrashLoadFactor is the load, as a multiple of what a cold node can process in a CrashLoadWindow at its present capacity,
	// above which the node crashes and stays down.
	CrashLoadFactor float64
	// CrashLoadWindow is the length of the sliding window over which the load that CrashLoadFactor limits is counted.
	CrashLoadWindow time.Duration
}

// QueueingNode is a stand-in node that speaks frames and has a limited capacity: parts wait in a queue, the capacity rises from a
// restart until the node is warm, and a cold node that gets too much load crashes and stays down. The methods may be called from any
// goroutine.
type QueueingNode struct {
	// Name is the node's name in discovery's list of nodes.
	Name string
	// Zone is the zone that the node is in.
	Zone string
	// Group is the number of the replica group that the node belongs to.
	Group int
	// CapacityModel says how fast the node runs parts, and which load crashes it.
	CapacityModel

	// addr is the host and port at which the node listens, also after a restart.
	addr string

	// mu guards the fields below.
	mu sync.Mutex
	// listener accepts the connections of the current process; it is closed while the node is down.
	listener net.Listener
	// conns is the set of the connections that the node's current process has accepted, also those that were closed since. The end
	// of the process resets them all. Its values are all true.
	conns map[net.Conn]bool
	// condition is the condition set last by SetCondition, or ConditionDown after a crash or Close.
	condition Condition
	// incarnation is the number of times that the node's process has ended, so that work of an earlier process has no effect on a
	// later one.
	incarnation int
	// startedAt is when the current process started; for the first process, initialAge before that.
	startedAt time.Time
	// queue holds the parts that wait to be run.
	queue []job
	// busy is the number of parts that the node is running at present; at most Concurrency.
	busy int
	// coldArrivals holds the arrival times, within the CrashLoadWindow before the latest, of the parts that the current process
	// received while it was cold. The node's load is counted from them.
	coldArrivals []time.Time
	// worstLoad is the highest load that arrived within a CrashLoadWindow while the node was cold, over all of its processes, as a
	// multiple of the load above which the node crashes. Statistics returns it.
	worstLoad float64
	// crashed says that the node has crashed from overload, and stays down: it is never unset.
	crashed bool
	// arrivals holds the arrival times, over all processes, of the parts that reached the node's host while its process ran, also
	// of those that were lost there. Statistics returns a copy.
	arrivals []time.Time
	// partsRun is the number of parts that were run to their end, over all processes. Statistics returns it.
	partsRun int
}

// job is a part that a queueing node has to run, and the connection for its reply.
type job struct {
	// conn is the connection that the part came on.
	conn net.Conn
	// id identifies the part in the reply.
	id string
	// shard is the shard to be searched.
	shard int
}

// NewQueueingNode starts a warm node on a host, an IP address of the loopback network. The host should be one at which nothing else
// listens, as the node listens at the same host and port again after a restart. name, zone and group are what discovery's list says
// of the node. The error is the listener's.
func NewQueueingNode(host, name, zone string, group int, model CapacityModel) (*QueueingNode, error) {
	node := &QueueingNode{
		Name:          name,
		Zone:          zone,
		Group:         group,
		CapacityModel: model,
		conns:         map[net.Conn]bool{},
		startedAt:     time.Now().Add(-initialAge),
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	node.addr = ln.Addr().String()
	node.listener = ln
	go node.accept(ln)
	return node, nil
}

// DiscoveryEntry returns the node's entry, a JSON object, for a list of discovery; health is active, leaving or left.
func (n *QueueingNode) DiscoveryEntry(health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"k","block":%d,"health":%q,"share":1.0,"born_ms":0}`,
		n.Name, n.addr, n.Zone, n.Group, health)
}

// Addr returns the host and port at which the node listens.
func (n *QueueingNode) Addr() string { return n.addr }

// accept serves the connections of a listener until it is closed.
func (n *QueueingNode) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.condition == ConditionDown {
			n.mu.Unlock()
			conn.Close()
			continue
		}
		n.conns[conn] = true
		n.mu.Unlock()
		go n.serve(conn)
	}
}

// SetCondition changes the node's condition. A node that was down starts again cold at its old address; the error is that of
// listening there. It does nothing for a node that has crashed from overload.
func (n *QueueingNode) SetCondition(condition Condition) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashed || condition == n.condition {
		return nil
	}
	if condition == ConditionDown {
		n.endProcess()
		return nil
	}
	if n.condition == ConditionDown {
		ln, err := net.Listen("tcp", n.addr)
		if err != nil {
			return err
		}
		n.listener = ln
		n.startedAt = time.Now()
		n.coldArrivals = nil
		go n.accept(ln)
	}
	n.condition = condition
	return nil
}

// endProcess ends the node's process: it closes the listener, resets the connections and drops all work. The caller holds n.mu.
func (n *QueueingNode) endProcess() {
	n.condition = ConditionDown
	n.listener.Close()
	for conn := range n.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(n.conns)
	n.incarnation++
	n.queue = nil
	n.busy = 0
}

// Close ends the node's process, if it runs. SetCondition must not be called after it, as it could start the process again.
func (n *QueueingNode) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.condition != ConditionDown {
		n.endProcess()
	}
}

// capacity returns the node's capacity at the time now as a share of its full capacity, from ColdCapacityShare to 1. It rises
// linearly from the start of the process over WarmupTime.
func (n *QueueingNode) capacity(now time.Time) float64 {
	age := now.Sub(n.startedAt)
	if age >= n.WarmupTime {
		return 1
	}
	return n.ColdCapacityShare + (1-n.ColdCapacityShare)*age.Seconds()/n.WarmupTime.Seconds()
}

// serve reads the frames of one connection until it ends.
func (n *QueueingNode) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		letter, content, err := protocol.ReadFrame(reader)
		if err != nil {
			return
		}
		switch letter {
		case protocol.ProbeFrame:
			n.mu.Lock()
			reachable := n.condition != ConditionPartitioned && n.condition != ConditionDown
			n.mu.Unlock()
			if reachable {
				sendFrame(conn, protocol.ProbeFrame, "hit")
			}
		case protocol.CallFrame:
			if !eachPart(content, func(line, _ string) bool {
				fields := strings.Fields(line)
				if len(fields) != partLineFields {
					return false
				}
				shard, _ := strconv.Atoi(fields[1])
				n.enqueue(job{conn, fields[0], shard})
				return true
			}) {
				return
			}
		}
	}
}

// enqueue puts a part into the queue, unless the node's condition loses it or its load crashes the node.
func (n *QueueingNode) enqueue(part job) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.condition == ConditionDown {
		return
	}
	n.arrivals = append(n.arrivals, now)
	if n.condition == ConditionPartitioned || n.condition == ConditionProbesOnly {
		return
	}
	if share := n.capacity(now); share < 1 {
		for len(n.coldArrivals) > 0 && now.Sub(n.coldArrivals[0]) > n.CrashLoadWindow {
			n.coldArrivals = n.coldArrivals[1:]
		}
		n.coldArrivals = append(n.coldArrivals, now)
		load := float64(len(n.coldArrivals)) * n.PartDuration.Seconds()
		limit := n.CrashLoadFactor * share * float64(n.Concurrency) * n.CrashLoadWindow.Seconds()
		if n.worstLoad = max(n.worstLoad, load/limit); load > limit {
			n.crashed = true
			n.endProcess()
			return
		}
	}
	n.queue = append(n.queue, part)
	n.runQueued()
}

// runQueued starts parts from the queue while the node runs fewer than Concurrency of them. The caller holds n.mu.
func (n *QueueingNode) runQueued() {
	for n.busy < n.Concurrency && len(n.queue) > 0 {
		part := n.queue[0]
		n.queue = n.queue[1:]
		n.busy++
		seconds := n.PartDuration.Seconds() / n.capacity(time.Now())
		if n.condition == ConditionSlow {
			seconds *= slowFactor
		}
		incarnation := n.incarnation
		time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() { n.finish(part, incarnation) })
	}
}

// finish replies to a part that an incarnation of the node has run, and starts the next one. It does nothing if the node has
// restarted since, and its reply is lost if the node is partitioned from the network.
func (n *QueueingNode) finish(part job, incarnation int) {
	n.mu.Lock()
	if n.incarnation != incarnation {
		n.mu.Unlock()
		return
	}
	n.busy--
	n.partsRun++
	replyLost := n.condition == ConditionPartitioned
	n.runQueued()
	n.mu.Unlock()
	if !replyLost {
		sendFrame(part.conn, protocol.ReplyFrame, fmt.Sprintf("%s hit %d load=1\n%s", part.id, scoreOfShardZero+part.shard, ShardValue(part.shard)))
	}
}

// QueueingNodeStatistics is the record of what happened to a queueing node.
type QueueingNodeStatistics struct {
	// Crashed says that the node crashed from overload.
	Crashed bool
	// WorstColdLoad is the highest load that the node got while it was cold, as a multiple of the load above which it crashes.
	WorstColdLoad float64
	// ArrivalTimes holds the arrival times of the parts that reached the node's host while its process ran, also of those that
	// were lost there.
	ArrivalTimes []time.Time
	// PartsRun is the number of parts that the node has run to their end.
	PartsRun int
}

// Statistics returns what has happened to the node from its start until now, over all of its processes. The caller may keep
// and change the result.
func (n *QueueingNode) Statistics() QueueingNodeStatistics {
	n.mu.Lock()
	defer n.mu.Unlock()
	return QueueingNodeStatistics{
		Crashed:       n.crashed,
		WorstColdLoad: n.worstLoad,
		ArrivalTimes:  append([]time.Time(nil), n.arrivals...),
		PartsRun:      n.partsRun,
	}
}

// SendPart sends one part for a shard to the node at an address, on a connection of its own, and waits for the reply. It lets a
// simulation send searches without a broker, for comparison. It returns an error if the node does not answer before the context
// ends, or answers with anything but a good reply.
func SendPart(ctx context.Context, addr string, shard int) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	sendFrame(conn, protocol.CallFrame, fmt.Sprintf("r.%d %d d=240 1\nq", shard, shard))
	letter, content, err := protocol.ReadFrame(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if letter != protocol.ReplyFrame {
		return fmt.Errorf("unexpected frame %c", letter)
	}
	result, err := protocol.ParseReply(content)
	if err == nil && result.Outcome != balance.OK {
		err = fmt.Errorf("the part ended with outcome %d", result.Outcome)
	}
	return err
}
