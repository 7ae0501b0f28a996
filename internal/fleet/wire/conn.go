package wire

import (
	"bufio"
	"crypto/hmac"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// defaultWriteTimeout bounds the write of one frame, unless the caller sets Conn.WriteTimeout to another value.
	defaultWriteTimeout = handshakeTimeout
	// frameTimeout bounds the time between a frame's header and its last byte. A sender gives its write of a whole frame
	// half of this (defaultWriteTimeout), so a frame that takes longer was damaged on its way.
	frameTimeout = 2 * defaultWriteTimeout
	// headerBytes is the length of a frame's header: 4 bytes for the payload's length, and 1 for the frame's kind.
	headerBytes = 4 + 1
	// maxKeptBufferBytes is the largest write buffer that a connection keeps for its next frames; a larger one is freed
	// once its frame is written.
	maxKeptBufferBytes = 1 << 16
)

// FrameOverheadBytes is the number of bytes that a frame takes beside its payload.
const FrameOverheadBytes = headerBytes + macBytes

// Conn is a connection between two brokers after the handshake, in which both sides have proven that they have the same
// key. One goroutine may read; any goroutine may write and close.
type Conn struct {
	// WriteTimeout bounds the write of one frame. It may be set only before the first Write after the handshake.
	WriteTimeout time.Duration

	// conn is the network connection that frames are written to.
	conn net.Conn
	// reader reads from conn, with a buffer.
	reader *bufio.Reader
	// receiveKey is the key for the MACs of the frames that arrive.
	receiveKey []byte
	// received is the number of frames read so far, which is also the number of the next one; it is part of that frame's MAC.
	received uint64
	// readDeadline is the time until which Read waits for a frame, also for the rest of one that has begun; zero for no bound.
	readDeadline time.Time

	// mu guards the fields below, which are used to send frames.
	mu sync.Mutex
	// sendKey is the key for the MACs of the frames that this side sends.
	sendKey []byte
	// sent is the number of frames written so far, which is also the number of the next one; it is part of that frame's MAC.
	sent uint64
	// buffer holds the bytes of the last frame written; the next Write reuses its memory.
	buffer []byte
}

// newConn wraps a network connection for the handshake; the handshake sets the keys.
func newConn(c net.Conn) *Conn {
	return &Conn{
		WriteTimeout: defaultWriteTimeout,
		conn:         c,
		reader:       bufio.NewReader(c),
	}
}

// frameMAC returns the truncated MAC of a frame. Frames are numbered from 0 in each direction of a connection, and the number
// is part of the MAC, so that a frame that is repeated, dropped or moved is not accepted.
func frameMAC(key []byte, number uint64, header, payload []byte) []byte {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], number)
	return mac(key, encoded[:], header, payload)[:macBytes]
}

// Write sends one frame with this kind and payload, within WriteTimeout. An error is the network's, and closes the connection.
func (c *Conn) Write(kind byte, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffer = binary.BigEndian.AppendUint32(c.buffer[:0], uint32(len(payload)))
	c.buffer = append(c.buffer, kind)
	sum := frameMAC(c.sendKey, c.sent, c.buffer[:headerBytes], payload)
	c.buffer = append(append(c.buffer, payload...), sum...)
	c.sent++
	c.conn.SetWriteDeadline(time.Now().Add(c.WriteTimeout))
	_, err := c.conn.Write(c.buffer)
	if cap(c.buffer) > maxKeptBufferBytes {
		c.buffer = nil
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

// Read waits for the next frame and returns its kind and payload. The caller may keep and change the payload. The error is
// ErrTooLarge for a payload of more than maxBytes bytes, ErrForged for a wrong MAC, or the network's; after it the caller has to
// close the connection.
func (c *Conn) Read(maxBytes int) (kind byte, payload []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(maxBytes) {
		return 0, nil, ErrTooLarge
	}
	body := make([]byte, int(size)+macBytes)
	if err := c.readBody(body); err != nil {
		return 0, nil, err
	}
	if !hmac.Equal(body[size:], frameMAC(c.receiveKey, c.received, header[:], body[:size])) {
		return 0, nil, ErrForged
	}
	c.received++
	return header[headerBytes-1], body[:size], nil
}

// readBody fills body with the bytes that follow a frame's header, the payload and its MAC, within frameTimeout. The length
// in the header is not authenticated before the MAC behind the payload has arrived: if a bit of it was damaged on its way,
// the frames that follow are taken for payload, and without a bound the connection would stay open and deliver nothing until
// enough of them had arrived.
func (c *Conn) readBody(body []byte) error {
	if c.reader.Buffered() >= len(body) {
		_, err := io.ReadFull(c.reader, body)
		return err
	}
	deadline := time.Now().Add(frameTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
		deadline = c.readDeadline
	}
	c.conn.SetReadDeadline(deadline)
	_, err := io.ReadFull(c.reader, body)
	c.conn.SetReadDeadline(c.readDeadline)
	return err
}

// SetReadTimeout bounds how long Read may wait for frames, counted from this call; 0 removes the bound. Either way, a frame
// whose header has arrived has to be whole within frameTimeout. Only the reading goroutine may call it.
func (c *Conn) SetReadTimeout(timeout time.Duration) {
	c.readDeadline = time.Time{}
	if timeout != 0 {
		c.readDeadline = time.Now().Add(timeout)
	}
	c.conn.SetReadDeadline(c.readDeadline)
}

// Close closes the connection at once, without waiting for a Write in progress. The error is the network's.
func (c *Conn) Close() error { return c.conn.Close() }
