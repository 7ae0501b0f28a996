// Package simwire implements the simulator's line protocol: it decodes batches of events into calls on balance.Broker
// and balance.Search, and encodes the actions that the brokers ask for. It makes no decisions of its own.
//
// Each line is a JSON array. A batch begins with MARK, which has the time, and ends with GO. The answer to a batch is
// the actions of all brokers, then FINISHED. Times on the wire are milliseconds.
package simwire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
)

// millisecond is the unit of times in the simulator's messages, in seconds.
const millisecond = 1e-3

// bufferBytes is the size in bytes of the buffer for messages from the simulator, and of that for replies to it.
const bufferBytes = 1 << 20

// nodeEntry is one entry of a POOL message, which is a node list that REGISTRY messages refer to.
type nodeEntry struct {
	addr      string             // address of the node, as HOST:PORT
	zone      string             // name of the node's zone
	group     int                // index of the node's replica group
	status    balance.NodeStatus // whether the node may be sent parts: active, draining or departed
	startedAt float64            // time when the node started, in seconds of the simulator's clock; 0 for long ago
}

// server is the state of one connection to the simulator.
type server struct {
	in          *bufio.Reader         // batches from the simulator
	out         *bufio.Writer         // replies to the simulator
	reply       []byte                // reply to the current batch so far: the actions of all brokers, one line each
	now         float64               // time of the current batch, in seconds of the simulator's clock
	pools       map[int64][]nodeEntry // node lists by the number that their POOL message gave them
	hosts       map[int64]*brokerHost // running brokers by the number that their BOOT message gave them; KILL takes one out
	hostsInTurn []*brokerHost         // brokers that had an event in the current batch, whose turns endBatch ends, in the order of their first events
}

// Serve reads batches of messages from in and writes the reply to each to out, until the input ends; then it returns
// nil. A malformed message ends it with an error that names the line, the message, the field and what was expected; so
// does an error of in or out, or the end of the input inside a batch.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in:    bufio.NewReaderSize(in, bufferBytes),
		out:   bufio.NewWriterSize(out, bufferBytes),
		pools: map[int64][]nodeEntry{},
		hosts: map[int64]*brokerHost{},
	}
	open := false
	for lineNumber := 1; ; lineNumber++ {
		line, err := s.in.ReadBytes('\n')
		if len(line) == 0 || err == io.EOF && isBlank(line) {
			if open {
				return fmt.Errorf("input ended inside a batch: expected GO")
			}
			return nil
		} else if err != nil && err != io.EOF {
			return err
		}
		if isBlank(line) {
			continue
		}
		m, err := parseMessage(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		switch {
		case m.name == "MARK" && !open:
			s.now = m.number(0, "clock") * millisecond
			open = true
		case m.name == "MARK":
			err = fmt.Errorf("MARK inside a batch: expected GO first")
		case !open:
			err = fmt.Errorf("%s outside a batch: expected MARK", m.name)
		case m.name == "GO":
			s.endBatch()
			if _, err := s.out.Write(s.reply); err != nil {
				return err
			}
			if err := s.out.Flush(); err != nil {
				return err
			}
			s.reply = s.reply[:0]
			open = false
		default:
			err = s.handleEvent(m)
		}
		if err == nil {
			err = m.err
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
	}
}

// isBlank reports whether a line is empty or has nothing but white space.
func isBlank(line []byte) bool {
	for _, c := range line {
		if c != ' ' && c != '\n' && c != '\r' && c != '\t' {
			return false
		}
	}
	return true
}

// endBatch ends the turn of every broker that had an event, in the order of their first events, in which they decide
// what they send. Brokers that were killed or started anew since that event are left out. It completes the reply with
// FINISHED.
func (s *server) endBatch() {
	for _, h := range s.hostsInTurn {
		h.inTurn = false
		if s.hosts[h.number] == h {
			h.reportPanic(h.broker.EndTurn)
		}
	}
	s.hostsInTurn = s.hostsInTurn[:0]
	s.reply = append(s.reply, "[\"FINISHED\"]\n"...)
}

// eventHandlers are the functions that handle the messages to a running broker, by message name.
var eventHandlers = map[string]func(*brokerHost, *message){
	"REGISTRY":    (*brokerHost).handleNodeList,
	"REQUEST":     (*brokerHost).handleRequest,
	"REPLY":       (*brokerHost).handleReply,
	"GONE":        (*brokerHost).handleClientLeft,
	"PROBE_DONE":  (*brokerHost).handleProbeDone,
	"DUE":         (*brokerHost).handleWakeup,
	"ESTABLISHED": (*brokerHost).handleWakeup,
	"PEER":        (*brokerHost).handleWakeup,
}

// handleEvent handles one message of a batch other than MARK and GO. It returns an error if the message is unknown, its
// broker has not started, or it cannot be carried out; a field that is missing or of the wrong type is recorded in
// m.err instead.
func (s *server) handleEvent(m *message) error {
	if m.name == "POOL" {
		return s.handlePool(m)
	}
	number := m.integer(0, "brokerId")
	if m.err != nil {
		return nil
	}
	switch m.name {
	case "BOOT":
		return s.handleBoot(m, number)
	case "KILL":
		delete(s.hosts, number)
		return nil
	}
	handle, ok := eventHandlers[m.name]
	if !ok {
		return fmt.Errorf("unknown message %q", m.name)
	}
	h := s.hosts[number]
	if h == nil {
		return fmt.Errorf("%s: field brokerId: broker %d has not started", m.name, number)
	}
	h.reportPanic(func() {
		h.beginTurn()
		handle(h, m)
	})
	return nil
}

// handleBoot handles the message BOOT: it starts the broker with that number, in place of an earlier one, and begins
// its first turn. It returns an error if the configuration is not valid; a field that is missing or of the wrong type
// is recorded in m.err instead.
func (s *server) handleBoot(m *message, number int64) error {
	var seed uint64
	var config json.RawMessage
	m.read(1, "prng", "a whole number", &seed)
	m.read(2, "config", "an object", &config)
	if m.err != nil {
		return nil
	}
	deployment, err := protocol.ParseSettings(config, seed)
	if err != nil {
		return fmt.Errorf("BOOT: field config: %w", err)
	}
	h := &brokerHost{
		server:   s,
		number:   number,
		zones:    map[string]int{deployment.LocalZone: 0},
		classes:  deployment.ClassIndexes,
		dealers:  deployment.DealerIndexes,
		nodes:    map[string]int{},
		targets:  map[int64]target{},
		searches: map[int64]*balance.Search{},
	}
	if h.broker, err = balance.New(h, deployment.Settings); err != nil {
		return fmt.Errorf("BOOT: field config: %w", err)
	}
	s.hosts[number] = h
	h.beginTurn()
	return nil
}

// nodeStatuses are the statuses of nodes, by the text in the field lifecycle of a POOL message's entry.
var nodeStatuses = map[string]balance.NodeStatus{
	"active":  balance.Active,
	"leaving": balance.Draining,
	"left":    balance.Departed,
}

// handlePool handles the message POOL: it stores a node list under its number, for the messages REGISTRY that refer to
// it. It returns an error if an entry is malformed; other fields' errors are in m.err.
func (s *server) handlePool(m *message) error {
	ref := m.integer(0, "ref")
	var rows [][]json.RawMessage
	m.read(1, "hosts", "an array of entries", &rows)
	list := make([]nodeEntry, 0, len(rows))
	for _, row := range rows {
		values := &message{name: "POOL: entry", values: row}
		entry := nodeEntry{
			addr:  values.text(0, "node"),
			zone:  values.text(1, "az"),
			group: int(values.integer(3, "cell")),
		}
		lifecycle := values.text(4, "lifecycle")
		if !values.absent(6) {
			entry.startedAt = values.number(6, "cameUp") * millisecond
		}
		if values.err != nil {
			return values.err
		}
		var known bool
		if entry.status, known = nodeStatuses[lifecycle]; !known {
			return fmt.Errorf("POOL: entry: field lifecycle: expected active, leaving or left, got %q", lifecycle)
		}
		list = append(list, entry)
	}
	s.pools[ref] = list
	return nil
}
