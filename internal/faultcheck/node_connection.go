package faultcheck

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// nodeConnection is the node's side of a connection from a broker.
type nodeConnection struct {
	// timestampedConn is the TCP connection, whose reads report when the bytes arrived.
	*timestampedConn
	// node is the node that accepted the connection.
	node *node
	// name is the connection's name in the history.
	name string
	// plan says whether and how the node ends the connection.
	plan connectionPlan

	// writeMu is held while a frame is written.
	writeMu sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// bytesRead is the number of bytes that the node has read.
	bytesRead int
	// pending holds the attempts on the connection that have not ended: the ids of their parts, by attempt index.
	pending map[int]string
	// endedByID holds, by the id of a part, the index of the newest attempt that the node has ended by an answer. A give-up that had arrived
	// before that answer is still recorded for it (receiveGiveUp).
	endedByID map[string]int
	// endedByNode is set once the node has ended the connection, or its side of it.
	endedByNode bool
	// endedByNodeAt is when the node ended the connection, or its side of it.
	endedByNodeAt time.Time
	// arrivals are the recorded times of the bytes that have not been handled yet, in ascending order of both bytes and times.
	arrivals []arrival
	// absences are the latest times at which inspections saw no more than a number of bytes to have come, in ascending order of both; see
	// noteAbsence.
	absences []arrival
	// lastSeenOpen is when inspectSocket last found that the broker had not ended the connection; zero before the first such inspection.
	lastSeenOpen time.Time
	// forgottenArrival is the time of the last record that was removed from arrivals; zero if none was.
	forgottenArrival time.Time
	// brokerEndedAt is when the broker ended the connection; zero as long as neither inspectSocket nor a read has noticed an end.
	brokerEndedAt time.Time
}

// errCutByPlan is the read error on a connection that was reset by its connectionPlan.
var errCutByPlan = errors.New("cut by plan")

// Read reads from the connection, but waits while its node is set not to read, and ends the connection after the number of bytes in its
// connectionPlan if that has a cut.
func (c *nodeConnection) Read(b []byte) (int, error) {
	c.awaitReading()
	c.mu.Lock()
	ended := c.endedByNode
	left := c.plan.cutAfterBytes - c.bytesRead
	c.mu.Unlock()
	if c.plan.cut && !ended {
		if left <= 0 {
			c.cutAsPlanned()
			if !c.plan.halfClose {
				return 0, errCutByPlan
			}
		} else {
			b = b[:min(len(b), left)]
		}
	}
	n, at, err := c.readTimestamped(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesRead += n
	c.noteArrival(at, c.bytesRead)
	return n, err
}

// awaitReading waits until resumeReading if the node is set not to read, and inspects the socket meanwhile so that bytes are dated as
// they arrive.
func (c *nodeConnection) awaitReading() {
	for {
		c.node.mu.Lock()
		resumed := c.node.readResumed
		c.node.mu.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-time.After(socketPollInterval):
			c.inspectSocket()
		}
	}
}

// cutAsPlanned ends the connection as its connectionPlan says.
func (c *nodeConnection) cutAsPlanned() {
	if c.plan.onCut != nil {
		c.plan.onCut()
	}
	if c.plan.halfClose {
		c.halfClose()
		return
	}
	c.reset()
}

// reset resets the connection, after it has recorded that the node's side ended it with its pending attempts (endPendingByNode).
func (c *nodeConnection) reset() {
	c.endPendingByNode()
	c.SetLinger(0)
	c.Close()
}

// halfClose closes the node's side of the connection; attempts that are pending on it, and those that still come, are never answered.
func (c *nodeConnection) halfClose() {
	c.endPendingByNode()
	c.CloseWrite()
}

// endPendingByNode records that the node's side ended the connection with its pending attempts, which may have run.
func (c *nodeConnection) endPendingByNode() { c.endPending(ConnBroken, true) }

// endPending records the end of all pending attempts with the outcome. byNode is set if the node ends the connection; if the broker had
// ended it before, the attempts are recorded as given up by the broker at that time instead.
func (c *nodeConnection) endPending(outcome Outcome, byNode bool) {
	if byNode {
		c.inspectSocket()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now()
	if byNode && !c.endedByNode && !c.brokerEndedAt.IsZero() {
		outcome, at = GivenUp, c.brokerEndedAt
	}
	if byNode && !c.endedByNode {
		c.endedByNode, c.endedByNodeAt = true, at
	}
	if !byNode {
		at = c.noteBrokerEnd()
	}
	for attempt := range c.pending {
		c.node.recorder.attemptEnded(attempt, at, outcome, "", byNode)
	}
	clear(c.pending)
}

// serve reads and handles frames until the connection ends or a frame cannot be used.
func (c *nodeConnection) serve() {
	done := make(chan struct{})
	c.node.goroutines.Go(func() { c.watchAbsence(done) })
	defer func() {
		close(done)
		// The broker ended what is still pending: all other ends have been recorded by now.
		c.endPending(GivenUp, false)
		c.Close()
		c.node.mu.Lock()
		delete(c.node.openConnections, c)
		c.node.mu.Unlock()
		c.node.recorder.update(func(*History) {})
	}()
	reader := bufio.NewReaderSize(c, 512)
	for {
		letter, rest, err := readFrame(reader)
		if err != nil {
			return
		}
		arrivedAt := c.arrivalTime(c.bytesRead - reader.Buffered())
		absentAt := c.absentAt(c.bytesRead - reader.Buffered())
		if reader.Buffered() == 0 {
			// The read's timestamp is that of the frame's last byte.
			absentAt = time.Time{}
		}
		switch letter {
		case letterCall:
			parts, err := parseCall(rest)
			if err != nil {
				c.send(encodeFrame(letterRefusal, err.Error()), false)
				return
			}
			for _, request := range parts {
				c.receivePart(request, arrivedAt, absentAt)
			}
		case letterGiveUp:
			c.receiveGiveUp(string(rest), c.earliestArrival(c.bytesRead-reader.Buffered(), arrivedAt))
		case letterProbe:
			c.send(encodeFrame(letterProbe, "hit"), false)
		case letterLoadProbe:
			c.send(encodeFrame(letterLoadProbe, "-"), false)
		default:
			c.send(encodeFrame(letterRefusal, "an unknown letter"), false)
			return
		}
	}
}

// receivePart records an attempt whose frame had arrived by arrivedAt, and had not at absentAt (zero if arrivedAt is exact), and starts
// the node's reaction to it in a goroutine of its own.
func (c *nodeConnection) receivePart(request partRequest, arrivedAt, absentAt time.Time) {
	inspected := time.Now()
	c.dateReset(arrivedAt)
	arrivedAt = c.arrivalInOrder(request, arrivedAt)
	attempt, earlierOfPart := c.node.recorder.attemptArrived(Attempt{
		Node:            c.node.name,
		Connection:      c.name,
		Search:          request.search,
		Shard:           request.shard,
		SecondStep:      request.secondStep,
		Text:            request.text,
		FirstStepShards: request.firstStepShards,
		BrokerWait:      request.brokerWait,
		ArrivedAt:       arrivedAt,
		AbsentAt:        absentAt,
		Score:           scoreOf(request.shard),
	})
	c.node.recorder.noteInspection(attempt, inspected)
	c.mu.Lock()
	ended := c.endedByNode
	if !ended {
		c.pending[attempt] = request.id
	}
	c.mu.Unlock()
	// An attempt that arrives after the node closed its side is executed and never answered.
	if ended {
		c.node.recorder.attemptEnded(attempt, arrivedAt, ConnBroken, "", true)
		return
	}
	planned := c.node.react(c.node, request, earlierOfPart)
	c.node.goroutines.Go(func() {
		if planned.waitFor != nil {
			select {
			case <-planned.waitFor:
			case <-c.node.stop:
				return
			}
		}
		if planned.delay > 0 {
			wait := time.NewTimer(planned.delay)
			defer wait.Stop()
			select {
			case <-wait.C:
			case <-c.node.stop:
				return
			}
		}
		c.carryOut(attempt, request, planned)
	})
}

// carryOut handles an attempt as the reaction planned says, and records the attempt's end. An attempt that was given up is not
// answered, unless planned.answerGivenUp is set.
func (c *nodeConnection) carryOut(attemptIndex int, request partRequest, planned reaction) {
	c.mu.Lock()
	_, stillPending := c.pending[attemptIndex]
	if !stillPending && !planned.answerGivenUp || c.endedByNode {
		c.mu.Unlock()
		return
	}
	outcome, outcomeWord, value := Pending, "", ""
	switch planned.kind {
	case reactHit:
		outcome, outcomeWord, value = Hit, "hit", fmt.Sprintf("value %d", attemptIndex)
	case reactFault:
		outcome, outcomeWord = Fault, "fault"
	case reactOverload:
		outcome, outcomeWord = Overload, "overload"
	}
	// The end is recorded before the answer is sent, so that all that the answer causes is dated later.
	if outcome != Pending {
		delete(c.pending, attemptIndex)
		c.endedByID[request.id] = attemptIndex
		c.node.recorder.attemptEnded(attemptIndex, time.Now(), outcome, value, planned.workDone || outcome == Hit)
	}
	c.mu.Unlock()
	if planned.strayOutcome != "" {
		if id := c.node.otherPendingID(c); id != "" {
			c.send(encodeReply(id, planned.strayOutcome, 1, "-", "astray"), false)
		}
	}
	switch planned.kind {
	case reactSilence:
		if planned.workDone {
			c.node.recorder.update(func(h *History) { h.Attempts[attemptIndex].Ran = true })
		}
	case reactReset:
		c.reset()
	case reactHalfClose:
		c.halfClose()
	case reactRefusal:
		c.endPendingByNode()
		c.send(encodeFrame(letterRefusal, "could not be used"), false)
		c.Close()
	case reactGarbage:
		c.endPendingByNode()
		c.send([]byte(strings.Repeat("\xff", 16)), false)
	default:
		c.sendReply(attemptIndex, request, planned, outcomeWord, value)
	}
}

// scoreOf returns the score, a node's rating of its answer, that all nodes give their answers for a shard.
func scoreOf(shard int) int { return 100 + shard }

// sendReply sends the answer to an attempt. outcomeWord is the protocol's word for the outcome, value the answer's text if the attempt
// succeeded (outcome Hit). A successful answer that could not be written is recorded as ended by a broken connection.
func (c *nodeConnection) sendReply(attemptIndex int, request partRequest, planned reaction, outcomeWord, value string) {
	reply := encodeReply(request.id, outcomeWord, scoreOf(request.shard), "load=1", value)
	if planned.duplicate {
		reply = append(reply, reply...)
	}
	err := c.send(reply, planned.byteByByte)
	if planned.repeatOn != nil {
		select {
		case <-planned.repeatOn:
			c.send(reply, false)
		case <-c.node.stop:
		}
	}
	if err != nil && outcomeWord == "hit" {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.endedByNode {
			c.node.recorder.update(func(h *History) { h.Attempts[attemptIndex].Outcome = ConnBroken })
		} else {
			c.node.recorder.attemptGivenUpBefore(attemptIndex, c.noteBrokerEnd())
		}
	}
}

// hasPending reports whether an attempt of the part with this id is pending on the connection.
func (c *nodeConnection) hasPending(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pendingID := range c.pending {
		if pendingID == id {
			return true
		}
	}
	return false
}

// receiveGiveUp records that the broker gave up the attempt of the part with this id, by a frame that arrived at the time at. It does so
// even if the node had ended the attempt before it read that frame, if the frame had arrived before that end.
func (c *nodeConnection) receiveGiveUp(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for attempt, pendingID := range c.pending {
		if pendingID == id {
			delete(c.pending, attempt)
			c.node.recorder.attemptEnded(attempt, at, GivenUp, "", false)
			return
		}
	}
	if attempt, ok := c.endedByID[id]; ok {
		c.node.recorder.attemptGivenUpBefore(attempt, at)
	}
}

// writeTimeout bounds a write to a broker that does not read; after it, the write fails.
const writeTimeout = 2 * time.Second

// send writes bytes to the broker, in one piece or, if byteByByte is set, one byte at a time.
func (c *nodeConnection) send(b []byte, byteByByte bool) (err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !byteByByte {
		_, err = c.Write(b)
		return err
	}
	for i := range b {
		if _, err = c.Write(b[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}
