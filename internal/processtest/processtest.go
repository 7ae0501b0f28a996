// Package processtest helps tests that run the programs of this project as processes of their own and look at what these take.
package processtest

import (
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
