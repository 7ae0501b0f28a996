package protocol

import (
	"fmt"
	"math"
	"net/http"
	"strconv"

	"brackenfront/balance"
)

const (
	// MaxBodyBytes is the maximum size of the body of a request and of a value in an answer, in bytes.
	MaxBodyBytes = 64 << 10
	// maxIDBytes is the maximum length of the id of a search, in bytes.
	maxIDBytes = 64
	// noDealer is the dealer index of a search that names no dealer.
	noDealer = -1
	// secondsPerMicrosecond converts the microseconds of a client's remaining time to seconds.
	secondsPerMicrosecond = 1e-6
)

// Search is one search as a client asks for it, parsed and validated under the settings of a Deployment.
type Search struct {
	// ID is the id that the client has given the search.
	ID string
	// Class is the index of the search's class in Deployment.Settings.Classes.
	Class int
	// Dealer is the index of the search's dealer in Deployment.Settings.Quotas; noDealer, below 0, if the search names none.
	Dealer int
	// ClassName is the name of the class.
	ClassName string
	// DealerName is the name of the dealer; empty if the search names none.
	DealerName string
	// Deployment holds the settings under which the search was parsed.
	Deployment *Deployment
	// RemainingSeconds is how long the client waits for the answer, in seconds from the arrival of the request.
	RemainingSeconds float64
	// Text is what the client searches for; it is sent to each node unchanged.
	Text string
	// Parts are the parts of the search, one for each shard that the client asks for. Their weights add up to 1, but for rounding.
	Parts []Part
}

// Part is the share of a search for one shard.
type Part struct {
	// Shard is the index of the shard.
	Shard int
	// Weight is the part's share of the complete answer, above 0 and at most 1.
	Weight float64
}

// InvalidFieldError reports which field of a client's request is invalid.
type InvalidFieldError struct {
	// Field is the name of a header field, the path to a member of the JSON body such as "buckets[0].part", or "path" or
	// "body".
	Field string
	// Expected describes what a valid value of the field would be.
	Expected string
}

// Error implements the error interface.
func (e *InvalidFieldError) Error() string { return e.Field + ": expected " + e.Expected }

// ParseSearch reads a search from the path, header and body of an HTTP request; every error is an *InvalidFieldError. The
// path is as it stands in the request line, still escaped. A request that two readers could understand differently is
// rejected: it could be run in a form that its client never sent.
func (d *Deployment) ParseSearch(path string, header http.Header, body []byte) (*Search, error) {
	search := &Search{ID: header.Get("X-Trace-Id"), Dealer: noDealer, Deployment: d}
	if repeated := findRepeatedField(header); repeated != nil {
		return nil, repeated
	}
	if !isValidID(search.ID) {
		return nil, &InvalidFieldError{"X-Trace-Id", "1 to 64 letters, digits, '-' or '_'"}
	}
	name, ok := parseClass(path)
	if ok {
		search.Class, ok = d.ClassIndexes[name]
	}
	if !ok {
		return nil, &InvalidFieldError{"path", "a query type that is served here as its first part"}
	}
	search.ClassName = name
	if class := header.Get("X-Qos"); class != "" && class != name {
		return nil, &InvalidFieldError{"X-Qos", "the query type that the path names"}
	}
	if dealer := header.Get("X-Customer"); dealer != "" {
		if search.Dealer, ok = d.DealerIndexes[dealer]; !ok {
			return nil, &InvalidFieldError{"X-Customer", "a dealer that is known here"}
		}
		search.DealerName = dealer
	}
	if search.RemainingSeconds, ok = parseRemainingTime(header.Get("X-Expires-In")); !ok {
		return nil, &InvalidFieldError{"X-Expires-In", "a number above 0 and a unit, m or u"}
	}
	parsed, err := parseSearchBody(body, d.Settings.Shards)
	if err != nil {
		return nil, err
	}
	if err := d.validateParts(parsed.parts); err != nil {
		return nil, err
	}
	if parsed.text == nil {
		return nil, &InvalidFieldError{textMember, expectedText}
	}
	search.Parts = parsed.parts
	search.Text = *parsed.text
	return search, nil
}

// validateParts returns an error unless there is at least one part, each names a different existing shard, each weight is above
// 0 and at most 1, and the weights add up to 1, within balance.WeightTolerance. How much of a search is answered, and so whether its answer is complete, can be
// told from the weights of its answered parts only if all of them add up to 1.
func (d *Deployment) validateParts(parts []Part) error {
	if len(parts) == 0 {
		return &InvalidFieldError{"buckets", "at least one part"}
	}
	seen := make(map[int]bool, len(parts))
	weightSum := 0.0
	for i, part := range parts {
		wrong := func(member, expected string) error {
			return &InvalidFieldError{fmt.Sprintf("buckets[%d].%s", i, member), expected}
		}
		if part.Shard < 0 || part.Shard >= d.Settings.Shards {
			return wrong("bucket", fmt.Sprintf("a shard from 0 to %d", d.Settings.Shards-1))
		}
		if seen[part.Shard] {
			return wrong("bucket", "a shard that is not named before")
		}
		if !(part.Weight > 0 && part.Weight <= 1) {
			return wrong("part", "a share above 0 and at most 1")
		}
		seen[part.Shard] = true
		weightSum += part.Weight
	}
	if math.Abs(weightSum-1) > balance.WeightTolerance {
		return &InvalidFieldError{"buckets", fmt.Sprintf("weights that add up to 1, got a sum of %g", weightSum)}
	}
	return nil
}

// ResolveIndexes replaces the class and dealer indexes of a search by those of another deployment, whose settings were put
// in force after the search had been parsed. It returns false if that deployment lacks the class, the dealer or a shard of
// the search.
func (s *Search) ResolveIndexes(d *Deployment) (ok bool) {
	if s.Class, ok = d.ClassIndexes[s.ClassName]; !ok {
		return false
	}
	if s.DealerName != "" {
		if s.Dealer, ok = d.DealerIndexes[s.DealerName]; !ok {
			return false
		}
	}
	for _, part := range s.Parts {
		if part.Shard >= d.Settings.Shards {
			return false
		}
	}
	s.Deployment = d
	return true
}

// isValidID reports whether id may be the id of a search. Ids become part of the header lines of frames, where they must not
// introduce spaces or line ends.
func isValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// parseRemainingTime reads a duration above 0 that ends in m for milliseconds or u for microseconds, and returns it in
// seconds.
func parseRemainingTime(text string) (seconds float64, ok bool) {
	if text == "" {
		return 0, false
	}
	unit, ok := map[byte]float64{'m': secondsPerMillisecond, 'u': secondsPerMicrosecond}[text[len(text)-1]]
	number, err := strconv.ParseFloat(text[:len(text)-1], 64)
	number *= unit
	return number, ok && err == nil && number > 0 && !math.IsInf(number, 0)
}
