package protocol

import (
	"encoding/base64"
	"strconv"
)

// FinalStatus says how a search ended: answered, or why it was not.
type FinalStatus uint8

const (
	// StatusSucceeded means that the search was answered from the values of its parts, possibly not of all.
	StatusSucceeded FinalStatus = iota
	// StatusRejected means that load shedding ended the search without an answer, and that repeating it does no harm.
	StatusRejected
	// StatusFailed means that the search ended without an answer and that parts of it may have run on nodes, so that the
	// client cannot assume that repeating it does no harm.
	StatusFailed
	// StatusOverloaded means that the search was rejected before any of it was sent, as too many searches and parts are in
	// flight, there is no room for a record of it, or the settings in force do not serve it.
	StatusOverloaded
	// StatusDuplicate means that the search's id is that of a search in flight, or of one that may have run and must not run
	// again.
	StatusDuplicate
	// StatusDeadlineExceeded means that the client's deadline has passed without an answer; parts of the search may have
	// run.
	StatusDeadlineExceeded
	// StatusStopped means that the router has stopped and did not accept the search.
	StatusStopped
)

// FinalAnswer is what the router returns to a frontend for a search: the status and, if that is StatusSucceeded, the values.
type FinalAnswer struct {
	// Status says how the search ended.
	Status FinalStatus
	// RetryAfterSeconds is how long the client of a rejected search should wait before it retries, in seconds; 0 for no
	// advice.
	RetryAfterSeconds float64
	// Complete is set if the parts with values have enough weight together for the answer to count as complete.
	Complete bool
	// Values are the values of the parts that succeeded; of a search with two steps, those of the second.
	Values []PartValue
}

// Free releases the memory that is reserved for the tables among the values. The frontend calls it once the answer has been
// written.
func (f *FinalAnswer) Free() {
	for _, value := range f.Values {
		value.Table.Free()
	}
}

// PartValue is the value that a node returned for one part.
type PartValue struct {
	// Shard is the index of the part's shard.
	Shard int
	// Value is the text that the node returned; it is only valid if Table is nil.
	Value []byte
	// Table is the value of a node that returns Arrow tables instead of text; otherwise nil.
	Table *Table
}

// AppendAnswer appends the JSON body of an answer to b: whether it is complete, and each value with its shard. Values keep
// the bytes that nodes sent, except for what JSON requires to be escaped; a table is its Arrow stream in base64.
func AppendAnswer(b []byte, complete bool, values []PartValue) []byte {
	b = append(b, `{"finished":`...)
	b = strconv.AppendBool(b, complete)
	b = append(b, `,"found":[`...)
	for i, value := range values {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"bucket":`...)
		b = strconv.AppendInt(b, int64(value.Shard), 10)
		b = append(b, `,"item":`...)
		if value.Table != nil {
			b = appendTable(b, value.Table)
		} else {
			b = appendText(b, value.Value)
		}
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

// appendText appends text as a JSON string. The text is valid UTF-8.
func appendText(b, text []byte) []byte {
	const hexDigits = "0123456789abcdef"
	b = append(b, '"')
	for _, c := range text {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < 0x20:
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}

// appendTable appends a table as a JSON string: its encapsulated Arrow stream in base64.
func appendTable(b []byte, table *Table) []byte {
	b = append(b, '"')
	b = base64.StdEncoding.AppendEncode(b, table.AppendStream(nil))
	return append(b, '"')
}
