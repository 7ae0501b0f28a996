package protocol

import (
	"fmt"
	"strings"
	"testing"
)

// TestSearchWithWrongWeightSumIsRejected guards against serving a search whose weights do not add up to 1: with weights of 1, one value
// of four was answered as complete.
func TestSearchWithWrongWeightSumIsRejected(t *testing.T) {
	for _, testCase := range []struct {
		// weights are the weights of the parts, as JSON numbers.
		weights []string
		// valid says whether their sum is 1, or differs from it by rounding only.
		valid bool
	}{
		{[]string{"1"}, true},
		{[]string{"0.5", "0.5"}, true},
		{[]string{"0.1", "0.2", "0.3", "0.4"}, true},
		{[]string{"0.16666666666666666", "0.16666666666666666", "0.16666666666666666", "0.5"}, true},
		{[]string{"0.3333", "0.3333", "0.3333"}, true},
		{[]string{"0.3334", "0.3334", "0.3333"}, true},
		{[]string{"0.9999"}, true},
		{[]string{"1", "1", "1", "1"}, false},
		{[]string{"0.7", "0.6"}, false},
		{[]string{"0.5", "0.5", "0.5", "0.5", "0.5", "0.5", "0.5", "0.5"}, false},
		{[]string{"0.1", "0.1", "0.1", "0.1", "0.1", "0.1", "0.1", "0.1"}, false},
		{[]string{"0.5"}, false},
		{[]string{"1", "0.0002"}, false},
		{[]string{"0.9998"}, false},
		{[]string{"1e-300"}, false},
	} {
		body := bodyWithWeights(testCase.weights)
		if !testCase.valid {
			expectInvalidField(t, body, "buckets", "/one", validHeader(), body)
		} else if _, err := testDeployment().ParseSearch("/one", validHeader(), []byte(body)); err != nil {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// bodyWithWeights returns the body of a search with a part for each weight; the weights are JSON numbers.
func bodyWithWeights(weights []string) string {
	var buckets []string
	for shard, weight := range weights {
		buckets = append(buckets, fmt.Sprintf(`{"bucket":%d,"part":%s}`, shard, weight))
	}
	return `{"buckets":[` + strings.Join(buckets, ",") + `],"body":"x"}`
}
