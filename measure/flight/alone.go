package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"

	"brackenfront/internal/rig"
	"brackenfront/internal/standin"
)

// startProfile begins a CPU profile of this process. The function stop ends it and closes the file that it was written to.
func startProfile(file string) (stop func(), err error) {
	output, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(output); err != nil {
		output.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		output.Close()
	}, nil
}

// writeProfiles writes a CPU profile of the broker or relay for each of paths to a folder, with answers of one row and 16 searches at
// once.
func writeProfiles(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, path := range paths {
		file := filepath.Join(dir, strings.NewReplacer("+", "-", " ", "-").Replace(path)+".pprof")
		millis, err := measureAlone("", path, 1, 16, 5*time.Second, file)
		if err != nil {
			return err
		}
		fmt.Printf("%-14s %.3f ms of CPU a search, profile in %s\n", path, millis, file)
	}
	return nil
}

// measureAlone measures the processor time for one search, in milliseconds, of a process by itself: of the broker, or of a bare relay,
// as path, one of paths, says. The relay is this executable; the broker is the executable program, or this one if profile, the file for a
// CPU profile, is not empty. measureAlone sends searches for the given duration, after a warm-up of a quarter of that. Each part of an
// answer has the given number of rows, and concurrency searches are sent at once. It also returns an error if any search was not answered
// completely.
func measureAlone(program, path string, rows, concurrency int, duration time.Duration, profile string) (millis float64, err error) {
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	var args []string
	if profile != "" {
		program = self
		args = []string{"--serve", profile}
	}
	standIns := standin.NewScript()
	var entries, addrs []string
	for i := range 6 {
		node, err := standIns.NewNode(fmt.Sprint("l", i), i%3, path != pathFrames)
		if err != nil {
			return 0, err
		}
		defer node.Close()
		node.RowsPerPart = rows
		entries = append(entries, node.DiscoveryEntry())
		addrs = append(addrs, node.Addr())
	}
	var child *process
	// sendSearch sends one search and waits for its answer.
	var sendSearch func(ctx context.Context, id string) error
	if path == pathRelay {
		if child, err = startProcess(exec.Command(self, append(args, "--relay", strings.Join(addrs[:3], ","))...)); err != nil {
			return 0, err
		}
		defer child.end()
		addr, err := child.listenAddr("relay")
		if err != nil {
			return 0, err
		}
		client, closeClient, err := standin.NewFlightClient(addr)
		if err != nil {
			return 0, err
		}
		defer closeClient()
		sendSearch = func(ctx context.Context, id string) error {
			stream, err := client.DoGet(ctx, &flight.Ticket{})
			for err == nil {
				_, err = stream.Recv()
			}
			if err == io.EOF {
				return nil
			}
			return err
		}
	} else {
		config := filepath.Join(os.TempDir(), fmt.Sprintf("measure-%d.json", os.Getpid()))
		defer os.Remove(config)
		text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
			"limits":{"cores":8,"memory_mb":4096,"sockets":4096},"known":{"seq":1,"whole":true,"hosts":[%s]},"settings":%s}`,
			strings.Join(entries, ","), strings.ReplaceAll(rig.SettingsJSON, "CANCEL", "true"))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return 0, err
		}
		if profile != "" {
			args = append(args, "--")
		}
		cmd := exec.Command(program, append(args, "--set", "flight.listen=127.0.0.1:0", "--set", "flight.leaves=true",
			"--set", "flight.held_mb=1024", "--set", "flight.streams=512", "--set", "log.level=info")...)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
		if child, err = startProcess(cmd); err != nil {
			return 0, err
		}
		defer child.end()
		flightAddr, err := child.listenAddr("serving Flight")
		if err != nil {
			return 0, err
		}
		httpAddr, err := child.listenAddr("msg=serving ")
		if err != nil {
			return 0, err
		}
		client, closeClient, err := standin.NewFlightClient(flightAddr)
		if err != nil {
			return 0, err
		}
		defer closeClient()
		httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
		defer httpClient.CloseIdleConnections()
		sendSearch = func(ctx context.Context, id string) error {
			search := standin.Search{Class: "all", ID: id, Dealer: "acme", Shards: []int{0, 1, 2}, TimeLeft: 15 * time.Second}
			var answer standin.Outcome
			var err error
			if path == pathFrames {
				answer, err = search.SendOverHTTP(ctx, httpClient, httpAddr)
			} else {
				answer, err = search.SendOverFlight(ctx, client)
			}
			if err == nil && !answer.Complete {
				err = fmt.Errorf("%v", answer)
			}
			return err
		}
	}
	// This goroutine keeps reading the process's standard error, so that the process does not block on writes to it.
	go func() {
		for child.lines.Scan() {
		}
	}()
	var sent, failed atomic.Int64
	// run sends searches for the duration length.
	run := func(length time.Duration) {
		var running sync.WaitGroup
		end := time.Now().Add(length)
		for range concurrency {
			running.Go(func() {
				for time.Now().Before(end) {
					if err := sendSearch(context.Background(), fmt.Sprint("m", sent.Add(1))); err != nil {
						failed.Add(1)
					}
				}
			})
		}
		running.Wait()
	}
	run(duration / 4)
	sentBefore, cpuBefore := sent.Load(), child.cpuSeconds()
	run(duration)
	millis = 1e3 * (child.cpuSeconds() - cpuBefore) / float64(sent.Load()-sentBefore)
	if failed.Load() > 0 {
		err = fmt.Errorf("%s: %d of %d searches were not answered completely", path, failed.Load(), sent.Load())
	}
	return millis, err
}
