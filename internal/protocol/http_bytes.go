package protocol

// isFieldValueByte reports whether c may be part of the value of an HTTP field: every byte except control bytes, but
// including the tab.
func isFieldValueByte(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

// countFieldBytes returns the number of bytes at the beginning of b that may be part of the value of an HTTP field.
func countFieldBytes(b []byte) int {
	for i, c := range b {
		if !isFieldValueByte(c) {
			return i
		}
	}
	return len(b)
}

// isTokenByte reports whether c may be part of an HTTP token, such as the name of a header field (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	if c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' {
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// lowerCase returns the lower-case form of an ASCII letter, and every other byte unchanged.
func lowerCase(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		c |= 0x20
	}
	return c
}

// hexDigitValue returns the value of a hexadecimal digit, in upper or lower case; ok is false if c is not one.
func hexDigitValue(c byte) (digit byte, ok bool) {
	c = lowerCase(c)
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	}
	return 0, false
}
