package simwire

import (
	"encoding/json"
	"strconv"

	"brackenfront/balance"
)

// A compile-time check that brokerHost implements balance.Host.
var _ balance.Host = (*brokerHost)(nil)

// beginAction begins an action, a line of the reply by which this broker asks the simulator to do something: it appends
// the start of a JSON array with the action's name and the broker's number. The values and endAction follow.
func (h *brokerHost) beginAction(name string) {
	reply := append(h.server.reply, '[', '"')
	reply = append(reply, name...)
	h.server.reply = strconv.AppendInt(append(reply, '"', ','), h.number, 10)
}

// appendInteger appends a whole number to the values of the action that was begun last.
func (h *brokerHost) appendInteger(value int64) {
	h.server.reply = strconv.AppendInt(append(h.server.reply, ','), value, 10)
}

// appendTime appends a time or duration, given in seconds, to the values of the action that was begun last, written in
// milliseconds with three decimals.
func (h *brokerHost) appendTime(seconds float64) {
	h.server.reply = strconv.AppendFloat(append(h.server.reply, ','), seconds/millisecond, 'f', 3, 64)
}

// appendText appends a text, as a JSON string, to the values of the action that was begun last.
func (h *brokerHost) appendText(value string) {
	encoded, _ := json.Marshal(value)
	h.server.reply = append(append(h.server.reply, ','), encoded...)
}

// appendBool appends true or false to the values of the action that was begun last.
func (h *brokerHost) appendBool(value bool) {
	h.server.reply = strconv.AppendBool(append(h.server.reply, ','), value)
}

// endAction ends the action that was begun last: it closes the array and the line.
func (h *brokerHost) endAction() { h.server.reply = append(h.server.reply, ']', '\n') }

// requestID returns the ID of the request that stands on the wire for a search, if part is wholeSearch, or for the part
// with that index.
func (h *brokerHost) requestID(search *balance.Search, part int) int64 {
	ids := &h.slots[search.Slot()]
	if part < 0 {
		return ids.id
	}
	return ids.parts[part]
}

// Send implements balance.Host: it asks the simulator to send the next attempt of a part to a node. The attempt may
// take timeout seconds; 0 for no limit of its own.
func (h *brokerHost) Send(search *balance.Search, part, node int, timeout float64) {
	h.beginAction("SUBMIT_TO")
	h.appendInteger(h.requestID(search, part))
	h.appendText(h.addrs[node])
	h.appendTime(timeout)
	h.endAction()
}

// Cancel implements balance.Host: it asks the simulator to cancel an attempt of a part; attempt counts from 0.
func (h *brokerHost) Cancel(search *balance.Search, part, attempt int) {
	h.beginAction("UNDO_SEND")
	h.appendInteger(h.requestID(search, part))
	h.appendInteger(int64(attempt))
	h.endAction()
}

// Answer implements balance.Host: it asks the simulator to answer a search from the parts that have succeeded. complete
// says whether they make a complete answer.
func (h *brokerHost) Answer(search *balance.Search, complete bool) {
	h.beginAction("GATHER_UP")
	h.appendInteger(h.requestID(search, wholeSearch))
	h.appendBool(complete)
	h.endAction()
}

// Reject implements balance.Host: it asks the simulator to reject a search, which its client may repeat without harm
// after retryAfter seconds; 0 for no advice.
func (h *brokerHost) Reject(search *balance.Search, retryAfter float64) {
	h.beginAction("REJECT")
	h.appendInteger(h.requestID(search, wholeSearch))
	h.appendTime(retryAfter)
	h.endAction()
}

// Fail implements balance.Host: it asks the simulator to end a search with an error, without the assurance that its
// client may repeat it.
func (h *brokerHost) Fail(search *balance.Search) {
	h.beginAction("GIVE_UP")
	h.appendInteger(h.requestID(search, wholeSearch))
	h.endAction()
}

// Probe implements balance.Host: it asks the simulator for a health probe of a node; the message PROBE_DONE has the
// result.
func (h *brokerHost) Probe(node int) {
	h.beginAction("TOUCH")
	h.appendText(h.addrs[node])
	h.endAction()
}

// CloseConnections implements balance.Host: with quiet 0 it asks the simulator to close the connections to a node on
// which no attempt is in flight. quiet above 0 selects those on which nothing came for that many seconds; the protocol
// has no message for that, so that such a call does nothing.
func (h *brokerHost) CloseConnections(node int, quiet float64) {
	if quiet > 0 {
		return
	}
	h.beginAction("DROP_CONNS")
	h.appendText(h.addrs[node])
	h.endAction()
}

// WatchNodeList implements balance.Host: it asks the simulator for the node list and its changes, which then come in
// messages REGISTRY.
func (h *brokerHost) WatchNodeList() {
	h.beginAction("WATCH")
	h.appendBool(true)
	h.endAction()
}

// WakeAt implements balance.Host: it asks the simulator for an event, the message DUE, at the time at, in seconds. The
// text "close" is sent along, and nothing here depends on it.
func (h *brokerHost) WakeAt(at float64) {
	h.beginAction("TIMER")
	h.appendTime(at)
	h.appendText("close")
	h.endAction()
}
