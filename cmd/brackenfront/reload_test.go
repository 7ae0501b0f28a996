package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// otherSettings is the JSON of settings that differ from testSettings: in their layout each of eight shards is held by two of four
// replica groups (shard s by the groups s and s+1, modulo 4), their classes differ and have another order, answers may be partial, and
// nodes are not probed.
const otherSettings = `{"instances":100,"tick":5,"myZone":"a","discovery":"pushed","worthBy":"request","overShareWorth":0.2,
 "lanes":[{"name":"report","effect":"read_like","target":2000,"giveUp":9000,"worth":2,"window":1000},
  {"name":"any","effect":"read_like","target":1500,"giveUp":8000,"worth":2,"lateWorth":0.3,"window":1000},
  {"name":"all","effect":"read_like","target":1200,"giveUp":8000,"worth":1,"lateWorth":0.3,"window":1000}],
 "tenants":[{"name":"zest","quotaPerS":1000},{"name":"acme","quotaPerS":1000}],
 "familyInfo":{"perCall":1,"places":4,"reach":2,"slices":8,"classNeed":[1,0.5,1],"minShare":[0.5,0.5,1],
  "incompleteWorth":[0.8,0,0],"fetchParts":[0,0,0]},
 "policyLimits":{"mostTries":4,"maxOpen":300,"streamsPerConn":8,"mayCancel":true,"mayProbe":false,"retryAfter":true,
  "maxRetryAfter":2000,"dialTimeout":250,"keepalive":15000},
 "rules":{"cold":1700,"coldFrom":0.18,"fall":1000,"fallMultiple":3}}`

// TestReload checks that SIGHUP moves the watch to the address that the configuration file names now, and that the new watch asks for the
// updates that follow the list in force; searches in flight go on, and a file that is wrong changes nothing.
func TestReload(t *testing.T) {
	broker := startServing(t)
	hold := broker.holdReplies()
	request := broker.newRequest("all", searchBody(0))
	inFlight := make(chan answer)
	go func() { inFlight <- broker.roundTrip(request) }()
	broker.waitUntil(t, "the part", func() bool { return len(broker.nodes[0].received)+len(broker.nodes[2].received) == 1 })
	broker.sendUpdate(42, "leaving", broker.nodes[0])
	broker.updates <- "end"
	if query := broker.nextWatch(); query != "follow=1&since=42" {
		t.Fatalf("the watch asks for %s", query)
	}
	old := broker.readConfig()
	broker.rewriteConfig(func(config string) string { return strings.Replace(config, `"seed"`, `"seen"`, 1) })
	broker.command.Process.Signal(syscall.SIGHUP)
	broker.waitForLog("level=error", "field seed", "the running one stays")
	next := broker.startDiscovery()
	broker.rewriteConfig(func(string) string {
		return strings.Replace(regexp.MustCompile(`"discovery":"[^"]+"`).ReplaceAllString(old, `"discovery":"`+next+`"`),
			`"tick":5`, `"tick":6`, 1)
	})
	broker.command.Process.Signal(syscall.SIGHUP)
	broker.waitForLog("configuration read again", "restart=\"[settings.tick]\"", next)
	if query := broker.nextWatch(); query != "follow=1&since=42" {
		t.Fatalf("the watch asks for %s", query)
	}
	broker.waitForLog("side=discovery", "code=moved")
	close(hold)
	if a := <-inFlight; a.Status != 200 {
		t.Fatalf("got %+v", a)
	}
	broker.expectCompleteAnswer("all", []int{0}, 0)
	broker.command.Process.Signal(syscall.SIGTERM)
	// A reload is also possible during the drain.
	broker.command.Process.Signal(syscall.SIGHUP)
	broker.waitForExit()
}

// settingsReloads makes a broker reload its configuration, back and forth between testSettings and otherSettings.
type settingsReloads struct {
	// brokerProcess is the broker that reloads.
	*brokerProcess
	// startConfig is the configuration that the broker has started with.
	startConfig string
	// seq is the sequence number of the list in the newest configuration that nextConfig made; each call of it adds 1.
	seq int
	// reloads counts the calls of reload, each of which puts other settings in force.
	reloads int
}

// nextConfig returns a configuration whose list has the next sequence number, with otherSettings if other is true, else with testSettings.
// With otherSettings, the list puts each node into a replica group of its own.
func (r *settingsReloads) nextConfig(other bool) string {
	config := r.startConfig
	if other {
		var hosts []string
		for i, n := range r.nodes {
			hosts = append(hosts, strings.Replace(n.entry("active"), fmt.Sprintf(`"block":%d`, n.group), fmt.Sprintf(`"block":%d`, i), 1))
		}
		config = config[:strings.Index(config, `"known"`)] + `"known":{"seq":41,"whole":true,"hosts":[` +
			strings.Join(hosts, ",") + `]},"settings":` + otherSettings + "}"
	}
	r.seq++
	return strings.NewReplacer(`"seq":41`, fmt.Sprintf(`"seq":%d`, r.seq), "BORN", "0").Replace(config)
}

// reload puts the result of nextConfig(other) in force, and waits until the broker watches discovery from the sequence number of its list.
func (r *settingsReloads) reload(other bool) {
	r.t.Helper()
	r.rewriteConfig(func(string) string { return r.nextConfig(other) })
	r.command.Process.Signal(syscall.SIGHUP)
	r.reloads++
	r.waitUntil(r.t, "the reload", func() bool {
		count := 0
		for _, line := range r.logLines {
			if strings.Contains(line, "switched=true") {
				count++
			}
		}
		return count == r.reloads
	})
	if query := r.nextWatch(); query != fmt.Sprintf("follow=1&since=%d", r.seq) {
		r.t.Fatalf("the watch asks for %s, the list in force is %d", query, r.seq)
	}
}

// reloadWithSearchesInFlight puts otherSettings in force while two searches are in flight: one of the class "all", and one of the class
// "two", which has a second step and does not exist in otherSettings. Both must get complete answers.
func (r *settingsReloads) reloadWithSearchesInFlight() {
	r.t.Helper()
	hold := r.holdReplies()
	inFlight := make(chan answer, 2)
	for _, class := range []string{"all", "two"} {
		request := r.newRequest(class, searchBody(0, 1))
		go func() { inFlight <- r.roundTrip(request) }()
	}
	// The broker sends the parts of the second search to nodes that have none of the first in flight: each of the four nodes gets one.
	r.waitUntil(r.t, "the parts of both searches", func() bool {
		count := 0
		for _, n := range r.nodes {
			count += len(n.received)
		}
		return count == 4
	})
	r.reload(true)
	close(hold)
	for range 2 {
		if a := <-inFlight; a.Status != 200 || !a.Finished {
			r.t.Fatalf("a search in flight across the reload got %+v", a)
		}
	}
}

// checkOtherSettings checks that the classes, the dealers and the layout of otherSettings are in force.
func (r *settingsReloads) checkOtherSettings() {
	r.t.Helper()
	r.expectCompleteAnswer("report", []int{0, 1, 2, 3, 4, 5, 6, 7}, 0, 1, 2, 3, 4, 5, 6, 7)
	if a := r.roundTrip(r.newRequest("two", searchBody(0))); a.Status != 400 {
		r.t.Fatalf("a class that the settings no longer have got %+v", a)
	}
	if a := r.roundTrip(r.newRequest("all", searchBody(7), "X-Customer", "zest")); a.Status != 200 {
		r.t.Fatalf("a new dealer got %+v", a)
	}
	r.Lock()
	defer r.Unlock()
	// Node i is alone in group i, which holds shard s if s or s+1 is i, modulo 4. Only the shards above 3 are checked, as the others were
	// also requested under testSettings.
	for i, n := range r.nodes {
		for _, a := range n.received {
			if a.shard > 3 && a.shard%4 != i && (a.shard+1)%4 != i {
				r.t.Errorf("node %d received shard %d", i, a.shard)
			}
		}
	}
}

// searchUntil sends one search of the class "any" after another, each of which must succeed, until stop is closed, and returns their number.
// client is a number that makes the ids differ from those of other clients. Each answer also goes to answered, until stop is closed.
func (broker *brokerProcess) searchUntil(stop, answered chan struct{}, client int) (count int) {
	for ; ; count++ {
		select {
		case <-stop:
			return count
		default:
		}
		request, _ := http.NewRequest("POST", "http://"+broker.addr+"/any", strings.NewReader(searchBody(0, 1, 2, 3)))
		request.Header.Set("X-Trace-Id", fmt.Sprintf("load-%d-%d", client, count))
		request.Header.Set("X-Expires-In", "8000m")
		res, err := http.DefaultClient.Do(request)
		if err != nil {
			broker.t.Error(err)
			continue
		}
		io.Copy(io.Discard, res.Body)
		if res.Body.Close(); res.StatusCode != 200 {
			broker.t.Errorf("under load: %s", res.Status)
		}
		select {
		case answered <- struct{}{}:
		case <-stop:
		}
	}
}

// reloadUnderLoad reloads back and forth while four clients send searches, and leaves testSettings in force. No part may have
// been sent twice by the end.
func (r *settingsReloads) reloadUnderLoad() {
	r.t.Helper()
	// searchesPerReload is how many searches are answered after each reload, at least.
	const searchesPerReload = 3
	stop := make(chan struct{})
	answered := make(chan struct{}, 1<<16)
	ended := make(chan int)
	for client := range 4 {
		go func() { ended <- r.searchUntil(stop, answered, client) }()
	}
	for i := range 7 {
		r.reload(i%2 == 1)
		for len(answered) > 0 {
			<-answered
		}
		for range searchesPerReload {
			<-answered
		}
	}
	close(stop)
	searches := 0
	for range 4 {
		searches += <-ended
	}
	if searches < 20 {
		r.t.Fatalf("%d searches under load", searches)
	}
	received, _ := r.receivedByNodes()
	seen := map[string]bool{}
	for _, a := range received {
		if seen[a.id] {
			r.t.Errorf("part %s was sent twice", a.id)
		}
		seen[a.id] = true
	}
}

// expectUnusable makes the broker reload a configuration that cannot be used, and waits until it logs an error that contains
// message.
func (r *settingsReloads) expectUnusable(config, message string) {
	r.t.Helper()
	r.rewriteConfig(func(string) string { return config })
	r.command.Process.Signal(syscall.SIGHUP)
	r.waitForLog("level=error", message, "the running one stays")
}

// reloadUnusable reloads configurations that cannot be used, none of which may change anything: settings are put in force
// whole or not at all.
func (r *settingsReloads) reloadUnusable() {
	r.t.Helper()
	// changed returns the next configuration with otherSettings, in which new replaces old.
	changed := func(old, new string) string { return strings.Replace(r.nextConfig(true), old, new, 1) }
	r.expectUnusable(changed(`"mostTries":4`, `"mostTries":0`), "tries must be at least 1")
	// This is a file of which only the first half was written.
	whole := r.nextConfig(true)
	r.expectUnusable(whole[:len(whole)/2], "unexpected end")
	r.expectUnusable(changed(`"minShare":[0.5,`, `"minShare":[2,`), "shares make no sense")
	r.expectUnusable(changed(`"effect":"read_like"`, `"effect":"often"`), "lanes[0].effect")
	r.expectUnusable(changed(`"giveUp":9000`, `"giveUp":"long"`), "of type float64")
	r.expectUnusable(changed(`"places":4`, `"places":1`), "do not make a layout")
	// These changes need a restart.
	r.rewriteConfig(func(string) string { return changed(`"listen":"127.0.0.1:0"`, `"listen":"127.0.0.1:1"`) })
	r.command.Process.Signal(syscall.SIGHUP)
	r.waitForLog("switched=false", "restart=\"[listen]\"")
	os.Remove(r.configPath)
	r.command.Process.Signal(syscall.SIGHUP)
	r.waitForLog("level=error", "no such file", "the running one stays")
	r.rewriteConfig(func(string) string { return changed(`"tick":5`, `"tick":6`) })
	r.command.Process.Signal(syscall.SIGHUP)
	r.waitForLog("switched=false", "restart=\"[settings.tick]\"")
}

// TestReloadOtherLayout checks reloads from testSettings to otherSettings and back, several times and while clients send searches. With
// otherSettings there are more replica groups and more shards, and each shard is held by two groups in place of one. A search in flight
// ends under the settings that it began under, no part is sent twice, and settings that cannot be used change nothing.
func TestReloadOtherLayout(t *testing.T) {
	broker := startServing(t)
	reloads := &settingsReloads{brokerProcess: broker, startConfig: broker.readConfig(), seq: 42}
	reloads.reloadWithSearchesInFlight()
	reloads.checkOtherSettings()
	reloads.reloadUnderLoad()
	broker.expectCompleteAnswer("two", []int{1}, 0, 1)
	reloads.reloadUnusable()
	broker.expectCompleteAnswer("two", []int{1}, 0, 1)
	broker.stop()
}

// TestReloadDuringReload checks a second change of the file, and a second SIGHUP, while the broker still reads the file of the first
// one. Both configurations are put in force, in their order.
func TestReloadDuringReload(t *testing.T) {
	broker := startServing(t)
	config := broker.readConfig()
	first := broker.startDiscovery()
	second := broker.startDiscovery()
	// with returns the configuration with another address of discovery and another number of shards.
	with := func(addr string, slices int) string {
		changed := regexp.MustCompile(`"discovery":"127[^"]+"`).ReplaceAllString(config, `"discovery":"`+addr+`"`)
		return strings.Replace(changed, `"slices":4`, fmt.Sprintf(`"slices":%d`, slices), 1)
	}
	os.Remove(broker.configPath)
	if err := syscall.Mkfifo(broker.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	broker.command.Process.Signal(syscall.SIGHUP)
	// Opening the pipe returns once the broker reads it.
	pipe, err := os.OpenFile(broker.configPath, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(broker.configPath)
	broker.rewriteConfig(func(string) string { return with(second, 8) })
	broker.command.Process.Signal(syscall.SIGHUP)
	io.WriteString(pipe, with(first, 6))
	pipe.Close()
	broker.waitForLog("configuration read again", first, "switched=true")
	broker.waitForLog("configuration read again", second, "switched=true")
	broker.waitUntil(t, "the reloads in their order", func() bool {
		// lineOf returns the index of the log line of the reload that names an address of discovery.
		lineOf := func(addr string) int {
			return slices.IndexFunc(broker.logLines, func(line string) bool {
				return strings.Contains(line, "configuration read again") && strings.Contains(line, addr)
			})
		}
		return lineOf(first) < lineOf(second)
	})
	broker.expectCompleteAnswer("all", []int{7}, 7)
	broker.stop()
}

// TestNoSignalIsDropped checks that SIGTERM is acted on though it comes while the broker reads its configuration, which takes
// long, and behind many other signals.
func TestNoSignalIsDropped(t *testing.T) {
	broker := startServing(t)
	config := broker.readConfig()
	os.Remove(broker.configPath)
	if err := syscall.Mkfifo(broker.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	broker.command.Process.Signal(syscall.SIGHUP)
	// Opening the pipe returns once the broker reads it.
	pipe, err := os.OpenFile(broker.configPath, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		broker.command.Process.Signal(syscall.SIGUSR1)
		broker.command.Process.Signal(syscall.SIGHUP)
	}
	broker.command.Process.Signal(syscall.SIGTERM)
	// The broker now reads the pipe to its end. If SIGHUP came once more, it reads the file again: before the pipe is closed,
	// an ordinary file takes its place, so that the second read ends, too.
	go func() {
		io.WriteString(pipe, config)
		os.Remove(broker.configPath)
		broker.rewriteConfig(func(string) string { return config })
		pipe.Close()
	}()
	broker.waitForLog("msg=draining")
	broker.waitForExit()
}

// TestReloadChangesEffect checks a SIGHUP that makes a class one that must not be repeated while a search of it is in flight. From
// then on, a part that may have run is not sent again, the search is not rejected, and a second delivery of it runs nothing.
func TestReloadChangesEffect(t *testing.T) {
	broker := startServing(t)
	broker.respondAll("reset")
	hold := broker.holdReplies()
	request := broker.newRequest("all", searchBody(0))
	id := request.Header.Get("X-Trace-Id")
	raw := broker.requestBytes(request)
	inFlight := broker.dialAndWrite(raw)
	broker.waitUntil(t, "its attempt", func() bool { return len(broker.attemptsOf(id)) == 1 })
	broker.rewriteConfig(func(config string) string {
		return strings.Replace(config, `"name":"all","effect":"read_like"`, `"name":"all","effect":"non_idempotent"`, 1)
	})
	broker.command.Process.Signal(syscall.SIGHUP)
	broker.waitForLog("switched=true")
	broker.respondAll("hit")
	close(hold)
	if got := broker.readStatuses(inFlight, 1)[0]; got != http.StatusInternalServerError {
		t.Errorf("the search in flight across the reload got status %d", got)
	}
	if got := broker.statusOf(raw); got != http.StatusConflict {
		t.Errorf("the second delivery got status %d", got)
	}
	if n := broker.attemptCount(id); n != 1 {
		t.Errorf("%d attempts, expected 1", n)
	}
	broker.stop()
}
