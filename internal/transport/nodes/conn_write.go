package nodes

import (
	"slices"
	"time"

	"brackenfront/balance"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// maxWriteBytes is the size in bytes at which no further frame is added to a write, as each write has its own deadline.
const maxWriteBytes = 64 << 10

// frameEnd describes the end of a call's frame within a write.
type frameEnd struct {
	// offset is the number of bytes of the write up to the end of the frame.
	offset int
	// attempts are the attempts of the call whose frame it is.
	attempts []*connAttempt
}

// write sends the queued frames until the connection ends. It returns the close code of the connection, and the error of the
// socket that ended it; nil where the connection was closed by a call of close.
func (c *connection) write() (string, error) {
	pool := c.node.pool
	var buf []byte
	sendQueue := parts.NewSendQueue(c.socket)
	windowCheck := parts.NewWindowCheck(c.socket, c.closeAfterSendTimeout)
	defer windowCheck.Stop()
	var frameEnds []frameEnd
	for {
		<-c.wake
		pool.mu.Lock()
		if c.closed {
			code := c.closeCode
			pool.mu.Unlock()
			return code, nil
		}
		now := time.Now()
		maxQueueTime := pool.limits().RetryMaxQueueTime
		var dropped []*connAttempt
		buf, frameEnds, dropped = c.takeQueued(buf[:0], frameEnds[:0], now, maxQueueTime)
		deadline := sendDeadline(now, c.inWrite, maxQueueTime)
		c.writeCount++
		c.updateReadDeadline()
		pool.mu.Unlock()
		var written int
		var err error
		if len(buf) > 0 {
			written, err = parts.WriteBefore(deadline, c.socket, buf)
			windowCheck.Written()
		}
		// The owners are notified after the write, as an owner may wait.
		for _, attempt := range dropped {
			attempt.NotifyOwner(protocol.AttemptResult{ID: attempt.ID, Outcome: balance.NotSent})
		}
		if len(buf) == 0 {
			continue
		}
		pool.mu.Lock()
		pool.counts.BytesOut += int64(written)
		for _, end := range frameEnds {
			for _, attempt := range end.attempts {
				attempt.written = end.offset <= written
			}
		}
		for _, attempt := range c.inWrite {
			attempt.Permission.Release()
		}
		clear(c.inWrite)
		c.inWrite = c.inWrite[:0]
		includesCancel := len(c.endAfterWrite) > 0
		pool.mu.Unlock()
		if err == nil && !sendQueue.WaitEmpty(deadline, includesCancel) {
			err = parts.ErrSendTimeout
		}
		pool.mu.Lock()
		for _, end := range frameEnds {
			for _, attempt := range end.attempts {
				attempt.inWrite = false
			}
		}
		cancelled := c.endAfterWrite
		if err == nil {
			c.endAfterWrite = nil
			clearEndPending(cancelled)
		}
		pool.mu.Unlock()
		if err != nil {
			return closeCodeOf(err, codeSendTimeout), err
		}
		for _, attempt := range cancelled {
			attempt.NotifyOwner(attempt.cancelledResult())
		}
	}
}

// closeAfterSendTimeout closes the connection because the node's machine does not acknowledge sent bytes in time, which its WindowCheck has detected.
func (c *connection) closeAfterSendTimeout() {
	c.node.pool.mu.Lock()
	defer c.node.pool.mu.Unlock()
	c.close(codeSendTimeout)
}

// takeQueued takes frames from the queue until buf holds maxWriteBytes, appends them to buf, and the ends of the calls' frames to
// frameEnds. It returns both, and the attempts that it dropped because they were stale at the time now (Attempt.Stale with
// maxQueueTime) or their clients had left; the caller reports these to their owners as NotSent.
func (c *connection) takeQueued(buf []byte, frameEnds []frameEnd, now time.Time, maxQueueTime time.Duration) (
	newBuf []byte, newFrameEnds []frameEnd, dropped []*connAttempt) {
	taken := 0
	for ; taken < len(c.queue) && len(buf) < maxWriteBytes; taken++ {
		item := c.queue[taken]
		switch {
		case item.call != nil:
			var requests []protocol.PartRequest
			var included []*connAttempt
			for i := range item.call.attempts {
				attempt := &item.call.attempts[i]
				if attempt.conn != c {
					// The attempt was cancelled before it was sent, and never runs.
					continue
				}
				if attempt.Stale(now, maxQueueTime) {
					c.release(attempt)
					dropped = append(dropped, attempt)
					continue
				}
				if !attempt.Permission.Acquire() {
					// The search of the attempt has ended.
					continue
				}
				if attempt.AbandonedByClient(now) {
					attempt.Permission.Release()
					c.release(attempt)
					dropped = append(dropped, attempt)
					continue
				}
				c.inFlight[attempt.ID] = attempt
				c.inWrite = append(c.inWrite, attempt)
				attempt.inWrite = true
				included = append(included, attempt)
				requests = append(requests, protocol.PartRequest{
					ID:             attempt.ID,
					Shard:          attempt.Shard,
					ExtraFields:    attempt.ExtraFields,
					SearchText:     attempt.SearchText,
					TimeoutSeconds: time.Until(attempt.Deadline).Seconds(),
				})
			}
			if len(requests) > 0 {
				buf = protocol.AppendCall(buf, requests)
				frameEnds = append(frameEnds, frameEnd{len(buf), included})
				c.node.pool.counts.AttemptsWritten += len(included)
			}
		case item.probe:
			buf = protocol.AppendProbe(buf)
		default:
			buf = protocol.AppendCancel(buf, item.cancel.ID)
			c.endAfterWrite = append(c.endAfterWrite, item.cancel)
		}
	}
	if len(frameEnds) > 0 && c.unansweredSince.IsZero() {
		c.unansweredSince = time.Now()
	}
	c.queue = slices.Delete(c.queue, 0, taken)
	if len(c.queue) > 0 {
		c.signalWake()
	}
	return buf, frameEnds, dropped
}

// sendDeadline returns when the bytes of a write that begins at the time now must have left this machine: the earliest
// SendDeadline of its attempts, and parts.SendTimeout from now at the latest.
func sendDeadline(now time.Time, attempts []*connAttempt, maxQueueTime time.Duration) time.Time {
	earliest := now.Add(parts.SendTimeout)
	for _, attempt := range attempts {
		if deadline := attempt.SendDeadline(now, maxQueueTime); deadline.Before(earliest) {
			earliest = deadline
		}
	}
	return earliest
}
