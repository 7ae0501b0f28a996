package simwire

import (
	"fmt"

	"brackenfront/balance"
)

// brokerHost is the balance.Host of one broker. It translates between the names and numbers of the simulator's messages
// and the broker's handles and indices.
type brokerHost struct {
	server *server         // server that passes messages to this host and holds the reply that the host appends actions to
	number int64           // number by which messages name the broker
	broker *balance.Broker // broker whose decisions this host encodes as actions
	inTurn bool            // whether the broker had an event in the current batch, so that its turn has begun and not ended

	classes  map[string]int            // index of each search class in the broker's settings, by the name of the class
	dealers  map[string]int            // index of each dealer in the broker's settings, by the name of the dealer
	zones    map[string]int            // index that the broker knows each zone by, by the zone's name; 0 is the broker's own
	nodes    map[string]int            // index that the broker knows each node by, by the node's address (HOST:PORT)
	addrs    []string                  // address of each node (HOST:PORT), by the index in nodes
	targets  map[int64]target          // search or part that each request ID on the wire stands for; addSearch drops those of a slot that is used again
	searches map[int64]*balance.Search // search handles, by the number in the field query of REQUEST messages; addSearch drops them like targets
	slots    []slot                    // IDs on the wire of each search in progress and of its parts, by the search's balance.Search.Slot
}

// target is the search, or the part of a search, that a request's ID on the wire stands for.
type target struct {
	search *balance.Search // search that the ID stands for, or whose part it stands for
	part   int             // index in the search of the part that the ID stands for, or wholeSearch
}

// wholeSearch is the value of target.part, and of the parameter part of requestID, that stands for a search as a whole.
const wholeSearch = -1

// noDealer is the dealer's index, in balance.Broker.AddSearch, of a search that names no known dealer.
const noDealer = -1

// slot has the numbers by which messages name one search and its parts.
type slot struct {
	id     int64   // ID of the request that is the search as a whole
	search int64   // number of the search, from the field query of its REQUEST messages
	parts  []int64 // IDs of the requests that are its parts, by the part's index in the search
}

// reportPanic runs call, which calls the broker. If that panics, it adds an action FAULT with the panic's text to the
// reply, and the process goes on.
func (h *brokerHost) reportPanic(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			h.beginAction("FAULT")
			h.appendText(fmt.Sprint(cause))
			h.endAction()
		}
	}()
	call()
}

// beginTurn begins the broker's turn (Broker.BeginTurn) at the time of the batch, if this is its first event in the
// batch. server.endBatch ends the turn.
func (h *brokerHost) beginTurn() {
	if !h.inTurn {
		h.inTurn = true
		h.server.hostsInTurn = append(h.server.hostsInTurn, h)
		h.broker.BeginTurn(h.server.now)
	}
}

// handleNodeList handles the message REGISTRY: it passes changes of the node list (kind diff), a complete list
// (snapshot or disk) or the failure of the subscription (error) to the broker. The entries are those of the POOL
// message sent before whose number is in the field ref; the broker's own zone has the rank 0, every other the rank 1.
// Errors are in m.err.
func (h *brokerHost) handleNodeList(m *message) {
	kind := m.text(1, "kind")
	ref := int64(0)
	switch kind {
	case "error":
		h.broker.NodeListFailed()
		return
	case "diff", "snapshot", "disk":
		ref = m.integer(3, "ref")
	default:
		if m.err == nil {
			m.err = fmt.Errorf("REGISTRY: field kind: expected diff, snapshot, disk or error, got %q", kind)
		}
	}
	list, ok := h.server.pools[ref]
	if !ok && m.err == nil {
		m.err = fmt.Errorf("REGISTRY: field ref: expected the number of a POOL sent before, got %d", ref)
	}
	if m.err != nil {
		return
	}
	entries := make([]balance.NodeEntry, 0, len(list))
	for _, listed := range list {
		zone, ok := h.zones[listed.zone]
		if !ok {
			zone = len(h.zones)
			h.zones[listed.zone] = zone
		}
		entries = append(entries, balance.NodeEntry{
			Node:      h.nodeIndex(listed.addr),
			Group:     listed.group,
			Zone:      zone,
			ZoneRank:  min(zone, 1),
			Status:    listed.status,
			StartedAt: listed.startedAt,
		})
	}
	h.broker.UpdateNodes(kind != "diff", entries)
}

// nodeIndex returns the broker's index of the node with this address, HOST:PORT. A new address gets the next free
// index.
func (h *brokerHost) nodeIndex(addr string) int {
	index, ok := h.nodes[addr]
	if !ok {
		index = len(h.addrs)
		h.nodes[addr] = index
		h.addrs = append(h.addrs, addr)
	}
	return index
}

// handleRequest handles the message REQUEST: it adds a search to the broker if the field segmentNo, the shard, is below
// 0, and otherwise a part to the search whose number is in the field query. A part of an unknown search is ignored.
// Errors are in m.err.
func (h *brokerHost) handleRequest(m *message) {
	id := m.integer(1, "opId")
	className := m.text(2, "kind")
	remaining := m.number(5, "ttl")
	searchNumber := m.integer(7, "query")
	shard := m.number(8, "segmentNo")
	class, ok := h.classes[className]
	if !ok && m.err == nil {
		m.err = fmt.Errorf("REQUEST: field kind: expected the name of a lane, got %q", className)
	}
	weight := 0.0
	dealer := noDealer
	if !m.absent(3) {
		if index, ok := h.dealers[m.text(3, "project")]; ok {
			dealer = index
		}
	}
	if shard >= 0 {
		weight = m.number(9, "heft")
	}
	if m.err != nil {
		return
	}
	if shard < 0 {
		h.addSearch(id, searchNumber, class, dealer, remaining)
		return
	}
	search := h.searches[searchNumber]
	if search == nil {
		return
	}
	if part := search.AddPart(int(shard), weight); part >= 0 {
		ids := &h.slots[search.Slot()]
		ids.parts = append(ids.parts, id)
		h.targets[id] = target{search, part}
	}
}

// addSearch adds a search to the broker, in place of the search that had its slot before. id is the ID of its REQUEST
// message, searchNumber the number in that message's field query, remaining how long its client waits, in milliseconds.
func (h *brokerHost) addSearch(id, searchNumber int64, class, dealer int, remaining float64) {
	search := h.broker.AddSearch(class, dealer, remaining*millisecond, 0)
	for len(h.slots) <= search.Slot() {
		h.slots = append(h.slots, slot{})
	}
	// The broker reuses a slot once nothing can come for the search that had it, so that its IDs are dropped here.
	ids := &h.slots[search.Slot()]
	delete(h.targets, ids.id)
	if h.searches[ids.search] == search {
		delete(h.searches, ids.search)
	}
	for _, partID := range ids.parts {
		delete(h.targets, partID)
	}
	*ids = slot{id: id, search: searchNumber, parts: ids.parts[:0]}
	h.targets[id] = target{search, wholeSearch}
	h.searches[searchNumber] = search
}

// codeOK is the completion code of success in REPLY and PROBE_DONE messages.
const codeOK = 200

// outcomes are the outcomes of attempts, by the completion code in the field stateCode of a REPLY message.
var outcomes = map[int64]balance.Outcome{
	codeOK: balance.OK,
	500:    balance.Failed,
	503:    balance.Overloaded,
	504:    balance.TimedOut,
	502:    balance.Unreachable,
	598:    balance.ConnectionLost,
	499:    balance.Cancelled,
	410:    balance.NotSent,
}

// handleReply handles the message REPLY: it passes the outcome of a part's newest attempt to the broker. Outcomes of
// earlier attempts, and of unknown requests, are ignored. Errors are in m.err.
func (h *brokerHost) handleReply(m *message) {
	id := m.integer(1, "opId")
	attempt := m.integer(2, "roundNo")
	code := m.integer(4, "stateCode")
	// The field node is checked, but not used: the broker knows which node it sent the attempt to.
	m.text(3, "node")
	duration := m.number(5, "costTime") * millisecond
	outcome, ok := outcomes[code]
	if !ok && m.err == nil {
		m.err = fmt.Errorf("REPLY: field stateCode: expected a completion code, got %d", code)
	}
	if found, known := h.targets[id]; known && m.err == nil && found.part >= 0 &&
		int(attempt) == found.search.Attempts(found.part)-1 {
		found.search.AttemptEnded(found.part, outcome, duration)
	}
}

// handleClientLeft handles the message GONE: it reports to the broker that a search's client no longer waits. Unknown
// searches are ignored. Errors are in m.err.
func (h *brokerHost) handleClientLeft(m *message) {
	if found, known := h.targets[m.integer(1, "opId")]; known && m.err == nil && found.part < 0 {
		found.search.ClientLeft()
	}
}

// handleProbeDone handles the message PROBE_DONE: it passes the result of a health probe to the broker, success for the
// code codeOK. Unknown nodes are ignored. Errors are in m.err.
func (h *brokerHost) handleProbeDone(m *message) {
	code := m.integer(1, "stateCode")
	addr := m.text(3, "node")
	if index, known := h.nodes[addr]; known && m.err == nil {
		h.broker.ProbeEnded(index, code == codeOK)
	}
}

// handleWakeup handles the messages DUE, ESTABLISHED and PEER, which have no values that the broker uses. It does
// nothing: handleEvent has already begun the broker's turn, at whose end the broker does what is due.
func (h *brokerHost) handleWakeup(*message) {}
