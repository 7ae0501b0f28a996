package protocol

import (
	"encoding/binary"
	"sync/atomic"
)

// ArrowMessage is one message of an Arrow stream as it was received.
type ArrowMessage struct {
	// Header is the metadata of the message, a flatbuffer.
	Header []byte
	// Body holds the buffers of the message.
	Body []byte
}

// Table is an Arrow table that a node returned as the value of a part: a schema and record batches, as the messages that
// were received.
type Table struct {
	// Schema is the message that describes the table's columns.
	Schema ArrowMessage
	// Batches are the messages with the table's rows, in order.
	Batches []ArrowMessage
	// Rows is the number of rows in all batches together.
	Rows int64

	// OnFree is called, once, when the table is freed, to release the memory that was reserved for it; it may be nil.
	OnFree func()
	// freed is set once OnFree has been called.
	freed atomic.Bool
}

// Free releases the memory that was reserved for the table. It may be called several times and on a nil table.
func (t *Table) Free() {
	if t != nil && t.OnFree != nil && t.freed.CompareAndSwap(false, true) {
		t.OnFree()
	}
}

// AppendStream appends the table to b as an encapsulated Arrow stream: each message after its continuation marker and
// length, padded to eight bytes, and the end-of-stream marker (Arrow columnar format, "Encapsulated message format").
func (t *Table) AppendStream(b []byte) []byte {
	b = appendMessage(b, t.Schema)
	for _, batch := range t.Batches {
		b = appendMessage(b, batch)
	}
	return append(b, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0)
}

// appendMessage appends one message of an encapsulated Arrow stream, with its continuation marker, length and padding.
func appendMessage(b []byte, message ArrowMessage) []byte {
	padding := -(len(message.Header) + 8) & 7
	b = append(b, 0xff, 0xff, 0xff, 0xff)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(message.Header)+padding))
	b = append(b, message.Header...)
	b = append(b, make([]byte, padding)...)
	return append(b, message.Body...)
}
