package fleetrig

import (
	"fmt"
	"os"
	"strings"
)

// cpuSeconds returns the processor time that the running process has used, in seconds, from /proc; 0 if it cannot be read.
func (p *process) cpuSeconds() float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(raw), ") ")
	var user, system float64
	if fields := strings.Fields(rest); len(fields) > 12 {
		fmt.Sscan(fields[11], &user)
		fmt.Sscan(fields[12], &system)
	}
	return (user + system) / 100
}

// residentBytes returns the resident memory of the running process, in bytes, from /proc; 0 if it cannot be read.
func (p *process) residentBytes() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	var total, resident int64
	fmt.Sscan(string(raw), &total, &resident)
	return resident * int64(os.Getpagesize())
}

// folderBytes returns the total size in bytes of the files in a folder, without those in its subfolders.
func folderBytes(dir string) (bytes int64) {
	files, _ := os.ReadDir(dir)
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			bytes += info.Size()
		}
	}
	return bytes
}
