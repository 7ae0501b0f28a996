package protocol

import (
	"errors"
	"fmt"
)

// RequestFramingError reports that two readers could disagree about where an HTTP request ends, so that it has to be
// rejected.
type RequestFramingError struct {
	// Element is the name of the header field or of the syntax element at fault, such as "Content-Length" or "chunk size".
	Element string
	// Reason says what is wrong with Element, or what was expected instead.
	Reason string
}

// Error implements the error interface.
func (e *RequestFramingError) Error() string {
	return fmt.Sprintf("request framing: %s: %s", e.Element, e.Reason)
}

// ErrTooManyFields says that the head and the trailer of a request have more than MaxRequestFields fields.
var ErrTooManyFields = fmt.Errorf("request: more than %d header fields", MaxRequestFields)

// IsRequestFramingError reports whether err is, or wraps, a RequestFramingError.
func IsRequestFramingError(err error) bool {
	var framing *RequestFramingError
	return errors.As(err, &framing)
}

// errUnknownCoding is the error for every byte after a head with an unknown transfer coding. The head itself is passed on to
// the HTTP library, which answers it with status 501.
var errUnknownCoding = &RequestFramingError{"Transfer-Encoding", "unknown transfer coding"}

// framingState is the position within the current request up to which RequestFraming has read.
type framingState uint8

const (
	// beforeRequest is the state before the first byte of a request.
	beforeRequest framingState = iota
	// inRequestLine is the state within the request line: its method, target and version.
	inRequestLine
	// afterRequestLineCR is the state after the CR that ends the request line.
	afterRequestLineCR
	// atFieldStart is the state at the beginning of a header line: a field, or the empty line that ends the head.
	atFieldStart
	// inFieldName is the state within the name of a header field.
	inFieldName
	// inFieldValue is the state within the value of a header field.
	inFieldValue
	// afterFieldCR is the state after the CR that ends a header field.
	afterFieldCR
	// afterHeadCR is the state after the CR of the empty line that ends the head.
	afterHeadCR
	// inBody is the state within a body of known length.
	inBody
	// inChunkSize is the state within the hexadecimal size of a chunk.
	inChunkSize
	// inChunkExtensions is the state within the extensions after a chunk size.
	inChunkExtensions
	// afterChunkSizeCR is the state after the CR that ends the line of a chunk size.
	afterChunkSizeCR
	// inChunkData is the state within the content of a chunk.
	inChunkData
	// afterChunkData is the state after the content of a chunk, where a CR must follow.
	afterChunkData
	// afterChunkDataCR is the state after the CR that follows the content of a chunk.
	afterChunkDataCR
	// atTrailerStart is the state at the beginning of a line after the last chunk.
	atTrailerStart
	// inTrailerName is the state within the name of a trailer field.
	inTrailerName
	// inTrailerValue is the state within the value of a trailer field.
	inTrailerValue
	// afterTrailerCR is the state after the CR that ends a trailer field.
	afterTrailerCR
	// afterLastCR is the state after the CR of the empty line that ends a chunked request.
	afterLastCR
	// requestEnded is the state once the whole request has been accepted.
	requestEnded
)

// completedHead describes a request head that has arrived completely and that ConfirmHead has not compared yet with what the
// HTTP library has read.
type completedHead struct {
	// complete is set if there is a head to be confirmed.
	complete bool
	// bodyLength is the length of the body in bytes, or chunkedLength.
	bodyLength int64
}

// chunkedLength is the value by which the HTTP library, and completedHead.bodyLength, denote a chunked body, whose length is
// not known in advance.
const chunkedLength = -1

// RequestFraming follows the HTTP/1 requests on one client connection byte by byte and determines where each ends. It is
// stricter than the HTTP library, which silently drops a Content-Length that accompanies a chunked body: a request is an
// error if two readers that conform to RFC 9112 could disagree about where it ends, and so is every byte after it (sections
// 2.2, 5.1, 5.2, 6.1 to 6.3, 7.1). It stores no content, and its size does not depend on the input. The zero value is ready
// for the first request.
type RequestFraming struct {
	// state is the position within the current request up to which its bytes have been read.
	state framingState
	// err is the error after which nothing more is accepted on the connection, or nil.
	err error
	// currentHead is the head of the current request, until ConfirmHead is called for that request.
	currentHead completedHead
	// previousHead is the head of the previous request, if the current request began before ConfirmHead was called for the
	// previous one.
	previousHead completedHead

	// versionBytesMatched is how many bytes of http11Version the current element of the request line has matched so far, or
	// versionMismatch if it differs.
	versionBytesMatched int
	// fieldName holds the beginning of the current field name in lower case.
	fieldName [maxFieldNameBytes]byte
	// fieldNameLength is the length of the current field name in bytes. It may exceed the size of fieldName; such a name
	// does not affect the framing.
	fieldNameLength int
	// fieldCount is the number of fields that have begun in the head and the trailer of the request.
	fieldCount int
	// currentField is the kind of the current header field: whether it affects the framing, and how.
	currentField fieldKind
	// contentLengthFields counts the Content-Length fields of the request.
	contentLengthFields int
	// digitCount is the number of digits so far of the Content-Length or of the current chunk size.
	digitCount int
	// digitsEnded is set once white space has followed the digits of the Content-Length, so that no further digit may
	// follow.
	digitsEnded bool
	// contentLength is the value of Content-Length in bytes.
	contentLength int64
	// hasTransferEncoding is set once a Transfer-Encoding field has arrived.
	hasTransferEncoding bool
	// codings holds the transfer codings, which are the elements of the head's Transfer-Encoding fields, in lower case and
	// separated by commas.
	codings [maxCodingsBytes]byte
	// codingsBytes is how many bytes of the array codings are in use.
	codingsBytes int

	// remainingBytes is the number of bytes of the body or of the current chunk that have not arrived yet.
	remainingBytes uint64
	// chunkSize is the size of the current chunk in bytes, as far as its digits have arrived.
	chunkSize uint64
	// extensionBytes is the length of the extensions of the current chunk so far, in bytes.
	extensionBytes int
}

// Accept consumes the next bytes of the connection. It returns how many of them belong to the current request, or to the
// request that they begin; this is less than len(b) only if the request ends there. The rest belongs to the next call, which
// begins another request. An error is a *RequestFramingError or ErrTooManyFields; after an error nothing more is accepted.
func (f *RequestFraming) Accept(b []byte) (n int, err error) {
	if f.err != nil {
		return 0, f.err
	}
	if f.state == requestEnded {
		*f = RequestFraming{previousHead: f.currentHead}
	}
	for n < len(b) && f.state != requestEnded {
		if f.state == inBody || f.state == inChunkData {
			n += f.skipContent(len(b) - n)
			continue
		}
		if f.state == inFieldValue && f.currentField == otherField {
			n += countFieldBytes(b[n:])
			if n == len(b) {
				break
			}
		}
		if err := f.acceptByte(b[n]); err != nil {
			f.err = err
			return 0, err
		}
		n++
		// After an unknown coding the head is passed on, but nothing that follows it.
		if f.err != nil {
			break
		}
	}
	return n, nil
}

// RequestComplete reports whether the most recent request has arrived completely.
func (f *RequestFraming) RequestComplete() bool { return f.err == nil && f.state == requestEnded }

// HeadComplete reports whether the head of the most recent request has arrived completely. It must be called before
// ConfirmHead is called for that request.
func (f *RequestFraming) HeadComplete() bool { return f.err == nil && f.currentHead.complete }

// InHead reports whether the next byte belongs to the head of a request, or begins one.
func (f *RequestFraming) InHead() bool { return f.state <= afterHeadCR || f.state == requestEnded }

// FieldCount returns the number of fields that have begun in the head and the trailer of the most recent request.
func (f *RequestFraming) FieldCount() int { return f.fieldCount }

// Err returns the error after which nothing more is accepted on the connection, or nil.
func (f *RequestFraming) Err() error { return f.err }

// ConfirmHead is called, once for every request, when the HTTP library has read a head with a body of the given length in
// bytes (-1 for a chunked body). It returns false if the oldest head that has not been confirmed yet has another length, or
// there is none: the library has then taken other bytes for a head.
func (f *RequestFraming) ConfirmHead(length int64) bool {
	head := &f.currentHead
	if f.previousHead.complete {
		head = &f.previousHead
	}
	agrees := head.complete && head.bodyLength == length
	*head = completedHead{}
	return agrees
}

// skipContent passes over the part of a body or chunk, of at most available bytes, that has arrived, and returns its length.
func (f *RequestFraming) skipContent(available int) int {
	n := min(uint64(available), f.remainingBytes)
	f.remainingBytes -= n
	if f.remainingBytes == 0 {
		if f.state == inBody {
			f.state = requestEnded
		} else {
			f.state = afterChunkData
		}
	}
	return int(n)
}

// acceptByte consumes one byte that belongs to the syntax of a request, not to the content of its body, and returns an error
// if it is not allowed in the current state.
func (f *RequestFraming) acceptByte(c byte) error {
	switch f.state {
	case beforeRequest, inRequestLine:
		return f.acceptRequestLineByte(c)
	case afterRequestLineCR, afterFieldCR:
		return f.acceptLineFeed(c, atFieldStart)
	case atFieldStart, inFieldName, inFieldValue:
		return f.acceptHeaderByte(c)
	case afterHeadCR:
		if err := f.acceptLineFeed(c, requestEnded); err != nil {
			return err
		}
		return f.endHead()
	case inChunkSize, inChunkExtensions:
		return f.acceptChunkLineByte(c)
	case afterChunkSizeCR:
		return f.beginChunk(c)
	case afterChunkData:
		return f.acceptExactly(c, '\r', afterChunkDataCR)
	case afterChunkDataCR:
		return f.acceptLineFeed(c, inChunkSize)
	case atTrailerStart, inTrailerName, inTrailerValue:
		return f.acceptTrailerByte(c)
	case afterTrailerCR:
		return f.acceptLineFeed(c, atTrailerStart)
	case afterLastCR:
		return f.acceptLineFeed(c, requestEnded)
	}
	return &RequestFramingError{"request", "unexpected byte"}
}

// acceptExactly consumes the byte c: it changes to the state next if c equals want, and returns an error otherwise.
func (f *RequestFraming) acceptExactly(c, want byte, next framingState) error {
	if c != want {
		return &RequestFramingError{"line end", fmt.Sprintf("expected %q, got %q", want, c)}
	}
	f.state = next
	return nil
}

// acceptLineFeed consumes the byte c: it changes to the state next if c is a line feed, and returns an error otherwise.
func (f *RequestFraming) acceptLineFeed(c byte, next framingState) error {
	return f.acceptExactly(c, '\n', next)
}
