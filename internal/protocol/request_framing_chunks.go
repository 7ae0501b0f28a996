package protocol

import "fmt"

// Limits on a chunked body.
const (
	// maxChunkDigits is the maximum number of hexadecimal digits of a chunk size, so that it fits 64 bits.
	maxChunkDigits = 16
	// maxExtensionBytes is the maximum length of the extensions after one chunk size, in bytes.
	maxExtensionBytes = 256
)

// acceptChunkLineByte consumes one byte of the line before the content of a chunk: its size and extensions.
func (f *RequestFraming) acceptChunkLineByte(c byte) error {
	switch {
	case c == '\r' && f.hasDigits():
		f.state = afterChunkSizeCR
	case f.state == inChunkExtensions || c == ';' && f.hasDigits():
		f.state = inChunkExtensions
		f.extensionBytes++
		if f.extensionBytes > maxExtensionBytes || !isFieldValueByte(c) {
			return &RequestFramingError{"chunk extensions", fmt.Sprintf("expected %d printable bytes at most", maxExtensionBytes)}
		}
	default:
		digit, ok := hexDigitValue(c)
		f.digitCount++
		if !ok || f.digitCount > maxChunkDigits {
			return &RequestFramingError{"chunk size", fmt.Sprintf("expected %d hexadecimal digits at most", maxChunkDigits)}
		}
		f.chunkSize = f.chunkSize<<4 | uint64(digit)
	}
	return nil
}

// hasDigits reports whether at least one digit of the current Content-Length or chunk size has arrived.
func (f *RequestFraming) hasDigits() bool { return f.digitCount > 0 }

// beginChunk consumes the line feed before the content of a chunk. A chunk of size 0 is the last one.
func (f *RequestFraming) beginChunk(c byte) error {
	if err := f.acceptLineFeed(c, inChunkData); err != nil {
		return err
	}
	f.remainingBytes = f.chunkSize
	if f.remainingBytes == 0 {
		f.state = atTrailerStart
	}
	f.digitCount = 0
	f.chunkSize = 0
	f.extensionBytes = 0
	return nil
}

// acceptTrailerByte consumes one byte of the lines after the last chunk: the trailer fields and the empty line that ends the
// request.
func (f *RequestFraming) acceptTrailerByte(c byte) error {
	switch {
	case f.state == atTrailerStart && c == '\r':
		f.state = afterLastCR
	case f.state == atTrailerStart:
		f.state = inTrailerName
		if err := f.countField(); err != nil {
			return err
		}
		return f.acceptNameByte(c)
	case f.state == inTrailerName && c == ':' && f.fieldNameLength > 0:
		f.state = inTrailerValue
		if f.isForbiddenTrailer() {
			return &RequestFramingError{"trailer", "field is only allowed in the head"}
		}
	case f.state == inTrailerName:
		return f.acceptNameByte(c)
	case c == '\r':
		f.state = afterTrailerCR
	case !isFieldValueByte(c):
		return &RequestFramingError{"trailer", "control byte"}
	}
	return nil
}

// isForbiddenTrailer reports whether the current trailer field is one of those for framing, routing, connections or content,
// which must not be sent as trailers (RFC 9110, section 6.5.1).
func (f *RequestFraming) isForbiddenTrailer() bool {
	for _, name := range [...]string{"content-length", "transfer-encoding", "host", "trailer", "te", "connection",
		"upgrade", "expect", "content-encoding", "content-type", "content-range"} {
		if f.fieldNameIs(name) {
			return true
		}
	}
	return false
}
