package kit2

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// result is what a client saw of one search.
type result struct {
	id     string
	class  string
	sent   time.Time
	done   time.Time
	status int
	err    error
	body   []byte
}

func newID() string {
	var raw [8]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// clients sends searches over connections that it keeps.
type clients struct {
	http *http.Client
	addr string
}

func newClients(addr string) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000, MaxIdleConns: 1000, DisableCompression: true,
		DialContext: (&net.Dialer{KeepAlive: -1}).DialContext}
	return &clients{&http.Client{Transport: transport}, addr}
}

// search sends one search for the shards and waits for its answer, for the patience and half a second more.
func (c *clients) search(class string, shards []int, patience time.Duration) result {
	type part struct {
		Bucket int     `json:"bucket"`
		Part   float64 `json:"part"`
	}
	res := result{id: newID(), class: class, sent: time.Now()}
	var parts []part
	for _, shard := range shards {
		parts = append(parts, part{shard, 1 / float64(len(shards))})
	}
	body, _ := json.Marshal(map[string]any{"buckets": parts, "body": res.id})
	ctx, cancel := context.WithTimeout(context.Background(), patience+600*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+c.addr+"/"+class, bytes.NewReader(body))
	req.GetBody = nil
	req.Header.Set("X-Trace-Id", res.id)
	req.Header.Set("X-Qos", class)
	req.Header.Set("X-Customer", "acme")
	req.Header.Set("X-Expires-In", fmt.Sprintf("%dm", patience.Milliseconds()))
	answer, err := c.http.Do(req)
	if err == nil {
		res.status = answer.StatusCode
		res.body, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	res.err = err
	res.done = time.Now()
	return res
}

// load counts the searches of honest clients by their ends.
type load struct {
	perSecond                      int
	sent, answered, refused, other atomic.Int64
}

// run sends searches for one shard each, spread evenly over each second, until stop is closed. ended, if not nil, is called with
// each result.
func (l *load) run(c *clients, class string, shards int, patience time.Duration, stop chan struct{}, running *sync.WaitGroup, ended func(result)) {
	running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(l.perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			running.Go(func() {
				l.sent.Add(1)
				res := c.search(class, []int{i % shards}, patience)
				switch res.status {
				case 200:
					l.answered.Add(1)
				case 503, 429:
					l.refused.Add(1)
				default:
					l.other.Add(1)
				}
				if ended != nil {
					ended(res)
				}
			})
		}
	})
}
