package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"

	"brackenfront/internal/rig"
)

// figure holds the measured values of one row of the printed table. CPU time and allocations are those of this process: broker or relay,
// nodes and clients together.
type figure struct {
	// path is the way of serving a search, one of paths.
	path string
	// rows is the number of rows of each answer, and concurrency the number of searches at once.
	rows, concurrency int
	// searchesPerSecond is the number of searches a second that ended, with a complete answer or not.
	searchesPerSecond float64
	// cpuMillis is the processor time of this process per search, in milliseconds.
	cpuMillis float64
	// allocations is the number of memory allocations of this process per search.
	allocations float64
	// megabytesPerSecond is the number of bytes of answers that clients received, in millions a second.
	megabytesPerSecond float64
	// allocatedPerByte is the number of bytes that this process allocated per byte of answers that clients received.
	allocatedPerByte float64
	// failed is the number of searches that were not answered completely, also of those sent in the warm-up.
	failed int64
}

// measure sends searches over path, one of paths, for the given duration, after a warm-up of a quarter of that, and returns the measured
// values. Each answer has the given number of rows, and concurrency searches are sent at once. held is the number of bytes that the
// broker still holds for answers at the end, which has to be 0.
func measure(path string, rows, concurrency int, duration time.Duration) (result figure, held int64, err error) {
	result = figure{path: path, rows: rows, concurrency: concurrency}
	speaks := rig.AllSpeakFlight
	if path == pathFrames {
		speaks = rig.AllSpeakFrames
	}
	brokerRig, err := rig.Start(speaks, rig.FlightLimits{MaxPartBytes: 8 << 20, AnswerMemoryBytes: 1 << 30, RowsPerPart: rows})
	if err != nil {
		return result, 0, err
	}
	defer func() { held = brokerRig.Close() }()
	// sendSearch sends one search and returns the size of its answer in bytes.
	sendSearch := func(ctx context.Context) (int, error) {
		frontend := "flight"
		if path == pathFrames {
			frontend = "http"
		}
		answer, err := brokerRig.Send(ctx, frontend, brokerRig.NewSearch("all", 0, 1, 2))
		if err != nil || !answer.Complete {
			return 0, fmt.Errorf("%v %v", answer, err)
		}
		bytes := 0
		for _, value := range answer.Values {
			bytes += len(value)
		}
		for _, table := range answer.Tables {
			for _, batch := range table.Batches {
				bytes += len(batch.Header) + len(batch.Body)
			}
		}
		return bytes, nil
	}
	if path == pathRelay {
		client, end, err := startRelay(brokerRig.Nodes)
		if err != nil {
			return result, 0, err
		}
		defer end()
		sendSearch = func(ctx context.Context) (bytes int, err error) {
			stream, err := client.DoGet(ctx, &flight.Ticket{})
			for err == nil {
				var data *flight.FlightData
				if data, err = stream.Recv(); err == nil {
					bytes += len(data.DataHeader) + len(data.DataBody)
				}
			}
			if err == io.EOF {
				err = nil
			}
			return bytes, err
		}
	}
	// run sends searches for the duration length, and returns their number and the size in bytes of their answers.
	run := func(length time.Duration) (searches, bytes int64) {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		var running sync.WaitGroup
		var done, received atomic.Int64
		end := time.Now().Add(length)
		for range concurrency {
			running.Go(func() {
				for time.Now().Before(end) {
					size, err := sendSearch(ctx)
					if err != nil {
						atomic.AddInt64(&result.failed, 1)
					}
					done.Add(1)
					received.Add(int64(size))
				}
			})
		}
		running.Wait()
		return done.Load(), received.Load()
	}
	run(duration / 4)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu, startedAt := cpuSeconds(), time.Now()
	searches, bytes := run(duration)
	seconds := time.Since(startedAt).Seconds()
	cpu = cpuSeconds() - cpu
	runtime.ReadMemStats(&after)
	result.searchesPerSecond = float64(searches) / seconds
	result.cpuMillis = 1e3 * cpu / float64(searches)
	result.allocations = float64(after.Mallocs-before.Mallocs) / float64(searches)
	result.megabytesPerSecond = float64(bytes) / seconds / 1e6
	result.allocatedPerByte = float64(after.TotalAlloc-before.TotalAlloc) / float64(max(bytes, 1))
	return result, 0, nil
}

// cpuSeconds returns the processor time that this process has used, in seconds.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
