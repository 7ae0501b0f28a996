package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"unicode/utf8"
)

// FuzzParseSearch checks that a search that is accepted is valid and is what another JSON reader (encoding/json) takes from
// the same bytes, and that an error names the invalid field.
func FuzzParseSearch(f *testing.F) {
	f.Add("/one", "9b1f03aa5c7e2d41", "one", "480m", `{"buckets":[{"bucket":3,"part":0.5,"effort":9000},{"bucket":8,"part":0.5}],"body":"c41e77d0"}`)
	f.Add("/one/x", "a", "", "1.5u", `{"buckets":[{"bucket":0,"part":1}],"body":"\u00e9\ud83d\ude00\\ufffd \ufffd"}`)
	f.Add("/one", "a", "", "1e400m", `{"buckets":[{"bucket":0,"part":1}],"body":"\udc00"}`)
	f.Add("/one", "a", "one", "5m", `{"buckets":[{"bucket":-1,"part":1e-300},{"bucket":1e9}],"body":null}`)
	f.Add("/", "", "", "m", `[`)
	f.Add("/one", "a", "", "5m", `{"buckets":[{"bucket":0,"part":1}],"Buckets":[],"body":"x","body":"y"}`)
	f.Add("/one", "0", "", "1m", `{"":0,""0`)
	f.Add("/one/../%6fne", "a", "", "5m", `{"buckets":[{"bucket":{"a":[1]},"part":[]},7,null],"body":{"a":{}}}`)
	f.Fuzz(func(t *testing.T, path, id, class, remaining, body string) {
		search, err := testDeployment().ParseSearch(path, headerOf("X-Trace-Id", id, "X-Qos", class, "X-Expires-In", remaining), []byte(body))
		if err != nil {
			if invalid, ok := err.(*InvalidFieldError); !ok || invalid.Field == "" || invalid.Expected == "" {
				t.Fatalf("error without a field: %v", err)
			}
			return
		}
		seen := map[int]bool{}
		weightSum := 0.0
		for _, part := range search.Parts {
			if part.Shard < 0 || part.Shard >= 9 || seen[part.Shard] || !(part.Weight > 0 && part.Weight <= 1) {
				t.Fatalf("accepted %+v", search.Parts)
			}
			seen[part.Shard] = true
			weightSum += part.Weight
		}
		if math.Abs(weightSum-1) > 1.0001e-4 {
			t.Fatalf("accepted weights with the sum %g", weightSum)
		}
		if len(search.Parts) == 0 || !(search.RemainingSeconds > 0) || !isValidID(search.ID) || !utf8.ValidString(search.Text) {
			t.Fatalf("accepted %+v", search)
		}
		// Nodes and answers must get exactly the text that the client sent.
		raw, _ := json.Marshal(search.Text)
		if !strings.ContainsRune(search.Text, utf8.RuneError) && !unmodified(raw, search.Text) {
			t.Fatalf("%q does not stand for %q", raw, search.Text)
		}
		expectSameReading(t, search, body)
	})
}

// expectSameReading fails the test unless another JSON reader reads the same search from body, with its text unmodified.
func expectSameReading(t *testing.T, search *Search, body string) {
	t.Helper()
	var other struct {
		Buckets []struct {
			Bucket int
			Part   float64
		}
		Body json.RawMessage
	}
	var text string
	if err := errors.Join(json.Unmarshal([]byte(body), &other), json.Unmarshal(other.Body, &text)); err != nil {
		t.Fatalf("accepted %q: %v", body, err)
	}
	if text != search.Text || !unmodified(other.Body, text) || len(other.Buckets) != len(search.Parts) {
		t.Fatalf("%q parsed as %+v", body, search)
	}
	for i, part := range search.Parts {
		if bucket := other.Buckets[i]; bucket.Bucket != part.Shard || bucket.Part != part.Weight {
			t.Fatalf("%q parsed as %+v", body, search)
		}
	}
}

// unmodified reports whether a JSON decoder that repairs invalid text has left this text, decoded from raw, unchanged. Such
// a decoder replaces half a surrogate pair, or a byte that is not UTF-8, by U+FFFD.
func unmodified(raw json.RawMessage, text string) bool {
	// An escaped backslash before ufffd is ordinary text.
	unescaped := strings.ReplaceAll(string(raw), `\\`, "")
	written := strings.Count(unescaped, "\uFFFD") + strings.Count(strings.ToLower(unescaped), `\ufffd`)
	return utf8.Valid(raw) && strings.Count(text, "\uFFFD") == written
}

// BenchmarkParseSearch parses a search of sixteen parts with a short text and with one close to the maximum size.
func BenchmarkParseSearch(b *testing.B) {
	var parts []string
	for shard := range 16 {
		parts = append(parts, fmt.Sprintf(`{"bucket":%d,"part":0.0625,"effort":9000,"seed":"8c1f30d27a5be964"}`, shard))
	}
	deployment := testDeployment()
	deployment.Settings.Shards = len(parts)
	for name, text := range map[string]string{"16parts": "c41e77d0", "60KiB": strings.Repeat("0123456789abcdef", 60<<10/16)} {
		body := []byte(`{"buckets":[` + strings.Join(parts, ",") + `],"body":"` + text + `"}`)
		header := validHeader()
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := deployment.ParseSearch("/one", header, body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
