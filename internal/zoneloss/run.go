package zoneloss

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"brackenfront/internal/standin"
)

// run is one run of a scenario, with its workers, brokers and clients.
type run struct {
	// Scenario is the scenario that is run.
	Scenario
	// workers are all workers, ordered by zone and then by replica group: the index is zone*groupCount + group.
	workers []*standin.QueueingNode
	// discovery serves the list of the workers to the brokers.
	discovery *discovery
	// discoveryAddr is the host:port where discovery is served.
	discoveryAddr string
	// brokersMu guards the first element of brokers, which is set during the run if Scenario.LateBroker is set.
	brokersMu sync.Mutex
	// brokers are the broker processes, brokerCount elements; nil for one that has not started yet, and all nil with the policy
	// RandomWorker.
	brokers []*broker
	// startedAt is when the scenario began: all times of the scenario count from it.
	startedAt time.Time
	// client is the HTTP client that sends all searches to the brokers.
	client *http.Client
	// clients is the group of the goroutines that send searches and wait for answers; Run waits for it.
	clients sync.WaitGroup
	// outcomesMu guards outcomes.
	outcomesMu sync.Mutex
	// outcomes are the outcomes of the searches that have ended.
	outcomes []outcome
}

// outcome is how one search ended, as its client saw it: when, how fast and whether with success.
type outcome struct {
	// sentAt is when the search was sent, in seconds from the start of the scenario.
	sentAt float64
	// answerSeconds is the time from sending the search until its answer or failure, in seconds.
	answerSeconds float64
	// class is the index of the search's class in classNames.
	class int
	// succeeded says that the search was answered within its latency target of one second.
	succeeded bool
	// unanswered says that the search had no final answer before its deadline, three seconds after it was sent. It is never set with the
	// policy RandomWorker, nor for searches to a paused broker.
	unanswered bool
	// noWorker says that Scenario.FirstZoneOnly is set and the search asks for a shard whose only worker is in the first zone, so that it
	// has none while that zone is lost.
	noWorker bool
}

// Run runs the scenario and returns its result; Result.Violations says what the program did wrong. It returns an error if a worker or broker
// cannot be started, or if a worker cannot listen again after its fault.
func (s Scenario) Run(ctx context.Context) (res *Result, err error) {
	dir, err := os.MkdirTemp(s.Dir, "day")
	if err != nil {
		return nil, err
	}
	s.Dir = dir
	defer os.RemoveAll(dir)
	r := &run{Scenario: s}
	host := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, 1+r.Number)
	defer func() {
		for _, w := range r.workers {
			w.Close()
		}
	}()
	if err := r.startWorkers(host); err != nil {
		return nil, err
	}
	server, err := r.serveDiscovery()
	if err != nil {
		return nil, err
	}
	defer server.Close()

	r.brokers = make([]*broker, brokerCount)
	defer r.killBrokers()
	if err := r.startBrokers(); err != nil {
		return nil, err
	}
	r.startedAt = time.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	// failed receives the first error of the goroutines that inject faults.
	failed := make(chan error, 1)
	fail := func(err error) {
		if err != nil {
			select {
			case failed <- err:
			default:
			}
		}
	}
	var faults sync.WaitGroup
	r.startFaults(ctx, &faults, fail)

	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer r.client.CloseIdleConnections()
	r.startClients(ctx)
	r.clients.Wait()
	stop()
	faults.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	return r.assess(), nil
}

// startWorkers starts the workers at the loopback address host, and makes the discovery service that lists them; it does not serve yet.
func (r *run) startWorkers(host string) error {
	for i := range groupCount * len(Zones) {
		w, err := standin.NewQueueingNode(host, fmt.Sprintf("w%d", i), Zones[i/groupCount], i%groupCount, WorkerStrength)
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	r.discovery = newDiscovery(r.workers)
	for i, w := range r.workers {
		if r.FirstZoneOnly && i >= groupCount && i%groupCount < 2 {
			r.discovery.health[w] = "left"
		}
	}
	return nil
}

// serveDiscovery serves discovery at a free loopback port and sets discoveryAddr. The caller has to close the server.
func (r *run) serveDiscovery() (*http.Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: r.discovery}
	go server.Serve(ln)
	r.discoveryAddr = ln.Addr().String()
	return server, nil
}

// startFaults starts the goroutines that inject the scenario's faults, in the group faults. They call fail with their errors, which may be
// nil.
func (r *run) startFaults(ctx context.Context, faults *sync.WaitGroup, fail func(error)) {
	faults.Go(func() { fail(r.injectWorkerFaults(ctx)) })
	if r.LateBroker && r.Policy != RandomWorker {
		faults.Go(func() { r.startLateBroker(ctx, fail) })
	}
	if r.PausedBroker && r.Policy != RandomWorker {
		faults.Go(func() { r.pauseBroker(ctx) })
	}
}

// startBrokers starts the brokers one after the other, except the first one if it starts late; none with the policy RandomWorker.
func (r *run) startBrokers() (err error) {
	if r.Policy == RandomWorker {
		return nil
	}
	for i := range r.brokers {
		if r.LateBroker && i == 0 {
			continue
		}
		if r.brokers[i], err = r.startBroker(i, r.discovery.fullList(), r.discoveryAddr); err != nil {
			return err
		}
	}
	return nil
}

// now returns the time since the start of the scenario, in seconds.
func (r *run) now() float64 { return time.Since(r.startedAt).Seconds() }

// killBrokers kills the brokers that run and waits until they have ended.
func (r *run) killBrokers() {
	for _, b := range r.brokers {
		if b != nil {
			b.cmd.Process.Kill()
			<-b.done
		}
	}
}

// startLateBroker starts the first broker three seconds after the start of the loss. It calls fail with the error of the start, which
// may be nil.
func (r *run) startLateBroker(ctx context.Context, fail func(error)) {
	if sleep(ctx, r.LossStart+3-r.now()) {
		b, err := r.startBroker(0, r.discovery.fullList(), r.discoveryAddr)
		fail(err)
		r.brokersMu.Lock()
		r.brokers[0] = b
		r.brokersMu.Unlock()
	}
}

// pauseBroker stops the second broker's process with SIGSTOP from one second before the start of the loss until half a second after the
// end of the loss.
func (r *run) pauseBroker(ctx context.Context) {
	if sleep(ctx, r.LossStart-1-r.now()) {
		r.brokers[1].cmd.Process.Signal(syscall.SIGSTOP)
		sleep(ctx, r.LossEnd+0.5-r.now())
		r.brokers[1].cmd.Process.Signal(syscall.SIGCONT)
	}
}

// injectWorkerFaults puts the affected workers into the condition Scenario.Fault at the start of the loss, and makes them healthy again at
// its end, or in turns of Scenario.FlapSeconds during it. If Scenario.Announced is true, the node list of discovery says of a worker that it
// has left while the fault lasts, and active after that. If Scenario.StaleList is true, only the list changes, for the whole loss, and the
// workers stay healthy. It returns nil once all that is over, or when ctx ends. The error is that of a worker that cannot listen again.
func (r *run) injectWorkerFaults(ctx context.Context) error {
	var affected []*standin.QueueingNode
	for i, w := range r.workers {
		if slices.Contains(r.LostZones, i/groupCount) && !(r.HalfOfZone && i%2 == 1) || r.HalfOfEveryZone && i%groupCount < 2 {
			affected = append(affected, w)
		}
	}
	setFault := func(fault standin.Condition) error {
		for _, worker := range affected {
			if fault == standin.ConditionHealthy && r.ReturnInterval > 0 && !sleep(ctx, r.ReturnInterval) {
				return nil
			}
			if err := worker.SetCondition(fault); err != nil {
				return err
			}
			if r.Announced {
				r.discovery.announce(worker, fault == standin.ConditionHealthy)
			}
		}
		return nil
	}
	if !sleep(ctx, r.LossStart-r.now()) {
		return nil
	}
	if r.StaleList {
		for _, w := range affected {
			r.discovery.announce(w, false)
		}
		if sleep(ctx, r.LossEnd-r.now()) {
			for _, w := range affected {
				r.discovery.announce(w, true)
			}
		}
		return nil
	}
	for {
		if err := setFault(r.Fault); err != nil {
			return err
		}
		until := r.LossEnd
		if r.FlapSeconds > 0 {
			until = min(r.now()+r.FlapSeconds, r.LossEnd)
		}
		if !sleep(ctx, until-r.now()) {
			return nil
		}
		if err := setFault(standin.ConditionHealthy); err != nil {
			return err
		}
		if r.now() >= r.LossEnd || r.FlapSeconds == 0 {
			return nil
		}
		if !sleep(ctx, r.FlapSeconds) || r.now() >= r.LossEnd {
			return nil
		}
	}
}

// sleep waits for a number of seconds, or not at all if it is not above 0. It returns false if ctx ends before.
func sleep(ctx context.Context, seconds float64) bool {
	if seconds <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
