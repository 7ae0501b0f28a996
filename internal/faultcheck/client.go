package faultcheck

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of a client's waits.
const (
	// eventTimeout bounds the wait for something that a fault depends on, such as the arrival of an attempt. A correct broker may never cause
	// it; after the timeout, the fault goes on as if it had happened.
	eventTimeout = 400 * time.Millisecond
	// answerGrace is how long a client still waits after its timeout plus socketSlack. A broker that has not answered by then is taken
	// never to answer. It also bounds the wait for a new connection, and how much longer than the timeout a client may take to write.
	answerGrace = time.Second
)

// client delivers searches over TCP connections, and records the results. A connection on which an answer came is kept, and a
// well-behaved client reuses it for a later delivery.
type client struct {
	// recorder records the deliveries.
	recorder *recorder
	// mayCloseUnread is set if brokers may close a new connection without reading it, which they do when file descriptors are short. On
	// all other new connections, the broker counts as having read the request once its last byte is written.
	mayCloseUnread bool

	// mu guards idle.
	mu sync.Mutex
	// idle holds the kept connections, by the process that they go to.
	idle map[*brokerProcess][]*clientConnection
}

// ampleDescriptors is the least number of file descriptors that must be granted to a broker so that it never runs short of them.
const ampleDescriptors = 512

// fewDescriptors reports whether brokers may run short of file descriptors: the setting limits them (DescriptorLimit), or grants fewer than
// ampleDescriptors.
func (s Setting) fewDescriptors() bool {
	return s.DescriptorLimit > 0 || s.GrantedSockets < ampleDescriptors
}

// newClient returns a client that records in recorder, for brokers that run with the setting s.
func newClient(recorder *recorder, s Setting) *client {
	return &client{recorder: recorder, mayCloseUnread: s.fewDescriptors(), idle: map[*brokerProcess][]*clientConnection{}}
}

// close closes the kept connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connections := range c.idle {
		for _, kept := range connections {
			kept.Close()
		}
	}
	clear(c.idle)
}

// deliver writes a search to a broker once, waits for the answer or the connection's end, and returns the delivery as recorded. Further
// requests that the options have written on the same connection are recorded as further deliveries.
func (c *client) deliver(b *broker, s search, options deliveryOptions) Delivery {
	process := b.currentProcess()
	delivery := c.recorder.deliveryBegan(s.newDelivery(process, options))
	wellBehaved := options.truncateAfterBytes == 0 && options.pauses[0] == nil && options.afterWrite == actionWait &&
		options.rawRequest == "" && len(options.pipelined) == 0 && options.answerBytesRead == 0
	conn, err := c.openConnection(process, !wellBehaved)
	if err != nil {
		return c.finishDelivery(process, delivery, func(d *Delivery) { d.Unread = true })
	}
	c.recorder.updateDelivery(delivery, func(d *Delivery) { d.Connected = true })
	deliveries := []int{delivery}
	for _, next := range options.pipelined {
		deliveries = append(deliveries, c.recorder.deliveryBegan(next.newDelivery(process, options)))
		c.recorder.updateDelivery(deliveries[len(deliveries)-1], func(d *Delivery) { d.Connected = true })
	}
	if closed := c.writeRequest(conn, deliveries, s, options); closed {
		return c.finishDelivery(process, delivery, func(*Delivery) {})
	}
	time.Sleep(options.readDelay)
	// lastAwaited is the index in deliveries of the last one whose answer was waited for.
	kept, lastAwaited := true, 0
	for i, delivery := range deliveries {
		if kept {
			kept, lastAwaited = c.readAnswer(conn, process, delivery, s, options), i
		}
	}
	if kept && wellBehaved {
		c.keepConnection(process, conn)
	} else {
		conn.Close()
	}
	c.finishPipelined(b, process, deliveries[lastAwaited:], options)
	var d Delivery
	c.recorder.update(func(h *History) { d = h.Deliveries[delivery] })
	return d
}

// finishPipelined records the ends of the requests that were pipelined after the last one whose answer was awaited. deliveries are the
// indices of that last one's delivery and then of theirs. By RFC 9112, section 9.6, a server does not read requests that follow an answer
// which closes the connection: these requests are delivered once more, so that a broker which read them nevertheless gets them twice. If
// the connection ended without an answer, it ended for all of them.
func (c *client) finishPipelined(b *broker, process *brokerProcess, deliveries []int, options deliveryOptions) {
	var last Delivery
	c.recorder.update(func(h *History) { last = h.Deliveries[deliveries[0]] })
	remaining := options.pipelined[len(options.pipelined)-(len(deliveries)-1):]
	for i, next := range remaining {
		if last.Complete {
			c.finishDelivery(process, deliveries[1+i], func(d *Delivery) { d.Unread = true })
			c.deliver(b, next, deliveryOptions{fault: "again, as it stood behind the last answer"})
			continue
		}
		c.finishDelivery(process, deliveries[1+i], func(d *Delivery) { d.EndedAt, d.ClientClosedAt = last.EndedAt, last.ClientClosedAt })
	}
}

// writeRequest writes a search and those pipelined after it as options say, and records when each request was completely written;
// deliveries are the indices of their records, in this order. It reports whether it has closed the connection afterwards, so that no answer
// is to be awaited.
func (c *client) writeRequest(conn *clientConnection, deliveries []int, s search, options deliveryOptions) (closed bool) {
	text := options.rawRequest
	if text == "" {
		text = s.usualBytes()
	}
	for _, next := range options.pipelined {
		text += next.usualBytes()
	}
	whole := true
	if options.truncateAfterBytes > 0 && options.truncateAfterBytes < len(text) {
		text, whole = text[:options.truncateAfterBytes], false
	}
	conn.SetWriteDeadline(time.Now().Add(s.timeout + answerGrace))
	writtenBefore := 0
	if options.byteByByte {
		writtenBefore = len(text) - 1
	}
	err := writeByteByByte(conn, text[:writtenBefore])
	if options.pauses[0] != nil {
		writtenBefore = len(text) - 1
		err = errors.Join(writeByteByByte(conn, text[:1]), pauseAndWrite(conn, options.pauses[0], text[1:writtenBefore]))
		options.pauses[1]()
	}
	// The time is taken before the last byte is written, so that all that it causes is dated later.
	now := time.Now()
	if err == nil {
		_, err = io.WriteString(conn, text[writtenBefore:])
	}
	ended := conn.endedByBroker()
	for i, delivery := range deliveries {
		c.recorder.updateDelivery(delivery, func(d *Delivery) {
			if whole && err == nil {
				// The times have the order in which the requests' bytes are written.
				d.WrittenAt = now.Add(time.Duration(i))
			}
			d.Unread = d.WrittenAt.IsZero() || ended && (conn.reused || c.mayCloseUnread)
		})
	}
	if options.afterWrite == actionWait {
		return false
	}
	if options.afterWriteCondition != nil {
		c.recorder.waitUntil(eventTimeout, options.afterWriteCondition)
	}
	c.recorder.updateDelivery(deliveries[0], func(d *Delivery) { d.ClientClosedAt = time.Now() })
	if options.onClosed != nil {
		options.onClosed()
	}
	switch options.afterWrite {
	case actionHalfClose:
		conn.CloseWrite()
		return false
	case actionReset:
		conn.SetLinger(0)
	}
	conn.Close()
	return true
}

// pauseAndWrite calls pause, which returns when it is time to write, and then writes the text in one piece.
func pauseAndWrite(w io.Writer, pause func(), text string) error {
	pause()
	_, err := io.WriteString(w, text)
	return err
}

// writeByteByByte writes a text in pieces of one byte.
func writeByteByByte(w io.Writer, text string) error {
	for i := range len(text) {
		if _, err := io.WriteString(w, text[i:i+1]); err != nil {
			return err
		}
	}
	return nil
}

// readAnswer reads the answer to the delivery with this index, of search s, and records it. It waits no longer than answerGrace after the
// search's timeout, and reports whether the connection can be used again. With options.answerBytesRead, it reads only so many bytes and
// resets the connection.
func (c *client) readAnswer(conn *clientConnection, process *brokerProcess, deliveryIndex int, s search, options deliveryOptions) (reusable bool) {
	conn.SetReadDeadline(time.Now().Add(s.timeout + socketSlack + answerGrace))
	if options.answerBytesRead > 0 {
		if _, err := io.CopyN(io.Discard, conn.reader, int64(options.answerBytesRead)); err != nil {
			c.recordNoAnswer(conn, process, deliveryIndex, err)
			return false
		}
		c.recorder.updateDelivery(deliveryIndex, func(d *Delivery) {
			d.ClientClosedAt = time.Now()
			d.LinkCutAt = d.ClientClosedAt
		})
		conn.SetLinger(0)
		conn.Close()
		c.finishDelivery(process, deliveryIndex, func(*Delivery) {})
		return false
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.recordNoAnswer(conn, process, deliveryIndex, err)
		return false
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.recorder.updateDelivery(deliveryIndex, func(d *Delivery) { d.Status = response.StatusCode })
		c.recordNoAnswer(conn, process, deliveryIndex, err)
		return false
	}
	var answer struct {
		Finished bool
		Found    []struct {
			Bucket int
			Item   string
		}
	}
	var parseErr error
	if response.StatusCode == http.StatusOK {
		parseErr = json.Unmarshal(raw, &answer)
	}
	c.finishDelivery(process, deliveryIndex, func(delivery *Delivery) {
		delivery.EndedAt = conn.lastByteAt
		delivery.Status = response.StatusCode
		delivery.Complete = parseErr == nil
		delivery.MarkedWhole = answer.Finished
		delivery.Unread = false
		for _, found := range answer.Found {
			delivery.Values = append(delivery.Values, Value{found.Bucket, found.Item})
		}
	})
	return !response.Close
}

// recordNoAnswer records that no complete answer came to the delivery with this index, because the connection ended or the client's wait
// timed out; err is the error of the read.
func (c *client) recordNoAnswer(conn *clientConnection, process *brokerProcess, deliveryIndex int, err error) {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		c.finishDelivery(process, deliveryIndex, func(d *Delivery) { d.ClientClosedAt = time.Now() })
		return
	}
	c.finishDelivery(process, deliveryIndex, func(d *Delivery) {
		d.EndedAt = time.Now()
		// A draining broker closes connections that are idle between requests. If that close crosses a request on a reused connection, the
		// client sees it within crossingTolerance, and the broker never read the request. An end on a new connection, or a later one, does
		// not show that the request was unread.
		d.Unread = d.Unread || conn.reused && process.terminating() && d.EndedAt.Sub(d.WrittenAt) < crossingTolerance
	})
}

// finishDelivery applies change, which sets how a delivery ended, to the record with this index, and records whether its process was killed
// before it answered. It returns a copy of the record.
func (c *client) finishDelivery(process *brokerProcess, deliveryIndex int, change func(d *Delivery)) (delivery Delivery) {
	c.recorder.update(func(h *History) {
		recorded := &h.Deliveries[deliveryIndex]
		change(recorded)
		if recorded.Complete {
			recorded.BrokerKilledAt = time.Time{}
		} else if !process.killedAt.IsZero() && !recorded.Unread {
			recorded.BrokerKilledAt = process.killedAt
		}
		delivery = *recorded
	})
	return delivery
}
