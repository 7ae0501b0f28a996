package faultcheck

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Cell is one cell of the table: the totals of the scenarios of one fault, or of a pair of faults, with one effect.
type Cell struct {
	// Fault is the fault's name, or the names of a pair joined by a plus sign.
	Fault string
	// Effect is the Effect that the cell's scenarios give to the search classes; it is the cell's column.
	Effect Effect
	// Unreachable says why the fault cannot occur with the effect, so that nothing was run; "" if it can.
	Unreachable string
	// Runs is how many scenarios were run.
	Runs int
	// NotCompleted is how many scenarios could not be run to their end as planned (Result.Err); they count in Runs, too.
	NotCompleted int
	// Injected is how often a fault was injected in all scenarios of the cell.
	Injected int
	// Crashes is the sum of Result.Crashes.
	Crashes int
	// ReachedBytes is the set of byte positions at which the fault was injected, if it is one that can be injected at any byte.
	ReachedBytes map[int]bool
	// BytePositions is the number of bytes at which the fault can be injected; 0 for a fault that is not injected at a byte.
	BytePositions int
	// Broken counts, by rule, the violations that a single broker committed and could have known of.
	Broken map[Rule]int
	// BrokenBetweenBrokers counts, by rule, the violations that no single broker can know of, because the request went to two of them.
	BrokenBetweenBrokers map[Rule]int
	// FirstReplay is the command that replays the first scenario with a violation of a single broker; "" if there is none.
	FirstReplay string
	// FirstError is the error of the first scenario that NotCompleted counts; "" if there is none.
	FirstError string
	// FirstViolation is the first violation of a single broker, as text; "" if there is none.
	FirstViolation string
}

// Summary returns the cell's text in the table: "held" or the broken rules, and what was not completed or injected, separated by
// semicolons.
func (c *Cell) Summary() string {
	switch {
	case c.Unreachable != "":
		return "not reachable, because " + c.Unreachable
	case c.Runs == 0:
		return "not run"
	}
	var words []string
	if len(c.Broken) > 0 {
		words = append(words, "**broken**: "+formatRuleCounts(c.Broken))
	} else if c.NotCompleted < c.Runs && (c.Injected > 0 || c.Fault == "none" || len(c.BrokenBetweenBrokers) > 0) {
		words = append(words, "held")
	}
	if len(c.BrokenBetweenBrokers) > 0 {
		words = append(words, "between brokers: "+formatRuleCounts(c.BrokenBetweenBrokers))
	}
	if c.NotCompleted > 0 {
		words = append(words, fmt.Sprintf("%d of %d not completed: %s", c.NotCompleted, c.Runs, c.FirstError))
	}
	if c.Injected == 0 && c.Fault != "none" {
		words = append(words, "not run: it was never injected")
	}
	if c.Crashes > 0 {
		words = append(words, fmt.Sprintf("%d crashes for want of memory", c.Crashes))
	}
	if c.BytePositions > 0 {
		words = append(words, fmt.Sprintf("%d of %d bytes", len(c.ReachedBytes), c.BytePositions))
	}
	return strings.Join(words, "; ")
}

// missingBytes returns, as text separated by spaces, the bytes at which the fault can be injected but was not. A byte is given by its
// position, counted from 0, in the data that is sent on a connection.
func (c *Cell) missingBytes() string {
	var missing []string
	for position := range c.BytePositions {
		if !c.ReachedBytes[position] {
			missing = append(missing, strconv.Itoa(position))
		}
	}
	return strings.Join(missing, " ")
}

// formatRuleCounts returns a text that lists rules with their counts, in alphabetical order of the rules.
func formatRuleCounts(counts map[Rule]int) string {
	var formatted []string
	for rule, n := range counts {
		formatted = append(formatted, fmt.Sprintf("%s (%d)", rule, n))
	}
	sort.Strings(formatted)
	return strings.Join(formatted, ", ")
}

// add adds the result of one scenario to the totals of the cell.
func (c *Cell) add(result Result) {
	c.Runs++
	c.Injected += result.Injected
	c.Crashes += result.Crashes
	c.BytePositions = max(c.BytePositions, result.BytePositions)
	for position := range result.ReachedBytes {
		c.ReachedBytes[position] = true
	}
	if result.Err != nil {
		c.NotCompleted++
		if c.FirstError == "" {
			c.FirstError = strings.ReplaceAll(result.Err.Error(), "\n", "; ")
		}
	}
	own, between := result.SplitViolations()
	for _, v := range between {
		c.BrokenBetweenBrokers[v.Rule]++
	}
	for _, v := range own {
		c.Broken[v.Rule]++
		if c.FirstReplay == "" {
			c.FirstReplay, c.FirstViolation = result.ReplayCommand(), v.String()
		}
	}
}

// Table is a table of scenarios: those to be run, and after Run their results.
type Table struct {
	// Cells are the table's cells, row by row: a row is a fault or a pair, and its columns are the effects.
	Cells []*Cell
	// Effects are the effects of the search classes that the scenarios are run with; each is a column of the table.
	Effects []Effect
	// Seeds are the random seeds that each cell is run with.
	Seeds []uint64
	// BytePosition is the byte, counted from 0, at which faults are injected that can be injected at any byte; everyBytePosition (-1) for
	// each byte in turn.
	BytePosition int
	// VarySeeds adds n to the seeds of the n-th cell, counted from 1, so that the cells' scenarios have different settings.
	VarySeeds bool
	// Duration is how long Run took in all.
	Duration time.Duration
}

// NewTable returns a table whose scenarios are not run yet. Its rows are the named faults, or all faults if none is named; a name may be that
// of a pair, two names joined by a plus sign. Its columns are the effects. Each cell is to be run once with each seed. An unknown name is an
// error.
func NewTable(names []string, effects []Effect, seeds []uint64) (*Table, error) {
	t := &Table{Effects: effects, Seeds: seeds, BytePosition: everyBytePosition}
	if len(names) == 0 {
		for _, f := range Faults() {
			names = append(names, f.Name)
		}
	}
	for _, name := range names {
		for _, effect := range effects {
			cell := &Cell{Fault: name, Effect: effect, ReachedBytes: map[int]bool{}, Broken: map[Rule]int{}, BrokenBetweenBrokers: map[Rule]int{}}
			faults, err := cell.caseWithSeed(0).findFaults()
			if err != nil {
				return nil, err
			}
			for _, f := range faults {
				if why := f.Unreachable(effect); why != "" {
					cell.Unreachable = why
				}
			}
			t.Cells = append(t.Cells, cell)
		}
	}
	return t, nil
}

// Pairs returns the names of random pairs of faults, the two names joined by a plus sign. The seed determines the pairs. partners is how many
// partners are drawn for every fault; a fault that is drawn as its own partner is left out.
func Pairs(seed uint64, partners int) (names []string) {
	faults := Faults()[1:]
	r := &scenarioRun{Case: Case{Seed: seed}}
	for i, f := range faults {
		random := r.random("pairs", f.Name)
		for _, k := range random.Perm(len(faults))[:partners] {
			if k != i {
				names = append(names, f.Name+"+"+faults[k].Name)
			}
		}
	}
	return names
}

// AllPairs returns the names of all pairs of two different faults, each pair once and joined by a plus sign.
func AllPairs() (names []string) {
	faults := Faults()[1:]
	for i, f := range faults {
		for _, other := range faults[i+1:] {
			names = append(names, f.Name+"+"+other.Name)
		}
	}
	return names
}

// caseWithSeed returns the Case of the cell's scenario with this seed, with faults injected at each byte in turn (everyBytePosition).
func (c *Cell) caseWithSeed(seed uint64) Case {
	return Case{Faults: strings.Split(c.Fault, "+"), Effect: c.Effect, Seed: seed, BytePosition: everyBytePosition}
}

// Run runs every cell that is not unreachable with every seed, with up to concurrency scenarios at once. No scenario begins after the time
// until. The function onResult is called with each result, by one goroutine at a time.
func (t *Table) Run(concurrency int, until time.Time, onResult func(r Result)) {
	began := time.Now()
	type job struct {
		cell *Cell
		seed uint64
	}
	jobs := make(chan job)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range concurrency {
		workers.Go(func() {
			for j := range jobs {
				scenario := j.cell.caseWithSeed(j.seed)
				scenario.BytePosition = t.BytePosition
				r := RunScenario(scenario)
				mu.Lock()
				j.cell.add(r)
				onResult(r)
				mu.Unlock()
			}
		})
	}
	for _, seed := range t.Seeds {
		for _, cell := range t.Cells {
			if t.VarySeeds {
				seed++
			}
			if cell.Unreachable == "" && time.Now().Before(until) {
				jobs <- job{cell, seed}
			}
		}
	}
	close(jobs)
	workers.Wait()
	t.Duration = time.Since(began)
}

// Write writes the table to w as Markdown, and below it the totals and, for single cells, the bytes not reached and the first violation.
func (t *Table) Write(w io.Writer) {
	descriptions := map[string]string{}
	for _, f := range Faults() {
		descriptions[f.Name] = fmt.Sprintf("%s: %s", f.Side, f.Description)
	}
	fmt.Fprint(w, "| fault |")
	for _, effect := range t.Effects {
		fmt.Fprintf(w, " %s |", effect)
	}
	fmt.Fprintf(w, "\n|%s\n", strings.Repeat(" --- |", 1+len(t.Effects)))
	runs, injected := 0, 0
	for i := 0; i < len(t.Cells); i += len(t.Effects) {
		row := t.Cells[i : i+len(t.Effects)]
		name := "`" + row[0].Fault + "`"
		if description := descriptions[row[0].Fault]; description != "" {
			name += " (" + description + ")"
		}
		fmt.Fprintf(w, "| %s |", name)
		for _, cell := range row {
			runs, injected = runs+cell.Runs, injected+cell.Injected
			fmt.Fprintf(w, " %s |", cell.Summary())
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "\n%d scenarios, %d faults injected, %s.\n\n", runs, injected, t.Duration.Round(time.Second))
	for _, cell := range t.Cells {
		if missing := cell.missingBytes(); missing != "" {
			fmt.Fprintf(w, "- `%s`, %s: bytes not reached: %s.\n", cell.Fault, cell.Effect, missing)
		}
		if cell.FirstReplay != "" {
			fmt.Fprintf(w, "- `%s`, %s: %s. `%s`\n", cell.Fault, cell.Effect, cell.FirstViolation, cell.FirstReplay)
		}
	}
}
