package protocol

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
)

// validBody is the body of a valid search, which also has members that the broker does not read.
const validBody = `{"buckets":[{"bucket":3,"part":0.5,"effort":9000,"seed":"00ff"},{"bucket":8,"part":0.5}],"body":"c41e77d0"}`

// validHeader returns the header fields of a valid search.
func validHeader() http.Header {
	return headerOf("X-Trace-Id", "9b1f03aa5c7e2d41", "X-Qos", "one", "X-Customer", "acme", "X-Expires-In", "480m")
}

// expectInvalidField fails the test unless a request with the given path, header and body is rejected with an error that
// names field. what describes the request in messages.
func expectInvalidField(t *testing.T, what, field, path string, header http.Header, body string) {
	t.Helper()
	search, err := testDeployment().ParseSearch(path, header, []byte(body))
	var invalid *InvalidFieldError
	if !errors.As(err, &invalid) {
		t.Errorf("%q: accepted as %+v, %v", what, search, err)
	} else if invalid.Field != field {
		t.Errorf("%q: rejected for %s, expected %s", what, invalid.Error(), field)
	}
}

// TestRepeatedFields guards against a request that this broker and another HTTP implementation would understand differently:
// a header field with two different values must be rejected, as some readers take the first value and others the last. Equal
// values are accepted.
func TestRepeatedFields(t *testing.T) {
	for _, field := range []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Object", "X-Expires-In", "X-Second-Try"} {
		for _, order := range [][]string{{"one", "other"}, {"other", "one"}, {"", "one"}, {"one", "one", ""}} {
			header := validHeader()
			header[field] = order
			expectInvalidField(t, fmt.Sprintf("%s: %q", field, order), field, "/one", header, validBody)
		}
		header := validHeader()
		if header[field] == nil {
			header[field] = []string{"1"}
		}
		header[field] = append(header[field], header[field][0])
		if _, err := testDeployment().ParseSearch("/one", header, []byte(validBody)); err != nil {
			t.Errorf("%s twice with one value: %v", field, err)
		}
	}
}

// TestRepeatedMembers guards against a body that this broker and another JSON reader would understand differently: a name
// that occurs twice in an object, or that differs from a known one only in case, must be rejected.
func TestRepeatedMembers(t *testing.T) {
	const bucket = `{"bucket":3,"part":1}`
	for _, testCase := range []struct {
		// field is the field that the error has to name, and body the request's body.
		field, body string
	}{
		{"buckets", `{"buckets":[{"bucket":1,"part":1}],"buckets":[` + bucket + `],"body":"x"}`},
		{"buckets", `{"buckets":[{"bucket":1,"part":1}],"buckets":[{"bucket":2}],"body":"x"}`},
		{"body.body", `{"buckets":[` + bucket + `],"body":"x","body":"y"}`},
		{"body.body", `{"buckets":[` + bucket + `],"body":"x","body":"x"}`},
		{"body.body", `{"buckets":[` + bucket + `],"body":"x","\u0062ody":"y"}`},
		{"buckets[0].bucket", `{"buckets":[{"bucket":1,"bucket":2,"part":1}],"body":"x"}`},
		{"buckets[1].part", `{"buckets":[{"bucket":1,"part":0.5},{"bucket":2,"part":0.1,"part":0.5}],"body":"x"}`},
		{"buckets[0].effort", `{"buckets":[{"bucket":1,"part":1,"effort":1,"effort":2}],"body":"x"}`},
		{"further", `{"buckets":[` + bucket + `],"body":"x","further":1,"further":2}`},
		{"BUCKETS", `{"BUCKETS":[` + bucket + `],"body":"x"}`},
		{"Buckets", `{"buckets":[` + bucket + `],"Buckets":[],"body":"x"}`},
		{"bucketſ", `{"buckets":[` + bucket + `],"bucketſ":[],"body":"x"}`},
		{"Body", `{"buckets":[` + bucket + `],"body":"x","Body":"y"}`},
		{"buckets[0].Bucket", `{"buckets":[{"bucket":1,"Bucket":2,"part":1}],"body":"x"}`},
		{"buckets[0].PART", `{"buckets":[{"bucket":1,"PART":1}],"body":"x"}`},
		{"body", validBody + `{}`},
		{"body", validBody + `]`},
		{"body", validBody + "\x00"},
		{"body", "\ufeff" + validBody},
		{"body", `[` + validBody + `]`},
		{"body", `null`},
	} {
		expectInvalidField(t, testCase.body, testCase.field, "/one", validHeader(), testCase.body)
	}
	for _, body := range []string{validBody, validBody + " \r\n\t", `{"body":"x","later":{"body":1,"Body":2},"buckets":[{"part":1,"seed":null,"bucket":3}]}`,
		`{"effort":1,"seed":2,"buckets":[{"bucket":3,"part":10e-1,"Effort":2,"effort":1}],"body":""}`} {
		if _, err := testDeployment().ParseSearch("/one", validHeader(), []byte(body)); err != nil {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// TestAmbiguousPaths guards against a request that this broker and another HTTP implementation would assign to different
// classes: it must be rejected unless every reading of its path yields the same first segment.
func TestAmbiguousPaths(t *testing.T) {
	for _, path := range []string{"/%6fne", "/one%2Fx", "/one%2fx", "/./one", "/../one", "/one/..", "/one/../two", "/one/.", "/one/./x",
		"//one", "///one", "/%2e/one", "/one/%2e%2E/two", "/one/x%2F..%2F..%2Ftwo", "/one/..%5Ctwo", "/one/..\\two", "/one\\two", "one", "", "/", "/one/%zz",
		"/One", "/one;x", "/%00one"} {
		expectInvalidField(t, path, "path", path, headerOf("X-Trace-Id", "a", "X-Expires-In", "5m"), validBody)
	}
	for _, path := range []string{"/one", "/one/", "/one/x", "/one/x//y", "/one/a%20b", "/one/.x", "/one/...", "/one/x..y"} {
		search, err := testDeployment().ParseSearch(path, headerOf("X-Trace-Id", "a", "X-Expires-In", "5m"), []byte(validBody))
		if err != nil || search.ClassName != "one" {
			t.Errorf("%s: %+v, %v", path, search, err)
		}
	}
}
