// Command faultcheck runs the table of the fault checker: each fault with each effect of search classes, or pairs of faults, over
// processes of the shipped program. It prints the table as Markdown on standard output, and each scenario's result on standard error.
//
// Terms of this command:
//   - A fault is something that goes wrong between a broker and its clients or nodes, such as a connection that closes at a given byte.
//   - The effect of a search class says what it does to run a part of its searches more than once: no harm (read_like), no harm for a time
//     in which nodes recognise and drop repeats (idempotency_key), or harm, so that it must never happen (non_idempotent).
//   - A cell of the table is one fault, or one pair of faults, with one effect; a scenario is one run of a cell with one seed.
//   - A seed determines the random settings of a scenario.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"brackenfront/internal/faultcheck"
	daemon "brackenfront/internal/program"
)

// main runs the fault scenarios that the command's flags choose and prints a table of their results. If the environment variable
// faultcheck.ProgramVariable is set, it instead runs the broker program: the scenarios start this executable that way.
func main() {
	if os.Getenv(faultcheck.ProgramVariable) != "" {
		os.Exit(daemon.Main("brackenfront", nil, daemon.OptionalFeatures{}))
	}
	var flags options
	flag.StringVar(&flags.faults, "faults", "", "names of faults, or pairs of them with a plus, with commas between; all where empty")
	flag.StringVar(&flags.effects, "effects", "read_like,idempotency_key,non_idempotent", "effects of the search classes, with commas between")
	flag.IntVar(&flags.seeds, "seeds", 3, "seeds per cell, from -seed on")
	flag.Uint64Var(&flags.seed, "seed", 1, "the first seed")
	flag.IntVar(&flags.pairs, "pairs", 0, "pairs in place of single faults: each fault with so many others")
	flag.BoolVar(&flags.allPairs, "all-pairs", false, "every pair of faults in place of single faults")
	flag.IntVar(&flags.bytePosition, "at", -1, "the byte of faults that can be placed at each one; -1 for each in turn")
	flag.BoolVar(&flags.varySeeds, "spread", false, "the n-th cell's seeds are n higher, so that cells differ in their settings")
	flag.IntVar(&flags.concurrency, "at-once", 4, "scenarios at once")
	flag.DurationVar(&flags.longest, "longest", 30*time.Minute, "no scenario begins after that; cells that were not run are shown so")
	flag.Parse()
	if err := runTable(flags); err != nil {
		fmt.Fprintln(os.Stderr, "faultcheck:", err)
		os.Exit(1)
	}
}

// options are the values of the command's flags.
type options struct {
	// faults are the names of faults, or of pairs of them joined by a plus sign, separated by commas; "" for all faults.
	faults string
	// effects are the names of the effects of search classes to run the faults with, separated by commas.
	effects string
	// seed is the first seed; the following seeds are the next integers.
	seed uint64
	// seeds is the number of seeds, and so of scenarios, for each cell.
	seeds int
	// pairs is the number of other faults that are drawn as partners for each fault; 0 to run single faults instead of pairs.
	pairs int
	// concurrency is how many scenarios are run at once.
	concurrency int
	// bytePosition is the byte at which faults are injected that can be injected at any byte; -1 for each byte in turn.
	bytePosition int
	// allPairs runs every pair of two faults instead of single faults.
	allPairs bool
	// varySeeds adds n to the seeds of the n-th cell, counted from 1, so that the cells' scenarios have different settings.
	varySeeds bool
	// longest is the time after the start of the run after which no new scenario begins; those in progress are finished.
	longest time.Duration
}

// names returns the faults, or the pairs of faults joined by a plus sign, that are the table's rows; an empty list stands for all single
// faults.
func (o options) names() []string {
	switch {
	case o.faults != "":
		return strings.Split(o.faults, ",")
	case o.allPairs:
		return faultcheck.AllPairs()
	case o.pairs > 0:
		return faultcheck.Pairs(o.seed, o.pairs)
	}
	return nil
}

// columns returns the effects that the flag effects names, which are the table's columns. An unknown name is an error.
func (o options) columns() (effects []faultcheck.Effect, err error) {
	for _, name := range strings.Split(o.effects, ",") {
		effect, err := faultcheck.ParseEffect(name)
		if err != nil {
			return nil, err
		}
		effects = append(effects, effect)
	}
	return effects, nil
}

// runTable runs the scenarios of all cells of the table and prints it. flags are the command's flags. An error means that they name an
// unknown fault or effect; violations that scenarios find are in the table only.
func runTable(flags options) error {
	effects, err := flags.columns()
	if err != nil {
		return err
	}
	var seeds []uint64
	for i := range flags.seeds {
		seeds = append(seeds, flags.seed+uint64(i))
	}
	table, err := faultcheck.NewTable(flags.names(), effects, seeds)
	if err != nil {
		return err
	}
	table.VarySeeds, table.BytePosition = flags.varySeeds, flags.bytePosition
	table.Run(flags.concurrency, time.Now().Add(flags.longest), func(r faultcheck.Result) {
		fmt.Fprintf(os.Stderr, "%s: %d violations, %d deliveries, %d attempts, %d injected, %s, goroutines scheduled up to %s late, %v\n",
			r.Case, len(r.Violations), r.Deliveries, r.Attempts, r.Injected, r.Duration.Round(time.Millisecond),
			r.MaxSchedulingLag.Round(time.Millisecond), r.Err)
		if own, _ := r.SplitViolations(); len(own) > 0 {
			fmt.Fprintf(os.Stderr, "%s\n%+v\n%s\n", own[0], r.Setting, r.History.SearchLog(own[0].Search))
		}
	})
	table.Write(os.Stdout)
	return nil
}
