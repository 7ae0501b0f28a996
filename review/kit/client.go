package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Search is a search as a client sends it.
type Search struct {
	ID, Class, Customer, Text string
	Shards                    []int
	Weights                   []float64
	// Wait is how long the client waits for the answer.
	Wait time.Duration
}

// Body returns the body of the search's request.
func (s Search) Body() string {
	parts := make([]string, len(s.Shards))
	for i, shard := range s.Shards {
		parts[i] = fmt.Sprintf(`{"bucket":%d,"part":%v}`, shard, s.Weights[i])
	}
	text, _ := json.Marshal(s.Text)
	return fmt.Sprintf(`{"buckets":[%s],"body":%s}`, strings.Join(parts, ","), text)
}

// Answer is what a client got.
type Answer struct {
	// Status is the HTTP status; 0 if none came, and Err says why.
	Status int
	Err    error
	// Took is the time from the request to the answer's last byte.
	Took     time.Duration
	Raw      string
	Finished bool
	Found    []struct {
		Bucket int
		Item   string
	}
}

// Send sends the search to the broker at addr and waits for the answer, for some seconds more than the client waits, so that a
// late answer is seen as late.
func (s Search) Send(client *http.Client, addr string) (answer Answer) {
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+s.Class, strings.NewReader(s.Body()))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set("X-Trace-Id", s.ID)
	request.Header.Set("X-Qos", s.Class)
	request.Header.Set("X-Customer", s.Customer)
	request.Header.Set("X-Expires-In", fmt.Sprintf("%dm", s.Wait.Milliseconds()))
	begun := time.Now()
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		var raw []byte
		raw, err = io.ReadAll(response.Body)
		answer.Status, answer.Raw = response.StatusCode, string(raw)
	}
	answer.Took, answer.Err = time.Since(begun), err
	if err == nil && answer.Status == http.StatusOK {
		answer.Err = json.Unmarshal([]byte(answer.Raw), &answer)
	}
	return answer
}
