// Command flight measures searches over Flight, beside HTTP with frames and beside a bare relay of the same streams. The
// stand-in nodes and clients are in this process. measure/flight.sh runs it. It prints a table and exits with 0 only where every
// rule holds.
//
// Terms of this command:
//   - Flight is the protocol Arrow Flight, over gRPC; frames are the program's own binary protocol between broker and node.
//   - A path is a way of serving a search: over Flight, over HTTP and frames, or through a bare relay.
//   - A bare relay is a Flight server that passes on the streams of nodes and does nothing else, for comparison with the broker.
//   - A stream is the answer of a Flight call; a ticket is the argument of such a call, and DoGet the call that reads a stream.
//   - A row of an answer is one record of the table that a node sends; a row of the printed table is one measurement.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"brackenfront/internal/program"
	"brackenfront/internal/program/withflight"
)

// The ways of serving a search that are compared, as the table names them.
const (
	// pathFrames is the broker with HTTP for clients and frames for nodes.
	pathFrames = "http+frames"
	// pathFlight is the broker with Flight for clients and for nodes.
	pathFlight = "flight+flight"
	// pathRelay is a relay that passes on Flight streams and does nothing else.
	pathRelay = "bare relay"
)

// paths are all ways of serving a search, in the order in which the printed table shows them.
var paths = []string{pathFrames, pathFlight, pathRelay}

// main prints the table of measurements over Flight, frames and a bare relay, and exits with 1 if a rule is broken. With the flag
// -relay it serves as a relay instead, with -serve it serves while it writes a CPU profile, and with -profile it only writes CPU
// profiles.
func main() {
	quick := flag.Bool("quick", false, "a fifth of the time for each figure")
	binary := flag.String("program", "bin/brackenflight", "the broker whose CPU is measured by itself")
	relayTo := flag.String("relay", "", "serve as a bare relay before the nodes at these addresses")
	profile := flag.String("profile", "", "write CPU profiles of the broker and of the relay at one row, 16 at once, to this folder, and measure nothing else")
	serve := flag.String("serve", "", "be the broker, or with --relay the relay, and write a CPU profile to this file")
	flag.Parse()
	if *serve != "" {
		os.Exit(serveProfiled(*serve, *relayTo))
	}
	if *profile != "" {
		if err := writeProfiles(*profile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if *relayTo != "" {
		fmt.Fprintln(os.Stderr, serveRelay(strings.Split(*relayTo, ",")))
		os.Exit(1)
	}
	each := 3 * time.Second
	if *quick {
		each /= 5
	}
	broken := false
	must := func(what string, ok bool) {
		if !ok {
			broken = true
			fmt.Println("BROKEN:", what)
		}
	}
	figures := measureTable(each, must)
	fmt.Println()
	for _, concurrency := range []int{1, 16} {
		ratio := figures[fmt.Sprint(pathFlight, 100000, concurrency)].megabytesPerSecond / figures[fmt.Sprint(pathRelay, 100000, concurrency)].megabytesPerSecond
		printAim(fmt.Sprintf("100,000 rows, %d at once: bytes a second over the relay's, at least", concurrency), ratio, 0.75, ratio >= 0.75)
	}
	fmt.Println("CPU of the broker's process, or the relay's, by itself, 1 row, ms a search:")
	for _, concurrency := range []int{1, 16, 256} {
		cpu := map[string]float64{}
		for _, path := range paths {
			millis, err := measureAlone(*binary, path, 1, concurrency, each, "")
			must(fmt.Sprint(err), err == nil)
			cpu[path] = millis
		}
		fmt.Printf("  %3d at once: HTTP with frames %.3f, Flight %.3f, bare relay %.3f\n", concurrency, cpu[pathFrames], cpu[pathFlight], cpu[pathRelay])
		ratio := cpu[pathFlight] / cpu[pathFrames]
		printAim(fmt.Sprintf("1 row, %d at once: the broker's CPU over HTTP's with frames, at most", concurrency), ratio, 2, ratio <= 2)
	}
	if broken {
		os.Exit(1)
	}
}

// serveProfiled runs this process as the broker, or as a relay if relayTo holds addresses of nodes, until a signal ends it, and
// writes a CPU profile to the file. It returns the exit code.
func serveProfiled(file, relayTo string) (code int) {
	stop, err := startProfile(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if relayTo == "" {
		code = program.Main("brackenflight", flag.Args(), program.OptionalFeatures{Flight: withflight.NewSupport()})
	} else {
		go serveRelay(strings.Split(relayTo, ","))
		end := make(chan os.Signal, 1)
		signal.Notify(end, syscall.SIGTERM)
		<-end
	}
	stop()
	return code
}

// measureTable measures and prints all rows of the table. It returns the figures; a key is the concatenation of path, rows and
// concurrency. duration is that of the measurement of a row; must records whether a rule holds. If a row cannot be measured, measureTable
// ends the process with the exit code 1.
func measureTable(duration time.Duration, must func(what string, ok bool)) map[string]figure {
	fmt.Printf("%-14s %7s %5s | %10s %10s %10s %9s %8s\n", "path", "rows", "once", "searches/s", "CPU ms", "allocs", "MB/s", "alloc/B")
	figures := map[string]figure{}
	for _, rows := range []int{1, 1000, 100000} {
		for _, concurrency := range []int{1, 16, 256} {
			// 256 answers of 5 MB are more than one process should hold together with its clients.
			if rows == 100000 && concurrency > 16 {
				continue
			}
			for _, path := range paths {
				// Only tables have rows, and frames carry a text.
				if path == pathFrames && rows > 1 {
					continue
				}
				result, held, err := measure(path, rows, concurrency, duration)
				if err != nil {
					fmt.Println("BROKEN:", path, err)
					os.Exit(1)
				}
				must(fmt.Sprintf("%s: %d searches of %d rows, %d at once, were not answered completely", path, result.failed, rows, concurrency), result.failed == 0)
				must(fmt.Sprintf("%s: %d bytes are still held", path, held), held == 0)
				figures[fmt.Sprint(path, rows, concurrency)] = result
				fmt.Printf("%-14s %7d %5d | %10.0f %10.3f %10.0f %9.1f %8.2f\n", path, rows, concurrency, result.searchesPerSecond, result.cpuMillis, result.allocations, result.megabytesPerSecond, result.allocatedPerByte)
			}
		}
	}
	return figures
}

// printAim prints one line: what was measured, the figure measured, the aim wanted for it, and whether the aim is met. A missed aim
// does not change the exit code.
func printAim(what string, measured, wanted float64, met bool) {
	result := "met"
	if !met {
		result = "MISSED"
	}
	fmt.Printf("aim: %-66s %6.2f, wanted %5.2f: %s\n", what, measured, wanted, result)
}
