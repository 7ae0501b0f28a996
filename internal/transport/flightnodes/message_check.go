package flightnodes

import (
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"
)

// Kinds of Arrow messages: the values of the enumeration MessageHeader of Arrow's schema file Message.fbs, which the field
// header_type of a Message holds.
const (
	// kindSchema is the number of the Arrow message kind Schema: the message that begins a stream and describes its columns.
	kindSchema = 1
	// kindDictionary is the number of the Arrow message kind DictionaryBatch: the values that a column refers to by their indices.
	kindDictionary = 2
	// kindBatch is the number of the Arrow message kind RecordBatch: some rows of the table.
	kindBatch = 3
)

// Positions of fields within the vtables of the flatbuffers tables of Message.fbs, in bytes. A vtable is the index at the start of a
// table that says where each field of the table is stored.
const (
	// slotKind is the vtable position, in bytes, of the field header_type, the kind of an Arrow message, in the flatbuffers table
	// Message.
	slotKind = 6
	// slotHeader is the vtable position, in bytes, of the field header, a table Schema, DictionaryBatch or RecordBatch, in the
	// flatbuffers table Message.
	slotHeader = 8
	// slotBodyLength is the vtable position, in bytes, of the field bodyLength, the size of an Arrow message's body in bytes, in
	// the flatbuffers table Message.
	slotBodyLength = 10

	// slotRows is the vtable position, in bytes, of the field length, the number of rows, in the flatbuffers table RecordBatch.
	slotRows = 4
	// slotNodes is the vtable position, in bytes, of the field nodes, the vector with an entry (FieldNode) for each column, in the
	// flatbuffers table RecordBatch.
	slotNodes = 6
	// slotBuffers is the vtable position, in bytes, of the field buffers, the vector of the places of the column buffers in the
	// body, in the flatbuffers table RecordBatch.
	slotBuffers = 8

	// slotDictionaryBatch is the vtable position, in bytes, of the field data, which is a table RecordBatch, in the flatbuffers
	// table DictionaryBatch.
	slotDictionaryBatch = 6
)

const (
	// minHeaderBytes is the smallest size, in bytes, of the header of an Arrow message that is looked at. A shorter one is invalid:
	// it has no room for the offset of its outermost table and the table itself.
	minHeaderBytes = 8
	// vectorEntryBytes is the size, in bytes, of an entry of the vectors of a RecordBatch: of the structs FieldNode and Buffer of
	// Message.fbs.
	vectorEntryBytes = 16
	// bufferSizeOffset is where, within the struct Buffer of Message.fbs, the field length begins, in bytes. The field offset,
	// which says where in the body the buffer begins, comes before it, at byte 0.
	bufferSizeOffset = 8
)

// checkMessage checks an Arrow message without reading its values: the header must be valid, state the body's true length, and
// place all buffers within that body. It returns the message's kind (kindSchema, kindDictionary or kindBatch), and the number of
// rows of a batch, 0 for a schema. This guards against forwarding a message that makes a client read beyond its bytes; the bytes
// are not changed.
func checkMessage(header, body []byte) (kind byte, rows int64, err error) {
	defer func() {
		// The flatbuffers library trusts offsets, and panics at one that leads outside of the bytes.
		if r := recover(); r != nil {
			err = fmt.Errorf("a message header with an offset outside of its bytes")
		}
	}()
	if len(header) < minHeaderBytes {
		return 0, 0, fmt.Errorf("a message header of %d bytes", len(header))
	}
	message := flatbuffers.Table{Bytes: header, Pos: flatbuffers.GetUOffsetT(header)}
	if kind = message.GetByteSlot(slotKind, 0); kind != kindSchema && kind != kindDictionary && kind != kindBatch {
		return 0, 0, fmt.Errorf("a message of kind %d, expected a schema, dictionary or batch", kind)
	}
	if bodyLength := message.GetInt64Slot(slotBodyLength, 0); bodyLength != int64(len(body)) {
		return 0, 0, fmt.Errorf("a message body of %d bytes, its header states %d", len(body), bodyLength)
	}
	field := message.Offset(slotHeader)
	if field == 0 {
		return 0, 0, fmt.Errorf("a message header without its table")
	}
	table := flatbuffers.Table{Bytes: header, Pos: message.Indirect(message.Pos + flatbuffers.UOffsetT(field))}
	if table.Pos >= flatbuffers.UOffsetT(len(header)) {
		return 0, 0, fmt.Errorf("a message header whose table lies outside of its bytes")
	}
	if kind == kindSchema {
		return kind, 0, nil
	}
	if kind == kindDictionary {
		if field = table.Offset(slotDictionaryBatch); field == 0 {
			return 0, 0, fmt.Errorf("a dictionary without its batch")
		}
		table.Pos = table.Indirect(table.Pos + flatbuffers.UOffsetT(field))
	}
	if rows = table.GetInt64Slot(slotRows, 0); rows < 0 {
		return 0, 0, fmt.Errorf("a batch of %d rows", rows)
	}
	if field = table.Offset(slotNodes); field != 0 {
		start, count := table.Vector(flatbuffers.UOffsetT(field)), table.VectorLen(flatbuffers.UOffsetT(field))
		if count < 0 || int64(start)+vectorEntryBytes*int64(count) > int64(len(header)) {
			return 0, 0, fmt.Errorf("a batch of %d columns in a header of %d bytes", count, len(header))
		}
	}
	if field = table.Offset(slotBuffers); field != 0 {
		start, count := table.Vector(flatbuffers.UOffsetT(field)), table.VectorLen(flatbuffers.UOffsetT(field))
		if count < 0 || int64(start)+vectorEntryBytes*int64(count) > int64(len(header)) {
			return 0, 0, fmt.Errorf("a batch of %d buffers in a header of %d bytes", count, len(header))
		}
		for i := range count {
			offset := flatbuffers.GetInt64(header[int(start)+vectorEntryBytes*i:])
			size := flatbuffers.GetInt64(header[int(start)+vectorEntryBytes*i+bufferSizeOffset:])
			if offset < 0 || size < 0 || offset > int64(len(body)) || size > int64(len(body))-offset {
				return 0, 0, fmt.Errorf("a buffer of %d bytes at offset %d in a body of %d bytes", size, offset, len(body))
			}
		}
	}
	return kind, rows, nil
}
