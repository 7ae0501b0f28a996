package fleetrig

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// inject waits until the start of a fault, injects it, and returns once the fault has ended. For DiskOld, it copies the disk before the
// wait, so that the copy is old by then.
func (c *cluster) inject(ctx context.Context, f fault) {
	first := c.processes[f.processes[0]]
	var oldCopy string
	if f.kind == DiskOld {
		oldCopy = first.copyDisk()
	}
	sleep(ctx, f.start)
	switch f.kind {
	case Pause:
		c.pause(ctx, f)
	case Kill:
		c.killAndRestart(ctx, f)
	case DiskFails:
		first.failDisk(ctx, f)
	case DiskLost, DiskOld:
		first.replaceDisk(ctx, f, oldCopy)
	case Cut, Partition:
		c.cut(ctx, f)
	case Reset:
		for range f.magnitude {
			c.eachLink(f, func(link *Link, _ bool) { link.Reset() })
			sleep(ctx, f.duration()/time.Duration(f.magnitude))
		}
	case Delay:
		c.eachLink(f, func(link *Link, _ bool) { link.SetDelay(time.Duration(f.magnitude) * time.Millisecond) })
		sleep(ctx, f.duration())
		c.eachLink(f, func(link *Link, _ bool) { link.SetDelay(0) })
	case Corruption:
		c.eachLink(f, func(link *Link, _ bool) { link.CorruptOneIn(f.magnitude) })
		sleep(ctx, f.duration())
		c.eachLink(f, func(link *Link, _ bool) { link.CorruptOneIn(0) })
	}
}

// duration returns how long the fault lasts.
func (f fault) duration() time.Duration { return f.end - f.start }

// eachLink calls do for each link between a process of the fault and one of its peers; outbound is true if the fault's process is the
// side of the link that dials, and false if the peer is.
func (c *cluster) eachLink(f fault, do func(link *Link, outbound bool)) {
	for pair, link := range c.links {
		from, to := pair[0], pair[1]
		if slices.Contains(f.processes, from) && (f.peers == nil || slices.Contains(f.peers, to)) {
			do(link, true)
		} else if slices.Contains(f.processes, to) && (f.peers == nil || slices.Contains(f.peers, from)) {
			do(link, false)
		}
	}
}

// pause stops the fault's processes with SIGSTOP and continues them when it ends.
func (c *cluster) pause(ctx context.Context, f fault) {
	for _, i := range f.processes {
		c.processes[i].signal(syscall.SIGSTOP)
	}
	sleep(ctx, f.duration())
	for _, i := range f.processes {
		c.processes[i].signal(syscall.SIGCONT)
	}
}

// killAndRestart kills the fault's processes and starts them again when it ends.
func (c *cluster) killAndRestart(ctx context.Context, f fault) {
	for _, i := range f.processes {
		c.processes[i].kill()
	}
	sleep(ctx, f.duration())
	for _, i := range f.processes {
		c.processes[i].start()
	}
}

// cut stops the traffic on the fault's links until the fault ends, in the directions that fault.magnitude states. The connections stay
// open, and the bytes that were held back are passed on afterwards.
func (c *cluster) cut(ctx context.Context, f fault) {
	fromProcesses, toProcesses := f.magnitude&1 != 0, f.magnitude&2 != 0
	c.eachLink(f, func(link *Link, outbound bool) {
		if outbound {
			link.Hold(fromProcesses, toProcesses)
		} else {
			link.Hold(toProcesses, fromProcesses)
		}
	})
	sleep(ctx, f.duration())
	c.eachLink(f, func(link *Link, _ bool) { link.Hold(false, false) })
}

// failDisk restarts the process with a simulated disk on which one durable write fails, and restarts it with a working disk when the
// fault ends.
func (p *process) failDisk(ctx context.Context, f fault) {
	p.kill()
	p.failWrite(f.magnitude)
	p.start()
	sleep(ctx, f.duration())
	p.kill()
	p.failWrite(0)
	p.start()
}

// copyDisk kills the process, copies the folder that simulates its disk, starts the process again and returns the path of the copy.
func (p *process) copyDisk() string {
	p.kill()
	copied := p.dir + ".old"
	copyDir(p.dir, copied)
	p.start()
	return copied
}

// replaceDisk kills the process, replaces the folder that simulates its disk by the copy in the folder oldCopy, or by an empty folder if
// oldCopy is empty, and starts the process again after a quarter of the fault's duration.
func (p *process) replaceDisk(ctx context.Context, f fault, oldCopy string) {
	p.kill()
	os.RemoveAll(p.dir)
	if oldCopy != "" {
		copyDir(oldCopy, p.dir)
	} else {
		os.Mkdir(p.dir, 0o700)
	}
	sleep(ctx, f.duration()/4)
	p.start()
}

// heal ends all faults of links and continues all stopped processes, also those that a fault could not continue itself.
func (c *cluster) heal() {
	for _, link := range c.links {
		link.Hold(false, false)
		link.SetDelay(0)
		link.CorruptOneIn(0)
	}
	for _, link := range c.targetLinks {
		link.Hold(false, false)
		link.SetDelay(0)
	}
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
	}
}

// copyDir copies the files of a folder, without those of folders in it. Files that cannot be read are left out.
func copyDir(from, to string) {
	os.MkdirAll(to, 0o700)
	files, _ := os.ReadDir(from)
	for _, file := range files {
		if raw, err := os.ReadFile(filepath.Join(from, file.Name())); err == nil {
			os.WriteFile(filepath.Join(to, file.Name()), raw, 0o600)
		}
	}
}
