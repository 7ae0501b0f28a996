// Command halls runs the scenarios of package zoneloss, in which zones are lost, with the guard on zones, without it, and with
// random choice of workers. The guard is the broker's protection of healthy zones against too much load when other zones are lost. The
// command prints a table of the results and exits with 0 only if every run was possible and every run with the guard kept the rules of
// zoneloss.Result.Violations.
//
//	go build -buildvcs=false -o bin/ ./cmd/brackenfront && go run ./measure/halls bin/brackenfront
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
	"sync"

	"github.com/alecthomas/kong"

	"brackenfront/internal/zoneloss"
)

// options are the options of the command line.
var options struct {
	// Binary is the path of the broker program.
	Binary string `arg:"" help:"The broker's program." type:"existingfile"`
	// Quick runs the first scenario only, for quickLength seconds.
	Quick bool `help:"The first scenario only."`
	// Only selects the scenarios whose name contains this text; empty for all.
	Only string `help:"Scenarios whose name contains this." placeholder:"TEXT"`
	// Policy is the name of the one zoneloss.Policy to run; empty for all.
	Policy string `help:"Only this policy: guard, before or random." placeholder:"NAME"`
	// Concurrency is how many scenarios run at once.
	Concurrency int `name:"at" help:"Scenarios at once." default:"60"`
	// Log prints the brokers' log lines about zones, and the service in each second.
	Log bool `help:"Print what brokers logged about zones, and service by the second."`
	// JSON is the path of a file that the results are written to; empty for none.
	JSON string `help:"Write the results to this file." placeholder:"FILE"`
}

// quickLength is the duration of the one scenario that runs with --quick, in seconds.
const quickLength = 46

// main runs the scenarios that the command line selects and prints a table of their results, which it also writes as JSON to the
// file that the command line names, if any. It exits with a status other than 0 if a rule is broken or the file cannot be written.
func main() {
	kong.Parse(&options)
	scenarios := selected()
	dir, err := os.MkdirTemp("", "halls")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer os.RemoveAll(dir)
	results, errs := runAll(scenarios, dir)
	code := printResults(scenarios, results, errs)
	if options.JSON != "" {
		raw, err := json.MarshalIndent(results, "", " ")
		if err == nil {
			err = os.WriteFile(options.JSON, raw, 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// selected returns the scenarios that the command line selects, one element for each policy to run, each with its own Scenario.Number.
func selected() (scenarios []zoneloss.Scenario) {
	for i, scenario := range zoneloss.Scenarios() {
		if options.Quick && i > 0 || !strings.Contains(scenario.Name, options.Only) {
			continue
		}
		if options.Quick {
			scenario.Length = quickLength
		}
		for _, policy := range []zoneloss.Policy{zoneloss.Guarded, zoneloss.WithoutGuard, zoneloss.RandomWorker} {
			if options.Policy == "" || options.Policy == string(policy) {
				scenario.Policy = policy
				scenario.Number = len(scenarios)
				scenarios = append(scenarios, scenario)
			}
		}
	}
	return scenarios
}

// runAll runs the scenarios, as many at once as the option --at says, with their files in dir. It returns the result and the error of
// each by the scenario's index.
func runAll(scenarios []zoneloss.Scenario, dir string) ([]*zoneloss.Result, []error) {
	results, errs := make([]*zoneloss.Result, len(scenarios)), make([]error, len(scenarios))
	slots := make(chan bool, options.Concurrency)
	var running sync.WaitGroup
	for i, scenario := range scenarios {
		slots <- true
		running.Go(func() {
			defer func() { <-slots }()
			scenario.Binary = options.Binary
			scenario.Dir = dir
			results[i], errs[i] = scenario.Run(context.Background())
		})
	}
	running.Wait()
	return results, errs
}

// printResults prints the table, with results and errs by the index of the scenario, and returns the exit code: 1 if a run failed or one
// with the policy Guarded broke a rule, else 0.
func printResults(scenarios []zoneloss.Scenario, results []*zoneloss.Result, errs []error) (code int) {
	fmt.Printf("%-28s %-7s %7s %7s %6s %6s %7s %7s %7s %6s %6s %5s %6s %5s %5s\n", "day", "who", "before", "out", "dear", "cheap", "at best", "after", "back s", "leaf", "spill", "fell", "asked", "lost", "late")
	for i, result := range results {
		if errs[i] != nil {
			fmt.Printf("%-28s %-7s %v\n", scenarios[i].Name, scenarios[i].Policy, errs[i])
			code = 1
			continue
		}
		spill := fmt.Sprintf("%6.2f", result.WorstSpill)
		if result.WorstSpill == 0 || math.IsNaN(result.WorstSpill) {
			spill = "     -"
		}
		fmt.Printf("%-28s %-7s %7.3f %7.3f %6.2f %6.2f %7.3f %7.3f %7.1f %6.2f %s %5d %6d %5d %5d\n", result.Scenario.Name, result.Scenario.Policy, result.ServiceBefore,
			result.ServiceDuring, result.HighUtilityShare, result.LowUtilityShare, result.BestService, result.ServiceAfter, result.RecoverySeconds, result.WorstOverload, spill,
			result.FailedWorkers, result.Searches, result.Unanswered, result.LateRejections)
		if result.Scenario.Policy == zoneloss.Guarded {
			for _, violation := range result.Violations() {
				fmt.Println("  BROKEN:", violation)
				code = 1
			}
		}
		if options.Log {
			fmt.Printf("  %.2f\n", result.ServiceBySecond)
			for _, line := range result.Log {
				fmt.Println("  ", line)
			}
		}
	}
	return code
}
