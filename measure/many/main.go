// Command many measures what the program holds, and what a start costs, with lists of many nodes: resident memory, live heap,
// goroutines, descriptors, and the processor time until GET /healthz is answered with 200. All parties are on loopback; nodes and
// discovery are stand-ins in this process.
//
//	go build -buildvcs=false -o bin/ ./cmd/brackenfront && go run ./measure/many -program bin/brackenfront
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

// patience bounds every wait.
const patience = 30 * time.Second

// sharedAddresses is how many loopback addresses the nodes share. Nobody answers there: nothing is asked while what the program
// holds is measured.
const sharedAddresses = 64

// settled is after how many replacements of a list live heaps are compared: garbage has been collected then.
const settled = 5

func main() {
	program := flag.String("program", "bin/brackenfront", "the program")
	starts := flag.Int("starts", 9, "starts of each kind; their median is printed")
	together := flag.Int("together", 32, "processes with lists of 1,024 nodes that are started at once")
	rounds := flag.Int("rounds", 20, "times that all nodes of a list of 1,024 are replaced by others")
	flag.Parse()
	if *rounds <= settled {
		fmt.Fprintf(os.Stderr, "many: -rounds: got %d, expected more than %d\n", *rounds, settled)
		os.Exit(2)
	}
	if err := measure(*program, *starts, *together, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, "many:", err)
		os.Exit(1)
	}
}

func measure(program string, starts, together, rounds int) error {
	if err := measureStarts(program, starts); err != nil {
		return err
	}
	if err := measureTogether(program, together); err != nil {
		return err
	}
	if err := measureIdle(program); err != nil {
		return err
	}
	return measureReplaced(program, rounds)
}

// measureStarts prints what a start costs, by the number of nodes and by how discovery is.
func measureStarts(program string, starts int) error {
	fmt.Printf("start until healthz is answered with 200: medians of %d\n", starts)
	fmt.Println("| nodes | discovery | ms | CPU ms | resident MB |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, nodes := range []int{2, 140, 1024, 5000} {
		for _, how := range []discoveryState{answering, refusing, silent} {
			var took, used, resident []float64
			for range starts {
				s, err := oneStart(program, nodes, how)
				if err != nil {
					return err
				}
				took, used, resident = append(took, s.tookMS), append(used, s.usedMS), append(resident, s.residentMB)
			}
			fmt.Printf("| %d | %s | %.0f | %.0f | %.1f |\n", nodes, how, median(took), median(used), median(resident))
		}
	}
	return nil
}

// measureTogether prints what it takes until nine in ten of many processes are ready that are started at once.
func measureTogether(program string, processes int) error {
	all := make([]started, processes)
	failed := make([]error, processes)
	var running sync.WaitGroup
	for i := range all {
		running.Go(func() { all[i], failed[i] = oneStart(program, 1024, refusing) })
	}
	running.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	slices.SortFunc(all, func(a, b started) int { return cmp.Compare(a.tookMS, b.tookMS) })
	used := 0.0
	for _, s := range all {
		used += s.usedMS
	}
	fmt.Printf("%d processes started at once, 1,024 nodes, discovery down: nine in ten are ready after %.0f ms, all after %.0f ms; %.2f s of CPU\n",
		processes, all[processes*9/10].tookMS, all[processes-1].tookMS, used/1e3)
	return nil
}

// started is one start.
type started struct{ tookMS, usedMS, residentMB float64 }

func oneStart(program string, nodes int, how discoveryState) (s started, err error) {
	d, err := newDiscovery(how)
	if err != nil {
		return s, err
	}
	defer d.close()
	b, err := newBroker(program, d.addr, hosts("n", nodes, "active"))
	if err != nil {
		return s, err
	}
	defer b.remove()
	began := time.Now()
	if err := b.start(); err != nil {
		return s, err
	}
	if err := b.ready(); err != nil {
		b.kill()
		return s, err
	}
	s.tookMS = float64(time.Since(began).Microseconds()) / 1e3
	s.residentMB = b.residentMB()
	s.usedMS = float64(b.kill().Microseconds()) / 1e3
	return s, nil
}

// measureIdle prints what a program holds that has its list and nothing to do.
func measureIdle(program string) error {
	fmt.Println("at idle, a second after it was ready, its watch open")
	fmt.Println("| nodes | resident MB | heap MB | goroutines | descriptors |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, nodes := range []int{2, 140, 1024, 5000} {
		err := running(program, nodes, func(b *broker, _ *discovery) error {
			time.Sleep(time.Second) // nothing is judged by it: what the start left behind goes
			h, err := b.holds()
			fmt.Printf("| %d | %.1f | %.1f | %d | %d |\n", nodes, h.residentMB, h.heapMB, h.goroutines, h.descriptors)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureReplaced prints what stays of nodes that have left: all of a list are replaced by others of new names again and again.
func measureReplaced(program string, rounds int) error {
	const nodes = 1024
	fmt.Printf("a list of %d nodes, all replaced by others of new names %d times\n", nodes, rounds)
	fmt.Println("| nodes that have left | resident MB | live heap MB | goroutines | descriptors |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	return running(program, nodes, func(b *broker, d *discovery) error {
		var first, last held
		for round := 0; ; round++ {
			h, err := b.holds()
			if err != nil {
				return err
			}
			if round == settled {
				first = h
			}
			if last = h; round%5 == 0 || round == rounds {
				fmt.Printf("| %d | %.1f | %.1f | %d | %d |\n", round*nodes, h.residentMB, h.liveMB, h.goroutines, h.descriptors)
			}
			if round == rounds {
				break
			}
			name := func(round int) string { return fmt.Sprintf("r%d-n", round) }
			was := name(round)
			if round == 0 {
				was = "n"
			}
			d.tell(slices.Concat(hosts(was, nodes, "left"), hosts(name(round+1), nodes, "active")))
			if err := b.taken(round + 2); err != nil { // the list of the configuration is the first
				return err
			}
		}
		fmt.Printf("a node that has left keeps %.0f bytes of live heap\n", (last.liveMB-first.liveMB)*(1<<20)/float64((rounds-settled)*nodes))
		return nil
	})
}

// running has a program with a list of so many nodes, ready and following discovery.
func running(program string, nodes int, do func(*broker, *discovery) error) error {
	d, err := newDiscovery(answering)
	if err != nil {
		return err
	}
	defer d.close()
	b, err := newBroker(program, d.addr, hosts("n", nodes, "active"))
	if err != nil {
		return err
	}
	defer b.remove()
	if err := b.start(); err != nil {
		return err
	}
	defer b.kill()
	if err := b.ready(); err != nil {
		return err
	}
	if err := d.followed(); err != nil {
		return err
	}
	return do(b, d)
}

// hosts lists so many nodes as discovery does; they share some addresses that nothing is sent to.
func hosts(name string, n int, health string) []string {
	all := make([]string, n)
	for i := range all {
		addr := net.JoinHostPort(fmt.Sprintf("127.1.0.%d", 1+i%sharedAddresses), "9")
		all[i] = fmt.Sprintf(`{"host":"%s-%06d","dial":"%s","site":"a","class":"m2","block":%d,"health":"%s","share":1.0,"born_ms":0}`,
			name, i, addr, i%places, health)
	}
	return all
}

func median[T cmp.Ordered](all []T) T {
	slices.Sort(all)
	return all[len(all)/2]
}
