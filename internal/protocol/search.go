package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxBody is the most that a body holds, either way.
const MaxBody = 64 << 10

// Search is what a client asks for. Left is in seconds.
type Search struct {
	ID           string
	Kind, Dealer int         // the dealer is below 0 where none is named
	Type, Client string      // their names
	Under        *Deployment // that gave them their numbers
	Left         float64
	Text         string
	Parts        []Part
}

// Part is one part of a search.
type Part struct {
	Shard  int
	Weight float64
}

// BadField tells a client which field was at fault and what was expected there.
type BadField struct{ Field, Want string }

func (e *BadField) Error() string { return e.Field + ": expected " + e.Want }

// ParseSearch reads a request; every error is a *BadField.
func (d *Deployment) ParseSearch(path string, h http.Header, body []byte) (*Search, error) {
	s := &Search{ID: h.Get("X-Trace-Id"), Dealer: -1, Under: d}
	if !plain(s.ID) {
		return nil, &BadField{"X-Trace-Id", "1 to 64 letters, digits, '-' or '_'"}
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	var ok bool
	if s.Kind, ok = d.Kinds[name]; !ok {
		return nil, &BadField{"path", "a query type that is served here as its first part"}
	}
	s.Type = name
	if q := h.Get("X-Qos"); q != "" && q != name {
		return nil, &BadField{"X-Qos", "the query type that the path names"}
	}
	if c := h.Get("X-Customer"); c != "" {
		if s.Dealer, ok = d.Dealers[c]; !ok {
			return nil, &BadField{"X-Customer", "a dealer that is known here"}
		}
		s.Client = c
	}
	if s.Left, ok = parseLeft(h.Get("X-Expires-In")); !ok {
		return nil, &BadField{"X-Expires-In", "a number above 0 and a unit, m or u"}
	}
	var v struct {
		Buckets []struct {
			Bucket *int
			Part   float64
		}
		Body *json.RawMessage
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, &BadField{"body", "a JSON object with buckets and body (" + err.Error() + ")"}
	}
	if len(v.Buckets) == 0 {
		return nil, &BadField{"buckets", "at least one part"}
	}
	if v.Body == nil || json.Unmarshal(*v.Body, &s.Text) != nil || !faithful(*v.Body, s.Text) {
		return nil, &BadField{"body.body", "text of whole Unicode characters"}
	}
	seen := make(map[int]bool, len(v.Buckets))
	for i, b := range v.Buckets {
		at := fmt.Sprintf("buckets[%d].", i)
		if b.Bucket == nil || *b.Bucket < 0 || *b.Bucket >= d.Terms.Shards {
			return nil, &BadField{at + "bucket", fmt.Sprintf("a shard from 0 to %d", d.Terms.Shards-1)}
		}
		if seen[*b.Bucket] {
			return nil, &BadField{at + "bucket", "a shard that is not named before"}
		}
		if !(b.Part > 0 && b.Part <= 1) {
			return nil, &BadField{at + "part", "a share above 0 and at most 1"}
		}
		seen[*b.Bucket] = true
		s.Parts = append(s.Parts, Part{*b.Bucket, b.Part})
	}
	return s, nil
}

// Renumber reads a search's numbers anew under other settings, which came between its reading and its taking; it
// says whether these serve it.
func (s *Search) Renumber(d *Deployment) (ok bool) {
	if s.Kind, ok = d.Kinds[s.Type]; !ok {
		return false
	}
	if s.Client != "" {
		if s.Dealer, ok = d.Dealers[s.Client]; !ok {
			return false
		}
	}
	for _, p := range s.Parts {
		if p.Shard >= d.Terms.Shards {
			return false
		}
	}
	s.Under = d
	return true
}

// plain: may this stand in a frame's line? It must not bring blanks or ends of lines there.
func plain(id string) bool {
	if id == "" || len(id) > 64 {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

func parseLeft(v string) (float64, bool) {
	if v == "" {
		return 0, false
	}
	unit, ok := map[byte]float64{'m': 1e-3, 'u': 1e-6}[v[len(v)-1]]
	x, err := strconv.ParseFloat(v[:len(v)-1], 64)
	x *= unit
	return x, ok && err == nil && x > 0 && !math.IsInf(x, 0)
}

// faithful guards against text that the decoder mended: half a surrogate pair or a byte that is
// no UTF-8 becomes U+FFFD, and the node would get what the client never sent.
func faithful(raw json.RawMessage, text string) bool {
	return utf8.Valid(raw) && (!strings.ContainsRune(text, utf8.RuneError) ||
		strings.Count(text, "\uFFFD") == strings.Count(string(raw), "\uFFFD")+
			strings.Count(strings.ToLower(string(raw)), `\ufffd`))
}

// Found is one part's value, as a node gave it.
type Found struct {
	Shard int
	Value []byte
	Table *Table // in place of Value, from a node that speaks in columns
}

// AppendAnswer writes the body of an answer. Values stay the bytes that came, save for what JSON
// has to escape.
func AppendAnswer(b []byte, whole bool, found []Found) []byte {
	b = append(b, `{"finished":`...)
	b = strconv.AppendBool(b, whole)
	b = append(b, `,"found":[`...)
	for i, f := range found {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"bucket":`...)
		b = strconv.AppendInt(b, int64(f.Shard), 10)
		b = append(b, `,"item":`...)
		if f.Table != nil {
			b = appendTable(b, f.Table)
		} else {
			b = appendText(b, f.Value)
		}
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

func appendText(b, text []byte) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for _, c := range text {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < 0x20:
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
