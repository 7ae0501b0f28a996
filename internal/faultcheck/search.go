package faultcheck

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// search is a search that a client requests.
type search struct {
	// id identifies the search; it is sent in the header X-Trace-Id.
	id string
	// class is the name of the search class, sent as X-Qos and in the path.
	class string
	// shards are the numbers of the shards that the request names.
	shards []int
	// text is the body's text, which each part carries.
	text string
	// timeout is how long the client waits for the answer, sent as X-Expires-In.
	timeout time.Duration
	// repeated marks the request as a repeat by its client, in the header X-Second-Try.
	repeated bool
}

// shardShares returns the shards of the search, each with an equal share of the whole answer.
func (s search) shardShares() (shares []ShardShare) {
	for _, shard := range s.shards {
		shares = append(shares, ShardShare{shard, 1 / float64(len(s.shards))})
	}
	return shares
}

// body returns the JSON body of the search's request.
func (s search) body() string {
	var buckets []string
	for _, share := range s.shardShares() {
		buckets = append(buckets, fmt.Sprintf(`{"bucket":%d,"part":%g,"effort":900}`, share.Shard, share.Share))
	}
	text, err := json.Marshal(s.text)
	// A string can always be encoded.
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"buckets":[%s],"body":%s}`, strings.Join(buckets, ","), text)
}

// requestBytes returns the whole HTTP request for the search with the given path and body. Extra header lines follow the usual ones, before
// Content-Length.
func (s search) requestBytes(path, body string, extraHeaderLines ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In: %dm\r\n",
		path, s.id, s.class, dealerName, s.timeout.Milliseconds())
	if s.repeated {
		b.WriteString("X-Second-Try: 1\r\n")
	}
	for _, line := range extraHeaderLines {
		b.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// usualBytes returns the search's request as well-behaved clients send it.
func (s search) usualBytes() string { return s.requestBytes("/"+s.class, s.body()) }

// newDelivery returns the record of a delivery of the search to a broker's process, with the fields that are known before its first byte
// is written.
func (s search) newDelivery(process *brokerProcess, options deliveryOptions) Delivery {
	return Delivery{Search: s.id, Class: s.class, Broker: process.name, Shards: s.shardShares(), Text: s.text, Timeout: s.timeout,
		Fault: options.fault, Ambiguous: options.ambiguous}
}

// afterWriteAction is what a client does with its connection after it has written its bytes.
type afterWriteAction int

const (
	// actionWait: the client leaves its connection open and waits for the answer.
	actionWait afterWriteAction = iota
	// actionClose: the client closes its connection.
	actionClose
	// actionReset: the client resets its connection.
	actionReset
	// actionHalfClose: the client closes its sending side of the connection, and waits for the answer.
	actionHalfClose
)

// deliveryOptions say how a search is delivered. The zero value is a delivery by a well-behaved client.
type deliveryOptions struct {
	// fault describes what is injected, for Delivery.Fault.
	fault string
	// rawRequest, if set, is written in place of the usual request.
	rawRequest string
	// ambiguous is set if two correct parsers of rawRequest take it for different requests.
	ambiguous bool
	// truncateAfterBytes, if above 0, is how many bytes of the request are written; the rest never is.
	truncateAfterBytes int
	// byteByByte writes the request in pieces of one byte.
	byteByByte bool
	// pauses, if set, are two functions: the first is called after the request's first byte is written, the second before its last byte.
	// The client goes on to write when they return. Either both are set or none.
	pauses [2]func()
	// afterWrite is what the client does with the connection after it has written its bytes.
	afterWrite afterWriteAction
	// afterWriteCondition, if set, is a condition on what was recorded so far. The client waits until it holds, at most for eventTimeout,
	// before it does what afterWrite says; with actionWait it is not used.
	afterWriteCondition func(h *History) bool
	// onClosed, if set, is called just before the client ends its side as afterWrite says, after Delivery.ClientClosedAt was recorded; with
	// actionWait it is not called.
	onClosed func()
	// answerBytesRead, if above 0, is how many bytes of the answer are read before the connection is reset; with 0 the whole answer is read.
	answerBytesRead int
	// pipelined are further searches, which are written right after the first one without waiting for its answer.
	pipelined []search
	// readDelay is how long the client waits, once its bytes are written, before it reads the answer.
	readDelay time.Duration
}
