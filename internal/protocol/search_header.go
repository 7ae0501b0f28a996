package protocol

import (
	"net/http"
	"net/url"
	"strings"
)

// searchFields are the header fields that describe a search.
var searchFields = []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Object", "X-Expires-In", "X-Second-Try"}

// findRepeatedField returns an error for the first of searchFields that occurs several times with different values, or nil:
// HTTP implementations differ in which of the values they use.
func findRepeatedField(h http.Header) *InvalidFieldError {
	for _, field := range searchFields {
		values := h[field]
		for i := 1; i < len(values); i++ {
			if values[i] != values[0] {
				return &InvalidFieldError{field, "one value"}
			}
		}
	}
	return nil
}

// parseClass returns the class that a path names in its first segment. The path is still escaped, as in the request line. ok
// is false if another reader could take another class from it: some readers decode a path before they split it into
// segments, some after; some remove dot segments or empty ones, some do not.
func parseClass(path string) (class string, ok bool) {
	rest, rooted := strings.CutPrefix(path, "/")
	class, _, _ = strings.Cut(rest, "/")
	if !rooted || class == "" || strings.Contains(class, "%") {
		return "", false
	}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return "", false
	}
	for segment := range strings.FieldsFuncSeq(decoded, isPathSeparator) {
		if segment == "." || segment == ".." {
			return "", false
		}
	}
	return class, true
}

// isPathSeparator reports whether a character separates the segments of a path for at least some HTTP implementations: a
// slash or a backslash.
func isPathSeparator(c rune) bool { return c == '/' || c == '\\' }
