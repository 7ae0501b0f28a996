package watch

import (
	"bytes"
	"fmt"
	"io"

	"brackenfront/internal/transport/turns"
)

// maxUpdateBytes bounds the size of one update of discovery, in bytes, with the white space that is read along with its beginning.
const maxUpdateBytes = 16 << 20

// errUpdateTooLong is the error of reading an update of more than maxUpdateBytes.
var errUpdateTooLong = fmt.Errorf("an update of over %d bytes", maxUpdateBytes)

// updateReader reads the body of discovery's response: updates, each of which may take several lines, and empty lines between
// them. It reports the heartbeats of discovery: empty lines and the ends of updates. Bytes within an update, and white space
// that ends no line, are no heartbeat. So a stream that stops, or goes on without end, within an update is detected.
type updateReader struct {
	// body is the body of the HTTP response.
	body io.Reader
	// turn ends while the body is read, which may wait, and is held for what was read.
	turn *turns.Turn
	// onHeartbeat is called at each heartbeat of discovery: an empty line, or the end of an update.
	onHeartbeat func()
	// onUpdateBegun is called when the first byte of an update of the node list has been read.
	onUpdateBegun func()
	// bytesLeft is how many more bytes may be read until the update that has begun, or else the next one, has ended. It is set to
	// maxUpdateBytes again at the end of each update.
	bytesLeft int
	// inUpdate is set while an update has begun and not ended.
	inUpdate bool
}

// Read reads from the body and calls onHeartbeat and onUpdateBegun for what it has read. It fails with errUpdateTooLong once
// bytesLeft is used up. White space between two updates is not returned, as the caller would keep it until the next update.
func (r *updateReader) Read(b []byte) (int, error) {
	if r.bytesLeft <= 0 {
		return 0, errUpdateTooLong
	}
	for {
		r.turn.End()
		n, err := r.body.Read(b[:min(len(b), r.bytesLeft)])
		r.turn.Begin()
		r.inspect(b[:n])
		if r.inUpdate || err != nil {
			r.bytesLeft -= n
			return n, err
		}
	}
}

// inspect looks at bytes that were just read: between two updates it calls onUpdateBegun if b holds anything but white space,
// and onHeartbeat if b is white space with a line end. Within an update it does nothing.
func (r *updateReader) inspect(b []byte) {
	switch {
	case r.inUpdate:
	case !isBlank(b):
		r.inUpdate = true
		r.onUpdateBegun()
	case bytes.IndexByte(b, '\n') >= 0:
		r.onHeartbeat()
	}
}

// beginNext is called when the current update has ended, which counts as a heartbeat. buffered holds the bytes that have
// been read beyond its end; they are inspected as the beginning of what follows.
func (r *updateReader) beginNext(buffered io.Reader) {
	r.bytesLeft = maxUpdateBytes
	r.inUpdate = false
	r.onHeartbeat()
	// buffered reads from memory, which does not fail.
	b, _ := io.ReadAll(buffered)
	r.inspect(b)
}

// isBlank reports whether b holds nothing but the white space that JSON allows between two values.
func isBlank(b []byte) bool { return len(bytes.Trim(b, " \t\r\n")) == 0 }
