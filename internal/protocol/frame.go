package protocol

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"

	"brackenfront/balance"
)

// Types of frames. A frame is a length of four bytes in big-endian order, the letter of its type, and its content; the
// length counts the letter and the content.
const (
	// CallFrame is the type of a frame that asks a node for one or more parts.
	CallFrame = 'A'
	// CancelFrame is the type of a frame that notifies a node that the broker no longer waits for a part.
	CancelFrame = 'B'
	// ProbeFrame is the type of a frame that asks a node whether it works, and of the node's reply to that.
	ProbeFrame = 'C'
	// LoadFrame is the type of a frame that asks a node for its load. The broker does not send it.
	LoadFrame = 'D'
	// ReplyFrame is the type of a node's reply to one part.
	ReplyFrame = 'E'
	// RefusalFrame is the type of a frame that notifies the broker that a node could not process a frame; its content says
	// why.
	RefusalFrame = 'F'
)

const (
	// maxHeaderLineBytes is the part of maxFrameBytes that is for the header line of a reply, in bytes.
	maxHeaderLineBytes = 4096
	// maxFrameBytes is the maximum length of a frame from a node, in bytes: that of a value and its header line.
	maxFrameBytes = MaxBodyBytes + maxHeaderLineBytes
	// frameLengthBytes is the size of the length field at the beginning of a frame, in bytes.
	frameLengthBytes = 4
)

// PartRequest is one part as it is sent to a node.
type PartRequest struct {
	// ID identifies the part, also in the node's reply.
	ID string
	// Shard is the index of the shard that is searched.
	Shard int
	// TimeoutSeconds is how long the broker waits for the reply, in seconds; it is sent in whole milliseconds.
	TimeoutSeconds float64
	// ExtraFields are further fields of the header line; the text is empty, or begins with the comma that separates them
	// from the first field.
	ExtraFields string
	// SearchText is the text that the node searches for.
	SearchText string
}

// AppendCall appends a CallFrame that asks for the given parts.
func AppendCall(b []byte, parts []PartRequest) []byte {
	begin := len(b)
	b = append(b, 0, 0, 0, 0, CallFrame)
	for _, part := range parts {
		b = AppendPartRequest(b, part)
	}
	binary.BigEndian.PutUint32(b[begin:], uint32(len(b)-begin-frameLengthBytes))
	return b
}

// AppendPartRequest appends one part in the form that it has in a CallFrame, and in a Flight ticket: a header line, and the
// text. In the header line, spaces separate the id, the shard, the fields and the length of the text in bytes; commas
// separate the fields, of which the first is "d=" with the timeout in milliseconds (at least 1).
func AppendPartRequest(b []byte, part PartRequest) []byte {
	b = append(b, part.ID...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(part.Shard), 10)
	b = append(b, " d="...)
	b = strconv.AppendInt(b, max(int64(part.TimeoutSeconds/secondsPerMillisecond), 1), 10)
	b = append(b, part.ExtraFields...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(part.SearchText)), 10)
	b = append(b, '\n')
	return append(b, part.SearchText...)
}

// AppendCancel appends a CancelFrame for the part with the given id.
func AppendCancel(b []byte, id string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(id)))
	b = append(b, CancelFrame)
	return append(b, id...)
}

// AppendProbe appends a ProbeFrame.
func AppendProbe(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, 1)
	return append(b, ProbeFrame)
}

// ReadFrame reads one frame and returns the letter of its type and its content, which belongs to the caller. The error is
// io.EOF if the stream ended between frames, io.ErrUnexpectedEOF if it ended within one, and an *InvalidFrameError if the
// length is out of range.
func ReadFrame(r io.Reader) (letter byte, content []byte, err error) {
	var head [frameLengthBytes + 1]byte
	if _, err = io.ReadFull(r, head[:1]); err != nil {
		return 0, nil, err
	}
	if _, err = io.ReadFull(r, head[1:]); err != nil {
		return 0, nil, unexpectedEOF(err)
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 1 || length > maxFrameBytes {
		return 0, nil, &InvalidFrameError{fmt.Sprintf("length %d, expected 1 to %d", length, maxFrameBytes)}
	}
	content = make([]byte, length-1)
	if _, err = io.ReadFull(r, content); err != nil {
		return 0, nil, unexpectedEOF(err)
	}
	return head[frameLengthBytes], content, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for a stream that ends within a frame.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// InvalidFrameError reports a frame from a node that violates the protocol.
type InvalidFrameError struct {
	// Problem describes how the frame violates the protocol.
	Problem string
}

// Error implements the error interface.
func (e *InvalidFrameError) Error() string { return "frame: " + e.Problem }

// AttemptResult is how one attempt of a part ended, and the value that it returned if it succeeded.
type AttemptResult struct {
	// ID identifies the part, as in its PartRequest.
	ID string
	// Outcome says whether the attempt succeeded, or how it failed.
	Outcome balance.Outcome
	// Score ranks the value against those of other shards; higher is better.
	Score float64
	// Value is the text that the node returned; it is only valid if Table is nil.
	Value []byte
	// Table is the value of a node that returns Arrow tables instead of text; otherwise nil.
	Table *Table
}

// replyHeaderElements is the number of elements of the header line of a node's reply; see ParseReply.
const replyHeaderElements = 4

// replyOutcomes maps the second element of the header line of a node's reply to the outcome of the attempt.
var replyOutcomes = map[string]balance.Outcome{
	"hit":      balance.OK,
	"fault":    balance.Failed,
	"overload": balance.Overloaded,
}

// ParseReply reads the content of a ReplyFrame: a header line, in which spaces separate the part's id, its outcome, its
// score and an element that is ignored, and after the line end the value. Every error is an *InvalidFrameError.
func ParseReply(content []byte) (result AttemptResult, err error) {
	line, value, ok := bytes.Cut(content, []byte{'\n'})
	words := bytes.Split(line, []byte{' '})
	if !ok || len(words) != replyHeaderElements {
		return result, &InvalidFrameError{"reply without a header line of ID END SCORE REPORT"}
	}
	if result.Outcome, ok = replyOutcomes[string(words[1])]; !ok {
		return result, &InvalidFrameError{fmt.Sprintf("reply ended %.20q, expected hit, fault or overload", words[1])}
	}
	result.Score, err = strconv.ParseFloat(string(words[2]), 64)
	// The difference is not 0 for infinite scores and for NaN, which cannot be ranked.
	if result.Outcome == balance.OK && (err != nil || result.Score-result.Score != 0) {
		return result, &InvalidFrameError{fmt.Sprintf("reply with score %.20q, expected a number", words[2])}
	}
	result.ID = string(words[0])
	result.Value = value
	// Text that is not valid UTF-8 cannot be passed on unchanged in an answer.
	if result.Outcome == balance.OK && !utf8.Valid(value) {
		return result, &InvalidFrameError{"reply with a value that is not valid UTF-8"}
	}
	return result, nil
}

// ParseProbeReply reads the content of a node's reply to a ProbeFrame. healthy says whether the node works; an error is an
// *InvalidFrameError.
func ParseProbeReply(content []byte) (healthy bool, err error) {
	switch string(content) {
	case "hit":
		return true, nil
	case "fault":
		return false, nil
	}
	return false, &InvalidFrameError{fmt.Sprintf("probe reply %.20q, expected hit or fault", content)}
}
