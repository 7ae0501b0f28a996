// Package processtest helps tests that run the programs of this project as processes of their own and look at what these take.
package processtest

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
)

// peakMemory matches the largest resident memory, in kB, in a process's status file.
var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// Build builds the program in the package of the running test, without the race detector, which takes several times the memory, and
// returns the path of its file, which is removed with the test. The test fails if the program does not build.
func Build(t testing.TB) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "program")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// PeakMemoryMB returns the largest resident memory that a running process has had so far, in MB. The test fails if the system does not
// say that.
func PeakMemoryMB(t testing.TB, pid int) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	match := peakMemory.FindSubmatch(raw)
	if err != nil || match == nil {
		t.Fatalf("no peak of the memory of process %d: %v", pid, err)
	}
	kilobytes, _ := strconv.Atoi(string(match[1]))
	return kilobytes >> 10
}

// StartAgain runs the test's binary once more, as a process that plays something for the test, such as clients that send at full speed:
// its TestMain has to do that where the environment variable of the given name is set, whose value is description as JSON, until the
// standard input ends. The process uses at most the given number of processors. The returned function ends it.
func StartAgain(t testing.TB, variable string, description any, processors int) (stop func()) {
	t.Helper()
	value, err := json.Marshal(description)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), variable+"="+string(value), fmt.Sprint("GOMAXPROCS=", processors))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	return func() {
		input.Close()
		command.Wait()
	}
}
