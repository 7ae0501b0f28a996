package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"brackenfront/internal/protocol"
)

// TestTooLargeBodyIsAnsweredAtOnce checks that a client whose body is too large gets its response while the rest of the body is still
// to come, not only once the time limit on reading has passed, and that the connection ends with it.
func TestTooLargeBodyIsAnsweredAtOnce(t *testing.T) {
	// The time limit on reading is the longest deadline: far longer than the test waits.
	broker := startServing(t, `"giveUp":8000`, `"giveUp":90000`)
	start := strings.Repeat(" ", protocol.MaxBodyBytes+1)
	for name, framed := range map[string]string{
		"a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(start), start),
		"chunked":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", 2*len(start), start),
	} {
		conn, err := net.Dial("tcp", broker.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(waitTimeout))
		io.WriteString(conn, "POST /all HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Expires-In: 1000m\r\n"+framed)
		responses := bufio.NewReader(conn)
		res, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Errorf("%s: no response: %v", name, err)
			continue
		}
		if _, err := io.Copy(io.Discard, responses); err != nil {
			t.Errorf("%s: the connection does not end: %v", name, err)
		}
		if res.StatusCode != http.StatusRequestEntityTooLarge || !res.Close {
			t.Errorf("%s: got status %d, last response %t", name, res.StatusCode, res.Close)
		}
	}
}

// TestBadInput checks the status code, and the field that the error names, for requests with missing or malformed fields. None
// of them reaches a node, and their connections stay open.
func TestBadInput(t *testing.T) {
	broker := startServing(t)
	// body returns a request's body with the given elements of the member buckets, and with rest behind that member.
	body := func(buckets, rest string) string { return `{"buckets":[` + buckets + `]` + rest + `}` }
	one := `{"bucket":0,"part":1}`
	for _, c := range []struct {
		// status is the status code of the response.
		status int
		// message is how the error begins.
		message string
		// request is the malformed request.
		request *http.Request
	}{
		{400, "path: expected", broker.newRequest("none", searchBody(0), "X-Qos", "")},
		{400, "X-Qos: expected", broker.newRequest("all", searchBody(0), "X-Qos", "any")},
		{400, "X-Customer: expected", broker.newRequest("all", searchBody(0), "X-Customer", "nobody")},
		{400, "X-Trace-Id: expected", broker.newRequest("all", searchBody(0), "X-Trace-Id", "")},
		{400, "X-Trace-Id: expected", broker.newRequest("all", searchBody(0), "X-Trace-Id", "a b")},
		{400, "X-Expires-In: expected", broker.newRequest("all", searchBody(0), "X-Expires-In", "")},
		{400, "X-Expires-In: expected", broker.newRequest("all", searchBody(0), "X-Expires-In", "40")},
		{400, "X-Expires-In: expected", broker.newRequest("all", searchBody(0), "X-Expires-In", "-5m")},
		{400, "X-Expires-In: expected", broker.newRequest("all", searchBody(0), "X-Expires-In", "NaNm")},
		{400, "body: expected", broker.newRequest("all", "{")},
		{400, "body: expected", broker.newRequest("all", "")},
		{400, "buckets: expected", broker.newRequest("all", body("", `,"body":"x"`))},
		{400, "body.body: expected", broker.newRequest("all", body(one, ""))},
		{400, "body.body: expected", broker.newRequest("all", body(one, `,"body":7`))},
		{400, "body.body: expected", broker.newRequest("all", body(one, `,"body":"\ud800"`))},
		{400, "buckets[0].bucket: expected", broker.newRequest("all", body(`{"part":1}`, `,"body":"x"`))},
		{400, "buckets[0].bucket: expected a shard from 0 to 3", broker.newRequest("all", searchBody(4))},
		{400, "buckets[1].bucket: expected", broker.newRequest("all", searchBody(2, 2))},
		{400, "buckets[0].part: expected", broker.newRequest("all", body(`{"bucket":0,"part":1.5}`, `,"body":"x"`))},
		{400, "buckets[0].part: expected", broker.newRequest("all", body(`{"bucket":0}`, `,"body":"x"`))},
		{400, "buckets: expected weights that add up to 1", broker.newRequest("all", body(one+`,{"bucket":1,"part":1}`, `,"body":"x"`))},
		{400, "buckets: expected weights that add up to 1", broker.newRequest("any", body(`{"bucket":0,"part":0.8}`, `,"body":"x"`))},
		{413, "body: expected 65536", broker.newRequest("all", strings.Repeat(" ", 70_000))},
	} {
		if a := broker.roundTrip(c.request); a.Status != c.status || !strings.HasPrefix(a.Error, c.message) {
			t.Errorf("expected %d %s, got %+v", c.status, c.message, a)
		}
	}
	if res, err := broker.client.Get("http://" + broker.addr + "/all"); err != nil || res.StatusCode != 405 {
		t.Errorf("%v %v", res, err)
	}
	if received, _ := broker.receivedByNodes(); len(received) > 0 {
		t.Errorf("the nodes received %v", received)
	}
	broker.expectCompleteAnswer("all", []int{0}, 0)
	broker.stop()
	if c := broker.counters("clients"); c["accepted"] > 3 {
		t.Errorf("bad requests cost connections: %v", c)
	}
	if s := broker.counters("searches"); s["bad"] != 24 || s["taken"] != 1 {
		t.Errorf("counters %v", s)
	}
}

// TestBadConfiguration checks that a broker with a configuration that cannot be used ends with exit code 1, and names the field
// in its log.
func TestBadConfiguration(t *testing.T) {
	for field, change := range map[string][]string{
		"seed":                               {"8c1f30d27a5be964", "xyz"},
		"limits":                             {`"cores":1.0`, `"cores":0`},
		"known":                              {`"known":`, `"unknown":`},
		"settings: tick":                     {`"tick":5`, `"tick":0`},
		"settings: policyLimits.dialTimeout": {`"dialTimeout":300`, `"x":1`},
		"settings: lanes[0].effect":          {"read_like", "odd"},
		"settings: cells, reach and shards":  {`"places":2`, `"places":0`},
		"discovery":                          {`"discovery":"127`, `"x":"127`},
	} {
		broker := startProcess(t, change...)
		broker.waitForLog("level=error", "field "+field)
		<-broker.exitDone
		if broker.command.ProcessState.ExitCode() != 1 {
			t.Errorf("%s: ended with exit code %d", field, broker.command.ProcessState.ExitCode())
		}
	}
}

// ambiguousRequest is a request of the class "once" with one thing changed. Its bytes are written exactly as its fields
// state them; no HTTP library edits them. The zero value is a well-formed request.
type ambiguousRequest struct {
	// target is the target in the request line; empty for /once.
	target string
	// fields holds header lines in addition to those of every request, as they are written to the connection.
	fields string
	// body is the body of the request; empty for a body of one well-formed part.
	body string
}

// encode returns the bytes of the request with an id.
func (r ambiguousRequest) encode(id string) string {
	if r.target == "" {
		r.target = "/once"
	}
	if r.body == "" {
		r.body = `{"buckets":[{"bucket":0,"part":1}],"body":"query"}`
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Customer: acme\r\nX-Expires-In: 8000m\r\n%sContent-Length: %d\r\n\r\n%s",
		r.target, id, r.fields, len(r.body), r.body)
}

// exchange sends the bytes of a request on a new connection, and returns the status code and the body of the response.
func (broker *brokerProcess) exchange(request string) (status int, body string) {
	broker.t.Helper()
	conn, err := net.Dial("tcp", broker.addr)
	if err != nil {
		broker.t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		broker.t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		broker.t.Fatalf("no response to %q: %v", request, err)
	}
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		broker.t.Fatal(err)
	}
	return res.StatusCode, string(raw)
}

// TestAmbiguousRequests checks that a request which two readers could understand differently is rejected with status 400, that
// the error names the field, and that nothing reaches a node; the same request without the ambiguity is served. Clients repeat
// a search of this class only after a rejection, so that a broker which ran a search other than the one sent would cause
// both to run.
func TestAmbiguousRequests(t *testing.T) {
	broker := startServing(t)
	lastID := 0
	nextID := func() string {
		lastID++
		return fmt.Sprintf("ambiguous-%d", lastID)
	}
	for _, c := range []struct {
		// field is the field that the error names.
		field string
		// request is the ambiguous request.
		request ambiguousRequest
	}{
		{"X-Trace-Id", ambiguousRequest{fields: "x-trace-id: other\r\n"}},
		{"X-Qos", ambiguousRequest{fields: "X-Qos: once\r\nX-QOS: all\r\n"}},
		{"X-Qos", ambiguousRequest{fields: "X-Qos:\r\nX-Qos: all\r\n"}},
		{"X-Qos", ambiguousRequest{fields: "X-Qos: all\r\nConnection: X-Qos\r\n"}},
		{"X-Customer", ambiguousRequest{fields: "X-Customer: nobody\r\n"}},
		{"X-Customer", ambiguousRequest{fields: "X-Customer: nobody\r\nConnection: keep-alive, x-customer\r\n"}},
		{"X-Expires-In", ambiguousRequest{fields: "X-Expires-In: 5m\r\n"}},
		{"X-Object", ambiguousRequest{fields: "X-Object: a\r\nX-Object: b\r\n"}},
		{"path", ambiguousRequest{target: "/once/../all"}},
		{"path", ambiguousRequest{target: "//once"}},
		{"path", ambiguousRequest{target: "/%6fnce"}},
		{"path", ambiguousRequest{target: "/once%2Fx"}},
		{"path", ambiguousRequest{target: "/./once"}},
		{"path", ambiguousRequest{target: "/once/x%2f..%2f..%2fall"}},
		{"path", ambiguousRequest{target: "http://origin.svc//once"}},
		{"path", ambiguousRequest{target: "http://origin.svc/once/../all"}},
		{"path", ambiguousRequest{target: "http:once"}},
		{"buckets", ambiguousRequest{body: `{"buckets":[{"bucket":1,"part":1}],"buckets":[{"bucket":0}],"body":"query"}`}},
		{"BUCKETS", ambiguousRequest{body: `{"BUCKETS":[{"bucket":1,"part":1}],"body":"query"}`}},
		{"buckets[0].part", ambiguousRequest{body: `{"buckets":[{"bucket":1,"part":1,"part":0.5}],"body":"query"}`}},
		{"body.body", ambiguousRequest{body: `{"buckets":[{"bucket":1,"part":1}],"body":"query","body":"other"}`}},
		{"body", ambiguousRequest{body: `{"buckets":[{"bucket":1,"part":1}],"body":"query"} {}`}},
	} {
		request := c.request.encode(nextID())
		status, body := broker.exchange(request)
		if status != http.StatusBadRequest || !strings.HasPrefix(body, `{"error":"`+c.field+`: expected `) {
			t.Errorf("%q: %d %s", request, status, body)
		}
	}
	if received, _ := broker.receivedByNodes(); len(received) > 0 {
		t.Errorf("the nodes received %v", received)
	}
	for _, r := range []ambiguousRequest{{}, {fields: "X-Qos: once\r\nX-Qos: once\r\n"}, {fields: "Connection: X-Object\r\n"},
		{target: "/once/further?seed=/../all"}, {target: "http://elsewhere.svc/once"},
		{body: `{"buckets":[{"bucket":0,"part":1,"effort":9000,"seed":"00ff"}],"body":"query","further":{"body":1}}`}} {
		request := r.encode(nextID())
		if status, body := broker.exchange(request); status != http.StatusOK {
			t.Errorf("%q: %d %s", request, status, body)
		}
	}
	broker.stop()
}
