package protocol

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// manyMembers returns the members of a JSON object, each with a short name of its own and a comma behind it.
func manyMembers(count int) string {
	var members strings.Builder
	for i := range count {
		fmt.Fprintf(&members, `"%x":0,`, i)
	}
	return members.String()
}

// TestBodyOfManyValuesIsRejected guards against bodies within the limit on bytes whose many entries, members or nested values take
// many times their length of memory and processor time before the search is accepted: reading ends at the first that is too many.
func TestBodyOfManyValuesIsRejected(t *testing.T) {
	const shards = 4
	const maxOther = otherTokens + otherTokensPerPart*shards
	deployment := &Deployment{ClassIndexes: map[string]int{"all": 0}}
	deployment.Settings.Shards = shards
	header := http.Header{"X-Trace-Id": {"a"}, "X-Expires-In": {"10m"}}
	parts := `"buckets":[{"bucket":0,"part":1}],"body":"t"`
	for name, test := range map[string]struct {
		// body is the body of the request.
		body string
		// field is the field that the error names; empty if the body is accepted.
		field string
	}{
		"entries":            {`{"buckets":[` + strings.Repeat("{},", 20000) + `{}]}`, "buckets"},
		"one entry too many": {`{"buckets":[` + strings.Repeat(`{"bucket":0,"part":1},`, shards) + `{}]}`, "buckets"},
		"members":            {`{` + manyMembers(8000) + parts + `}`, "body"},
		"members of a part":  {`{"buckets":[{` + manyMembers(8000) + `"bucket":0,"part":1}],"body":"t"}`, "body"},
		"nested members":     {`{"x":{` + manyMembers(8000) + `"y":0},` + parts + `}`, "body"},
		"nested lists":       {`{"x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `,` + parts + `}`, "body"},
		"a list for a shard": {`{"buckets":[{"bucket":[` + strings.Repeat("0,", 9000) + `0]}]}`, "body"},
		"one value too many": {`{` + manyMembers(maxOther+1) + parts + `}`, "body"},
		"the most values":    {`{` + manyMembers(maxOther) + parts + `}`, ""},
	} {
		_, err := deployment.ParseSearch("/all", header, []byte(test.body))
		var invalid *InvalidFieldError
		switch {
		case test.field == "" && err != nil:
			t.Errorf("%s: %v", name, err)
		case test.field != "" && (!errors.As(err, &invalid) || invalid.Field != test.field):
			t.Errorf("%s: got %.200v, expected an error in %s", name, err, test.field)
		}
	}
}
