package protocol

import "fmt"

// Limits on the head of a request.
const (
	// MaxRequestFields is the largest number of fields that the head and the trailer of a request may have together. The HTTP
	// library keeps each field in a map, which takes some hundred bytes even for a field of four.
	MaxRequestFields = 100
	// maxLengthDigits is the maximum number of digits of a Content-Length: such a number fits 63 bits.
	maxLengthDigits = 18
	// maxCodingsBytes is the maximum length of all Transfer-Encoding values together, in bytes.
	maxCodingsBytes = 64
	// maxFieldNameBytes is how many bytes of a field name RequestFraming keeps: more than the longest name that affects
	// where a request ends.
	maxFieldNameBytes = 20
)

// http11Version is the version in the request line of an HTTP/1.1 request. A Transfer-Encoding is rejected in any other
// version, as HTTP/1.0 does not define it.
const http11Version = "HTTP/1.1"

// versionMismatch is the value of RequestFraming.versionBytesMatched if the current element of the request line (method,
// target or version) differs from http11Version.
const versionMismatch = -1

// chunkedCoding is the only transfer coding that is accepted.
const chunkedCoding = "chunked"

// fieldKind says whether a header field affects where the body of a request ends, and how.
type fieldKind uint8

const (
	// otherField is a field that does not affect the framing.
	otherField fieldKind = iota
	// contentLengthField is the field Content-Length.
	contentLengthField
	// transferEncodingField is the field Transfer-Encoding.
	transferEncodingField
)

// acceptRequestLineByte consumes one byte of the request line and compares its last element, the version, with
// http11Version.
func (f *RequestFraming) acceptRequestLineByte(c byte) error {
	if f.state == beforeRequest {
		f.state = inRequestLine
		// The first element is the method, which is not a version.
		f.versionBytesMatched = versionMismatch
	}
	switch {
	case c == '\r':
		f.state = afterRequestLineCR
	case c == ' ':
		f.versionBytesMatched = 0
	case c < ' ' || c == 0x7f:
		return &RequestFramingError{"request line", "control byte"}
	case f.versionBytesMatched >= 0 && f.versionBytesMatched < len(http11Version) && c == http11Version[f.versionBytesMatched]:
		f.versionBytesMatched++
	default:
		f.versionBytesMatched = versionMismatch
	}
	return nil
}

// acceptHeaderByte consumes one byte of a header field, or the CR of the empty line that ends the head.
func (f *RequestFraming) acceptHeaderByte(c byte) error {
	switch {
	case f.state == atFieldStart && c == '\r':
		f.state = afterHeadCR
	case f.state == atFieldStart:
		f.state = inFieldName
		if err := f.countField(); err != nil {
			return err
		}
		return f.acceptNameByte(c)
	case f.state == inFieldName && c == ':' && f.fieldNameLength > 0:
		f.state = inFieldValue
		return f.beginValue()
	case f.state == inFieldName:
		return f.acceptNameByte(c)
	case c == '\r':
		f.state = afterFieldCR
		return f.endValue()
	case !isFieldValueByte(c):
		return &RequestFramingError{"field value", "control byte"}
	default:
		return f.acceptValueByte(c)
	}
	return nil
}

// countField is called at the beginning of each field. It returns ErrTooManyFields if the request may not have another one.
func (f *RequestFraming) countField() error {
	f.fieldNameLength = 0
	if f.fieldCount == MaxRequestFields {
		return ErrTooManyFields
	}
	f.fieldCount++
	return nil
}

// acceptNameByte consumes one byte of a field name. It rejects every byte that may not be part of a token, and thereby also
// folded lines and white space before the colon.
func (f *RequestFraming) acceptNameByte(c byte) error {
	if !isTokenByte(c) {
		return &RequestFramingError{"field name", fmt.Sprintf("unexpected byte %q", c)}
	}
	if f.fieldNameLength < len(f.fieldName) {
		f.fieldName[f.fieldNameLength] = lowerCase(c)
	}
	f.fieldNameLength++
	return nil
}

// fieldNameIs reports whether the current field has the given name, which must be in lower case; the field's own case does
// not matter.
func (f *RequestFraming) fieldNameIs(name string) bool {
	return f.fieldNameLength <= len(f.fieldName) && string(f.fieldName[:f.fieldNameLength]) == name
}

// beginValue sets the kind of the current header field once its name is complete. It returns an error for a second
// Content-Length.
func (f *RequestFraming) beginValue() error {
	switch {
	case f.fieldNameIs("content-length"):
		f.currentField = contentLengthField
		f.contentLengthFields++
		if f.contentLengthFields > 1 {
			return &RequestFramingError{"Content-Length", "more than one field"}
		}
	case f.fieldNameIs("transfer-encoding"):
		f.currentField = transferEncodingField
		if f.hasTransferEncoding {
			// Several fields of one name form a single list.
			return f.acceptCodingByte(',')
		}
		f.hasTransferEncoding = true
	default:
		f.currentField = otherField
	}
	return nil
}

// acceptValueByte consumes one byte of the value of the current field.
func (f *RequestFraming) acceptValueByte(c byte) error {
	switch f.currentField {
	case contentLengthField:
		return f.acceptLengthByte(c)
	case transferEncodingField:
		return f.acceptCodingByte(c)
	}
	return nil
}

// acceptLengthByte consumes one byte of a Content-Length: digits, with optional white space around them.
func (f *RequestFraming) acceptLengthByte(c byte) error {
	if c == ' ' || c == '\t' {
		f.digitsEnded = f.digitCount > 0
		return nil
	}
	if c < '0' || c > '9' || f.digitsEnded || f.digitCount == maxLengthDigits {
		return &RequestFramingError{"Content-Length", fmt.Sprintf("expected %d digits at most", maxLengthDigits)}
	}
	f.digitCount++
	f.contentLength = 10*f.contentLength + int64(c-'0')
	return nil
}

// acceptCodingByte adds one byte of a Transfer-Encoding value to f.codings. It drops white space at the beginning of a list
// element and, once the comma after it arrives, at its end.
func (f *RequestFraming) acceptCodingByte(c byte) error {
	afterSpace := f.codingsBytes > 0 && f.codings[f.codingsBytes-1] == ' '
	switch {
	case c == ' ' || c == '\t':
		if afterSpace || f.codingsBytes == 0 || f.codings[f.codingsBytes-1] == ',' {
			return nil
		}
		c = ' '
	case c == ',' && afterSpace:
		f.codingsBytes--
	case c != ',' && afterSpace || c != ',' && !isTokenByte(c):
		return &RequestFramingError{"Transfer-Encoding", "expected names of codings"}
	}
	if f.codingsBytes == len(f.codings) {
		return &RequestFramingError{"Transfer-Encoding", fmt.Sprintf("longer than %d bytes", maxCodingsBytes)}
	}
	f.codings[f.codingsBytes] = lowerCase(c)
	f.codingsBytes++
	return nil
}

// endValue is called at the end of a header field's value; it returns an error for a Content-Length without digits.
func (f *RequestFraming) endValue() error {
	if f.currentField == contentLengthField && f.digitCount == 0 {
		return &RequestFramingError{"Content-Length", "expected digits"}
	}
	return nil
}

// endHead is called at the end of a request's head: it determines whether a body follows and how its end is found.
func (f *RequestFraming) endHead() error {
	f.currentHead = completedHead{complete: true, bodyLength: f.contentLength}
	if f.hasTransferEncoding {
		return f.beginChunkedBody()
	}
	f.remainingBytes = uint64(f.contentLength)
	if f.remainingBytes > 0 {
		f.state = inBody
	}
	return nil
}

// beginChunkedBody handles the end of a head with a Transfer-Encoding. It accepts the head if its only coding is chunked. A
// head with unknown codings before chunked is passed on to the HTTP library, which answers it with status 501; nothing after
// it is accepted.
func (f *RequestFraming) beginChunkedBody() error {
	if f.contentLengthFields > 0 {
		return &RequestFramingError{"Transfer-Encoding", "combined with Content-Length"}
	}
	if f.versionBytesMatched != len(http11Version) {
		return &RequestFramingError{"Transfer-Encoding", "expected " + http11Version}
	}
	codings := f.codings[:f.codingsBytes]
	if n := len(codings); n > 0 && codings[n-1] == ' ' {
		codings = codings[:n-1]
	}
	if string(codings) == chunkedCoding {
		f.currentHead.bodyLength = chunkedLength
		f.state = inChunkSize
		return nil
	}
	if !endsInSingleChunked(codings) {
		return &RequestFramingError{"Transfer-Encoding", "expected a single chunked coding"}
	}
	f.err = errUnknownCoding
	return nil
}

// endsInSingleChunked reports whether the last of the comma-separated codings is chunked and none before it is chunked or
// empty.
func endsInSingleChunked(codings []byte) bool {
	for begin := 0; ; {
		end := begin
		for end < len(codings) && codings[end] != ',' {
			end++
		}
		coding := string(codings[begin:end])
		if end == len(codings) {
			return coding == chunkedCoding
		}
		if coding == "" || coding == chunkedCoding {
			return false
		}
		begin = end + 1
	}
}
