package fleetrig

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	// crashBytes is the largest number of bytes of a crash report that a result shows.
	crashBytes = 1500
	// logBytes is how many bytes of the end of each log are shown if the fleet does not start, or stored for a failed run.
	logBytes = 2000
)

// Result is the outcome of a Scenario. The field tags are the names in the logs of failed runs.
type Result struct {
	// Findings is what the checker found.
	Findings
	// Faults describes the faults that were injected: "NUMBER: " and the text of fault.String for each.
	Faults []string
	// Crashes holds, for each process whose log has a report of a data race, a panic or a fatal error, the name of the process, ": " and
	// the beginning of the report.
	Crashes []string `json:"Broken"`
	// StalledLeases are the names of the leases under which the checker accepted no operation within progressTimeout of the end of the
	// schedule of faults.
	StalledLeases []string `json:"Stalled"`
	// BudgetUses is what all processes together used of each budget, by the name of the budget.
	BudgetUses map[string]BudgetUse `json:"Spent"`
	// RecoverySeconds is the time from the end of the schedule of faults until the checker had accepted an operation under each lease again, in
	// seconds; about progressTimeout if StalledLeases is not empty.
	RecoverySeconds float64 `json:"Back"`
}

// Bad reports whether the fleet broke a rule: whether any of OverlappingTenures, BadOperations, StalledLeases and Crashes has an entry, or
// the Excess of any of BudgetUses is above 0.
func (r *Result) Bad() bool {
	for _, use := range r.BudgetUses {
		if use.Excess > 0 {
			return true
		}
	}
	return len(r.OverlappingTenures)+len(r.BadOperations)+len(r.StalledLeases)+len(r.Crashes) > 0
}

// collect sets Findings, BudgetUses and Crashes of the result from the checker's records and the processes' logs. The processes must
// have ended.
func (c *cluster) collect(res *Result) {
	res.Findings = c.checker.Findings()
	res.BudgetUses = map[string]BudgetUse{}
	for name, spec := range c.budgetSpecs() {
		res.BudgetUses[name] = c.checker.CheckBudget(name, spec)
	}
	for _, p := range c.processes {
		raw, _ := os.ReadFile(p.log.Name())
		for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			if i := strings.Index(string(raw), sign); i >= 0 {
				res.Crashes = append(res.Crashes, fmt.Sprintf("%s: %s", p.name, raw[i:min(len(raw), i+crashBytes)]))
			}
		}
	}
}

// logs returns a text with the end of each process's log, at most logBytes bytes of it, after a line with the process's name.
func (c *cluster) logs() string {
	var text strings.Builder
	for _, p := range c.processes {
		raw, _ := os.ReadFile(p.log.Name())
		fmt.Fprintf(&text, "== %s\n%s", p.name, raw[max(0, len(raw)-logBytes):])
	}
	return text.String()
}

// writeFailureLog writes a failed run's result, the operations that the checker accepted and the ends of the processes' logs to the file
// fleet-SEED.log in FailureLogDir. If the file cannot be created, it does nothing.
func (c *cluster) writeFailureLog(res *Result) {
	out, err := os.Create(filepath.Join(c.FailureLogDir, fmt.Sprintf("fleet-%d.log", c.Seed)))
	if err != nil {
		return
	}
	defer out.Close()
	fmt.Fprintf(out, "seed %d, %d seats, %d actors\n%s\n", c.Seed, c.Voters, c.Actors, strings.Join(res.Faults, "\n"))
	encoder := json.NewEncoder(out)
	encoder.Encode(res)
	c.checker.mu.Lock()
	for _, operation := range c.checker.operations {
		encoder.Encode(operation)
	}
	c.checker.mu.Unlock()
	io.WriteString(out, c.logs())
}
