// Command many measures what the program holds, and what a start costs, with lists of many nodes: resident memory, live heap,
// goroutines, descriptors, and the processor time until GET /healthz is answered with 200. All processes are on loopback; nodes
// and discovery are stand-ins in this process.
//
//	go build -buildvcs=false -o bin/ ./cmd/brackenfront && go run ./measure/many -program bin/brackenfront
//
// Terms of this command:
//   - Discovery is the service that sends the list of nodes to brokers; a watch is a request of the broker whose answer goes on with each
//     change of the list.
//   - An entry of the list is a JSON object about one node. An update changes some entries.
//   - The program is the measured broker, which runs as a child process; it is ready once GET /healthz is answered with 200.
//   - Counters are numbers that the program logs, in named groups, when it gets the signal SIGUSR1.
//   - The live heap is the memory that the last garbage collection found in use.
package main

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// waitTimeout is how long this command waits at most for a broker to be ready, to log its counters or to take an update.
	waitTimeout = 30 * time.Second
	// sharedAddresses is how many loopback addresses the nodes share. Nothing listens there: no search is sent while what the
	// program holds is measured.
	sharedAddresses = 64
	// settledRounds is the number of replacements of the whole node list after which the live heap is first taken for the comparison with
	// the end: garbage has been collected by then.
	settledRounds = 5
	// bytesPerMB is the number of bytes in one MB of the printed tables, 2 to the power of 20.
	bytesPerMB = 1 << 20
)

// main makes all measurements of the program that the flag -program names and prints them. It exits with 2 if the flag -rounds is too
// small, and with 1 if a measurement fails.
func main() {
	program := flag.String("program", "bin/brackenfront", "the program")
	starts := flag.Int("starts", 9, "starts of each kind; their median is printed")
	together := flag.Int("together", 32, "processes with lists of 1,024 nodes that are started at once")
	rounds := flag.Int("rounds", 20, "times that all nodes of a list of 1,024 are replaced by others")
	flag.Parse()
	if *rounds <= settledRounds {
		fmt.Fprintf(os.Stderr, "many: -rounds: got %d, expected more than %d\n", *rounds, settledRounds)
		os.Exit(2)
	}
	if err := measure(*program, *starts, *together, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, "many:", err)
		os.Exit(1)
	}
}

// measure makes all measurements of the program, the path of an executable, and prints them. starts is the number of
// starts of each kind, processes the number of processes that are started at once, and rounds the number of times that all nodes are
// replaced. It returns the first error of a measurement, after which it makes no others.
func measure(program string, starts, processes, rounds int) error {
	if err := measureStarts(program, starts); err != nil {
		return err
	}
	if err := measureTogether(program, processes); err != nil {
		return err
	}
	if err := measureIdle(program); err != nil {
		return err
	}
	return measureReplaced(program, rounds)
}

// measureStarts prints the medians of the time, CPU time and memory of a start of the program, by the number of nodes in its list and by
// the state of discovery. starts is the number of starts of each kind.
func measureStarts(program string, starts int) error {
	fmt.Printf("start until healthz is answered with 200: medians of %d\n", starts)
	fmt.Println("| nodes | discovery | ms | CPU ms | resident MB |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, nodes := range []int{2, 140, 1024, 5000} {
		for _, state := range []discoveryState{answering, refusing, silent} {
			var readyMillis, cpuMillis, resident []float64
			for range starts {
				start, err := startOnce(program, nodes, state)
				if err != nil {
					return err
				}
				readyMillis = append(readyMillis, start.readyMillis)
				cpuMillis = append(cpuMillis, start.cpuMillis)
				resident = append(resident, start.residentMB)
			}
			fmt.Printf("| %d | %s | %.0f | %.0f | %.1f |\n", nodes, state, median(readyMillis), median(cpuMillis), median(resident))
		}
	}
	return nil
}

// measureTogether starts a number of processes of the program at once and prints how long it takes until nine in ten of them are ready,
// how long until all are, and their CPU time together.
func measureTogether(program string, processes int) error {
	starts := make([]startCost, processes)
	errs := make([]error, processes)
	var running sync.WaitGroup
	for i := range starts {
		running.Go(func() { starts[i], errs[i] = startOnce(program, 1024, refusing) })
	}
	running.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	slices.SortFunc(starts, func(a, b startCost) int { return cmp.Compare(a.readyMillis, b.readyMillis) })
	cpuMillis := 0.0
	for _, start := range starts {
		cpuMillis += start.cpuMillis
	}
	fmt.Printf("%d processes started at once, 1,024 nodes, discovery down: nine in ten are ready after %.0f ms, all after %.0f ms; %.2f s of CPU\n",
		processes, starts[processes*9/10].readyMillis, starts[processes-1].readyMillis, cpuMillis/1e3)
	return nil
}

// startCost is the time, CPU time and memory that one start of the program takes until it is ready: until GET /healthz is answered with
// 200.
type startCost struct {
	// readyMillis is the time from the start of the process until it is ready, in milliseconds.
	readyMillis float64
	// cpuMillis is the processor time that the process used until it was ready, in milliseconds.
	cpuMillis float64
	// residentMB is the resident memory of the process when it is ready, in units of bytesPerMB.
	residentMB float64
}

// startOnce starts the program with a list of a number of nodes and discovery in the given state, waits until it is ready, kills it and
// returns what the start took.
func startOnce(program string, nodes int, state discoveryState) (cost startCost, err error) {
	d, err := newDiscovery(state)
	if err != nil {
		return cost, err
	}
	defer d.close()
	b, err := newBroker(program, d.addr, listEntries("n", nodes, "active"))
	if err != nil {
		return cost, err
	}
	defer b.remove()
	startedAt := time.Now()
	if err := b.start(); err != nil {
		return cost, err
	}
	if err := b.waitUntilReady(); err != nil {
		b.kill()
		return cost, err
	}
	cost.readyMillis = float64(time.Since(startedAt).Microseconds()) / 1e3
	cost.residentMB = b.residentMB()
	cost.cpuMillis = float64(b.kill().Microseconds()) / 1e3
	return cost, nil
}

// measureIdle prints the resources that the program holds when it has its list of nodes and serves no searches.
func measureIdle(program string) error {
	fmt.Println("at idle, a second after it was ready, its watch open")
	fmt.Println("| nodes | resident MB | heap MB | goroutines | descriptors |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, nodes := range []int{2, 140, 1024, 5000} {
		err := withBroker(program, nodes, func(b *broker, _ *discovery) error {
			// The pause lets the program release what only its start needed; no check depends on its length.
			time.Sleep(time.Second)
			usage, err := b.usage()
			fmt.Printf("| %d | %.1f | %.1f | %d | %d |\n", nodes, usage.residentMB, usage.heapMB, usage.goroutines, usage.descriptors)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureReplaced prints the resources that the program holds while all nodes of its list are replaced by others with new names, as
// often as rounds says. That shows how much memory it keeps for nodes that have left.
func measureReplaced(program string, rounds int) error {
	const nodes = 1024
	fmt.Printf("a list of %d nodes, all replaced by others of new names %d times\n", nodes, rounds)
	fmt.Println("| nodes that have left | resident MB | live heap MB | goroutines | descriptors |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	return withBroker(program, nodes, func(b *broker, d *discovery) error {
		var first, last resourceUsage
		for round := 0; ; round++ {
			usage, err := b.usage()
			if err != nil {
				return err
			}
			if round == settledRounds {
				first = usage
			}
			if last = usage; round%5 == 0 || round == rounds {
				fmt.Printf("| %d | %.1f | %.1f | %d | %d |\n", round*nodes, usage.residentMB, usage.liveMB, usage.goroutines, usage.descriptors)
			}
			if round == rounds {
				break
			}
			prefix := func(round int) string { return fmt.Sprintf("r%d-n", round) }
			oldPrefix := prefix(round)
			if round == 0 {
				oldPrefix = "n"
			}
			d.sendUpdate(slices.Concat(listEntries(oldPrefix, nodes, "left"), listEntries(prefix(round+1), nodes, "active")))
			// The list of the configuration is the first that the program takes.
			if err := b.waitForLists(round + 2); err != nil {
				return err
			}
		}
		fmt.Printf("a node that has left keeps %.0f bytes of live heap\n", (last.liveMB-first.liveMB)*bytesPerMB/float64((rounds-settledRounds)*nodes))
		return nil
	})
}

// withBroker starts the program with a list of a number of nodes, waits until it is ready and watches discovery, calls do, kills the
// program and returns the error of do. It returns an error without a call of do if the program is not ready in time.
func withBroker(program string, nodes int, do func(*broker, *discovery) error) error {
	d, err := newDiscovery(answering)
	if err != nil {
		return err
	}
	defer d.close()
	b, err := newBroker(program, d.addr, listEntries("n", nodes, "active"))
	if err != nil {
		return err
	}
	defer b.remove()
	if err := b.start(); err != nil {
		return err
	}
	defer b.kill()
	if err := b.waitUntilReady(); err != nil {
		return err
	}
	if err := d.waitForWatch(); err != nil {
		return err
	}
	return do(b, d)
}

// listEntries returns n entries of the node list of discovery, each a JSON object. The nodes' names are the prefix, a hyphen and a number;
// health is the value of the field of that name, "active" or "left". The nodes share some addresses, to which nothing is sent.
func listEntries(prefix string, n int, health string) []string {
	entries := make([]string, n)
	for i := range entries {
		addr := net.JoinHostPort(fmt.Sprintf("127.1.0.%d", 1+i%sharedAddresses), "9")
		entries[i] = fmt.Sprintf(`{"host":"%s-%06d","dial":"%s","site":"a","class":"m2","block":%d,"health":"%s","share":1.0,"born_ms":0}`,
			prefix, i, addr, i%groupCount, health)
	}
	return entries
}

// median returns the median of values, of which there must be at least one, and sorts them. If their number is even, it returns the upper of
// the two in the middle.
func median[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[len(values)/2]
}
