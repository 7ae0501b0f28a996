package fleetrig

import (
	"fmt"
	"time"
)

// FaultKind is the kind of a fault that the rig injects. Its value is the kind's name in printed results.
type FaultKind string

// The kinds of faults.
const (
	// Pause stops processes with SIGSTOP, and continues them with SIGCONT when the fault ends.
	Pause FaultKind = "stand still"
	// Kill kills processes, and starts them again when the fault ends.
	Kill FaultKind = "kill"
	// DiskFails makes one durable write of a voter (a member of the council) fail.
	DiskFails FaultKind = "disk fails"
	// DiskLost restarts a voter (a member of the council) with an empty folder of durable files.
	DiskLost FaultKind = "disk lost"
	// DiskOld restarts a voter (a member of the council) with an old copy of its folder of durable files.
	DiskOld FaultKind = "disk old"
	// Cut stops the traffic between one process and one voter (a member of the council), in one direction or both.
	Cut FaultKind = "cut"
	// Partition stops the traffic between two groups of processes, drawn at random, in one direction or both.
	Partition FaultKind = "halves"
	// Reset closes the open connections of all links of one process, at least once during the fault.
	Reset FaultKind = "reset"
	// Delay delays all bytes that pass through the links of one process, by fault.magnitude milliseconds.
	Delay FaultKind = "slow"
	// Corruption changes, truncates or duplicates some of the bytes that pass through the links of one process.
	Corruption FaultKind = "foul"
)

// fault is one fault of a schedule. Processes are given by their index in cluster.processes.
type fault struct {
	// kind says what the fault does.
	kind FaultKind
	// start and end are when the fault begins and ends, counted from the start of the schedule.
	start, end time.Duration
	// processes are the indices of the processes that the fault affects.
	processes []int
	// peers are the indices of the processes at the other ends of the affected links; nil for all processes.
	peers []int
	// magnitude is, for DiskFails, the number of the write that fails; for Cut and Partition, the directions without traffic (bit 0 is
	// from the fault's processes, bit 1 is to them); for Reset, the number of resets; for Delay, the delay in milliseconds; for
	// Corruption, n if one chunk of bytes in n is made corrupt. Other kinds do not use it.
	magnitude int
}

// String describes the fault, as results and logs show it.
func (f fault) String() string {
	s := fmt.Sprintf("%s %v from %v to %v", f.kind, f.processes, f.start.Round(time.Millisecond), f.end.Round(time.Millisecond))
	if len(f.peers) > 0 {
		s += fmt.Sprintf(" with %v", f.peers)
	}
	if f.magnitude > 0 {
		s += fmt.Sprintf(" (%d)", f.magnitude)
	}
	return s
}

// draw returns a random number from 0 to n-1, from the cluster's seeded source.
func (c *cluster) draw(n int) int { return int(c.random.Float64() * float64(n)) }

// drawSchedule returns the scenario's faults, chosen at random, in the order in which they were chosen. The random numbers are used in a
// fixed order, so that a seed always gives the same schedule.
func (c *cluster) drawSchedule() (faults []fault) {
	// No disk is lost before this time. Only one is lost in a schedule, as a majority has to keep what it has promised.
	var diskLossAllowedAt time.Duration
	for range c.Faults {
		drawn := fault{start: time.Duration(c.random.Float64() * 0.7 * float64(c.Length))}
		drawn.end = min(c.Length, drawn.start+50*time.Millisecond+time.Duration(c.random.Float64()*float64(c.Length)*0.4))
		actor, voter := c.Voters+c.draw(c.Actors), c.draw(c.Voters)
		c.drawKind(&drawn, actor, voter, drawn.start >= diskLossAllowedAt)
		if drawn.kind == DiskLost || drawn.kind == DiskOld {
			diskLossAllowedAt = c.Length
		}
		if c.OnlyKind != "" {
			end := drawn.start + time.Duration(2*LeaseConfig().TTL*float64(time.Second))
			drawn = fault{kind: c.OnlyKind, start: drawn.start, end: end, processes: []int{actor}, magnitude: 3}
		}
		faults = append(faults, drawn)
	}
	return faults
}

// drawKind chooses the kind of the fault drawn at random, and sets its kind, processes, peers and magnitude. actor and voter are the
// indices of the process that takes leases and of the council member that the fault may affect; mayLoseDisk allows the kinds DiskLost and
// DiskOld.
func (c *cluster) drawKind(drawn *fault, actor, voter int, mayLoseDisk bool) {
	all := len(c.processes)
	// The bounds are cumulative probabilities.
	switch uniform := c.random.Float64(); {
	case uniform < 0.18:
		drawn.kind = Pause
		drawn.processes = []int{actor}
	case uniform < 0.26:
		drawn.kind = Pause
		drawn.processes = []int{voter}
	case uniform < 0.30:
		drawn.kind = Pause
		drawn.processes = firstIndices(all)
	case uniform < 0.38:
		drawn.kind = Kill
		drawn.processes = []int{actor}
	case uniform < 0.46:
		drawn.kind = Kill
		drawn.processes = []int{voter}
	case uniform < 0.52:
		drawn.kind = Kill
		drawn.processes = firstIndices(c.Voters)
	case uniform < 0.58:
		drawn.kind = DiskFails
		drawn.processes = []int{voter}
		drawn.magnitude = 1 + c.draw(40)
	case uniform < 0.66 && mayLoseDisk:
		drawn.kind = []FaultKind{DiskLost, DiskOld}[c.draw(2)]
		drawn.processes = []int{voter}
	case uniform < 0.74:
		drawn.kind = Cut
		drawn.processes = []int{c.draw(all)}
		drawn.peers = []int{voter}
		drawn.magnitude = 1 + c.draw(3)
	case uniform < 0.84:
		drawn.kind = Partition
		drawn.magnitude = 1 + c.draw(3)
		drawn.processes, drawn.peers = c.drawHalves()
	case uniform < 0.90:
		drawn.kind = Reset
		drawn.processes = []int{c.draw(all)}
		drawn.magnitude = 1 + c.draw(20)
	case uniform < 0.95:
		drawn.kind = Delay
		drawn.processes = []int{c.draw(all)}
		drawn.magnitude = 1 + c.draw(120)
	default:
		drawn.kind = Corruption
		drawn.processes = []int{c.draw(all)}
		drawn.magnitude = 5 + c.draw(100)
	}
}

// drawHalves puts each process at random into one of two groups, and returns the indices in cluster.processes of each group. A group may
// be empty.
func (c *cluster) drawHalves() (one, other []int) {
	for i := range c.processes {
		if c.random.Float64() < 0.5 {
			one = append(one, i)
		} else {
			other = append(other, i)
		}
	}
	return one, other
}

// firstIndices returns the indices of the first n processes, from 0 to n-1.
func firstIndices(n int) (indices []int) {
	for i := range n {
		indices = append(indices, i)
	}
	return indices
}
