package zoneloss

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"brackenfront/internal/standin"
	"brackenfront/random"
)

// classNames are the names of the two search classes; elsewhere a class is an index of this slice. "dear" is the class with the higher
// utility.
var classNames = []string{"dear", "cheap"}

// classUtility is what an answered search of each class is worth, by the index in classNames, as the brokers' settings state it. Only the
// ratio counts: a "dear" search is worth as much as four "cheap" ones.
var classUtility = []float64{4, 1}

const (
	// latencyTargetSeconds is the time, in seconds, within which a search has to be answered to succeed; the brokers' settings state it
	// as target.
	latencyTargetSeconds = 1
	// deadlineSeconds is the time, in seconds, after which a client no longer waits for the end of a search; the brokers' settings state
	// it as giveUp.
	deadlineSeconds = 3
	// pollSeconds is the time, in seconds, between two looks at whether a broker that starts late has started.
	pollSeconds = 0.05
	// burstSeconds is the length, in seconds, of the burst that Scenario.BurstFactor describes, from the end of the loss on.
	burstSeconds = 3
)

// startClients starts the goroutines that send searches, one for each broker, in the group r.clients. They end at the end of the scenario
// or when ctx ends.
func (r *run) startClients(ctx context.Context) {
	partsPerSecond := float64(len(r.workers)) * float64(WorkerStrength.Concurrency) / WorkerStrength.PartDuration.Seconds()
	searchesPerSecond := r.Load * partsPerSecond / float64(r.ShardsPerSearch)
	weights := []float64{1, 1, 1, 1}
	if r.UnevenLoad {
		weights = []float64{1, 2, 3, 4}
	}
	for brokerIndex := range brokerCount {
		r.clients.Go(func() { r.sendSearches(ctx, brokerIndex, searchesPerSecond, weights) })
	}
}

// sendSearches sends the broker with index brokerIndex its share of searchesPerSecond, the searches a second to all brokers; the
// shares are in proportion to weights, one for each broker. Searches are sent at random times that do not depend on answers. While the
// first broker has not started, with Scenario.LateBroker, the others get its share.
func (r *run) sendSearches(ctx context.Context, brokerIndex int, searchesPerSecond float64, weights []float64) {
	var rnd random.Source
	rnd.Seed(uint64(77 + brokerIndex))
	next := 0.0
	for searchNumber := 0; ; searchNumber++ {
		share := weights[brokerIndex] / (weights[0] + weights[1] + weights[2] + weights[3])
		rate := searchesPerSecond * share
		r.brokersMu.Lock()
		target := r.brokers[brokerIndex]
		r.brokersMu.Unlock()
		if r.Policy != RandomWorker && target == nil {
			if !sleep(ctx, pollSeconds) || r.now() > r.Length {
				return
			}
			next = r.now()
			continue
		}
		if r.LateBroker && r.Policy != RandomWorker {
			r.brokersMu.Lock()
			if r.brokers[0] == nil {
				rate = searchesPerSecond * weights[brokerIndex] / (weights[1] + weights[2] + weights[3])
			}
			r.brokersMu.Unlock()
		}
		if sinceReturn := r.now() - r.LossEnd; r.BurstFactor > 1 && sinceReturn > 0 && sinceReturn < burstSeconds {
			rate *= r.BurstFactor
		}
		next += -math.Log(1-rnd.Float64()) / rate
		if !sleep(ctx, next-r.now()) || next > r.Length {
			return
		}
		class := 0
		if rnd.Float64() < 0.5 {
			class = 1
		}
		var shards []int
		for first, offset := int(rnd.Float64()*groupCount), 0; offset < r.ShardsPerSearch; offset++ {
			shards = append(shards, (first+offset)%groupCount)
		}
		draws := [groupCount]float64{rnd.Float64(), rnd.Float64(), rnd.Float64(), rnd.Float64()}
		r.clients.Go(func() { r.sendSearch(ctx, target, brokerIndex, searchNumber, class, shards, draws) })
	}
}

// sendSearch sends the search numbered searchNumber to target, the broker with index brokerIndex, waits for its end and adds its outcome
// to r.outcomes, unless ctx has ended by then. class is an index in classNames, and shards are the shards that it asks for.
// draws are random numbers from 0 to 1, by which the policy RandomWorker, which uses no broker, chooses the worker for each shard.
func (r *run) sendSearch(ctx context.Context, target *broker, brokerIndex, searchNumber, class int, shards []int, draws [groupCount]float64) {
	sentAt := r.now()
	var end string
	if r.Policy == RandomWorker {
		end = askRandomWorkers(ctx, r.workers, shards, draws)
	} else {
		search := standin.Search{Class: classNames[class], ID: fmt.Sprintf("k%dn%d", brokerIndex, searchNumber), Dealer: "acme",
			Shards: shards, TimeLeft: deadlineSeconds * time.Second}
		answer, err := search.SendOverHTTP(ctx, r.client, target.addr)
		if end = answer.End; err != nil {
			end = "lost"
		}
	}
	if ctx.Err() != nil {
		return
	}
	answerSeconds := r.now() - sentAt
	// Searches that the paused broker could not answer in time are not counted as unanswered.
	paused := r.PausedBroker && brokerIndex == 1 && sentAt > r.LossStart-4.5 && sentAt < r.LossEnd+1
	r.outcomesMu.Lock()
	defer r.outcomesMu.Unlock()
	r.outcomes = append(r.outcomes, outcome{
		sentAt:        sentAt,
		answerSeconds: answerSeconds,
		class:         class,
		succeeded:     end == "answered" && answerSeconds <= latencyTargetSeconds,
		unanswered:    r.Policy != RandomWorker && !paused && (end == "lost" || end == "" || answerSeconds > deadlineSeconds),
		noWorker:      r.FirstZoneOnly && (slices.Contains(shards, 0) || slices.Contains(shards, 1)),
	})
}

// askRandomWorkers serves a search by the policy RandomWorker: the part for the i-th shard goes to a worker of its replica group in the
// zone that draws[i], from 0 to 1, selects, with no cap, no retry and no knowledge of the workers' health. It returns "answered" if all
// parts were answered within deadlineSeconds, otherwise "errored".
func askRandomWorkers(ctx context.Context, workers []*standin.QueueingNode, shards []int, draws [groupCount]float64) string {
	ctx, cancel := context.WithTimeout(ctx, deadlineSeconds*time.Second)
	defer cancel()
	errs := make(chan error, len(shards))
	for i, shard := range shards {
		worker := workers[int(draws[i]*float64(len(Zones)))*groupCount+shard]
		go func() { errs <- standin.SendPart(ctx, worker.Addr(), shard) }()
	}
	var failed error
	for range shards {
		failed = errors.Join(failed, <-errs)
	}
	if failed != nil {
		return "errored"
	}
	return "answered"
}
