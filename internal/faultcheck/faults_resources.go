package faultcheck

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Times for starvedFault, under which brokers' processes get little processor time: each is stopped for a random time from minPause to
// maxPause, then runs for a random time from minRunTime to maxRunTime, then is stopped again, and so on for starvationTime in all.
const (
	// starvationTime is how long starvedFault lasts.
	starvationTime = 600 * time.Millisecond
	// minPause is the shortest time for which a process is stopped without a break.
	minPause = 5 * time.Millisecond
	// maxPause is the upper bound of the time for which a process is stopped without a break.
	maxPause = 20 * time.Millisecond
	// minRunTime is the shortest time for which a process runs between two pauses.
	minRunTime = 1 * time.Millisecond
	// maxRunTime is the upper bound of the time for which a process runs between two pauses.
	maxRunTime = 5 * time.Millisecond
)

// Sizes of brokers with little memory.
const (
	// rememberedSearches is how many ended searches a broker can keep records of under fewRememberedFault.
	rememberedSearches = 6
	// rememberedSearchesMemory is the memory limit, in bytes, at which a broker can keep rememberedSearches records of 320 bytes each: a
	// broker uses one part in 32 of its memory for them.
	rememberedSearchesMemory = rememberedSearches * 320 * 32
	// memoryLimitRounds is how many times per scenario shortMemoryFault limits the memory of a random broker to little more than it uses,
	// keeps the limit while further searches begin, and removes it.
	memoryLimitRounds = 3
	// memoryTextBytes is the number of bytes that shortMemoryFault adds to the text of each search, so that brokers need more memory.
	memoryTextBytes = 60_000
	// maxMemoryMargin is the upper bound, in bytes, of the random amount that a limited broker may still allocate beyond the memory that
	// it uses.
	maxMemoryMargin = 1 << 18
)

// randomDuration returns a random duration that is at least least and below most.
func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// starvedFault returns a fault that stops the process of every broker again and again, and lets it run for a few milliseconds in between.
func starvedFault() InjectedFault {
	return InjectedFault{
		Name:        "starved",
		Side:        SideProcess,
		Description: "brokers run for 1 to 5 ms after every 5 to 20 ms in which they are paused",
		event: func(r *scenarioRun, _ *rand.Rand) error {
			var starving sync.WaitGroup
			for i, b := range r.brokers {
				starving.Go(func() { r.starveProcess(b, b.currentProcess(), r.random("starve", i)) })
			}
			starving.Wait()
			return nil
		},
	}
}

// starveProcess stops one process of a broker and lets it run by turns, each time for a random duration (see minPause and minRunTime). It
// returns once starvationTime is over, and counts each pause as an injection of the fault.
func (r *scenarioRun) starveProcess(b *broker, process *brokerProcess, random *rand.Rand) {
	for end := time.Now().Add(starvationTime); time.Now().Before(end); {
		r.countInjection()
		b.pauseFor(process, randomDuration(random, minPause, maxPause))
		time.Sleep(randomDuration(random, minRunTime, maxRunTime))
	}
}

// fewRememberedFault returns a fault that gives brokers so low a memory limit that each can remember only rememberedSearches ended
// searches, and delivers each search again after its end.
func fewRememberedFault() InjectedFault {
	f := repeatAfterEndFault("few-remembered", "a memory limit that lets a broker remember six searches, and the same bytes again after the end",
		"", sameBroker)
	f.Side = SideProcess
	f.adjustSetting = func(s *Setting) { s.MemoryMegabytes = float64(rememberedSearchesMemory) / (1 << 20) }
	return f
}

// shortMemoryFault returns a fault that limits a broker's memory to hardly more than it uses already, while long searches are in flight. A
// broker that crashes for want of memory is started again.
func shortMemoryFault() InjectedFault {
	return InjectedFault{
		Name:          "short-memory",
		Side:          SideProcess,
		Description:   "the system grants a broker hardly more memory than it has, with long searches in flight",
		adjustSetting: func(s *Setting) { s.ExtraTextBytes, s.MayCrash = memoryTextBytes, true },
		event: func(r *scenarioRun, random *rand.Rand) error {
			for range memoryLimitRounds {
				b := r.brokers[random.IntN(len(r.brokers))]
				process := b.currentProcess()
				r.countInjection()
				if err := process.limitMemory(uint64(random.IntN(maxMemoryMargin))); err != nil {
					return err
				}
				r.waitForSearches()
				if err := process.unlimitMemory(); err != nil {
					return err
				}
				if !process.hasExited() {
					continue
				}
				if err := b.restart(); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// limitMemory sets the process's RLIMIT_DATA so that it can get only margin more bytes of writable memory than it has now. It is no error
// if the process has exited meanwhile.
func (p *brokerProcess) limitMemory(margin uint64) error {
	used, err := writableMemory(p.command.Process.Pid)
	if err == nil {
		err = unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_DATA, &unix.Rlimit{Cur: used + margin, Max: unix.RLIM_INFINITY}, nil)
	}
	return p.ignoreIfExited(err)
}

// unlimitMemory removes the limit that limitMemory has set. It is no error if the process has exited.
func (p *brokerProcess) unlimitMemory() error {
	unlimited := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	return p.ignoreIfExited(unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_DATA, &unlimited, nil))
}

// ignoreIfExited returns err, the error of a system call on the process, or nil if the process exits within endTimeout, which explains
// the error.
func (p *brokerProcess) ignoreIfExited(err error) error {
	if err == nil {
		return nil
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(endTimeout):
		return err
	}
}

// writableMemory returns how many bytes of a process, named by its process id, count against RLIMIT_DATA.
func writableMemory(pid int) (bytes uint64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if kilobytes, found := strings.CutPrefix(line, "VmData:"); found {
			_, err = fmt.Sscanf(kilobytes, "%d kB", &bytes)
			return bytes << 10, err
		}
	}
	return 0, errors.New("the system does not say how much memory a process has")
}

// clockStepFault returns the table entry for steps of the machine's wall clock, which cannot be injected: Go reads the clock through the
// vDSO, where it cannot be intercepted, and a Linux time namespace does not cover the wall clock.
func clockStepFault() InjectedFault {
	return InjectedFault{
		Name:        "clock-step",
		Side:        SideProcess,
		Description: "the machine's wall clock is set forward or back",
		unreachable: func(Effect) string { return "a process has no wall clock of its own, and the machine's stays as it is" },
	}
}
