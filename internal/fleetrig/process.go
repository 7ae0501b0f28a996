package fleetrig

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is one child process of a cluster, through all its restarts.
type process struct {
	// cluster is the cluster that the process belongs to.
	cluster *cluster
	// name is the process's name: b0, b1 and so on for voters, which are members of the council, and c0, c1 and so on for actors, which
	// hold leases and operate on the checker under them.
	name string
	// dir is the folder of the process's durable files, which simulates its disk.
	dir string
	// voter says that the process is a member of the council; otherwise it is an actor, which takes leases and operates under them.
	voter bool
	// addr is the host:port where a voter listens; empty for an actor.
	addr string
	// log is the file that the process's standard error goes to.
	log *os.File

	// mu guards the fields below.
	mu sync.Mutex
	// orders are the settings that the next start passes to the process.
	orders Orders
	// cmd is the command of the running process; nil before the first start and after kill.
	cmd *exec.Cmd
	// done is closed when the process that was started last has ended.
	done chan struct{}
}

// freezeLength returns how long a process that has stopped itself with SIGSTOP stays stopped: three times the time to live of leases, so
// that its lease has been granted to another process long before it continues.
func freezeLength() time.Duration { return time.Duration(3 * LeaseConfig().TTL * float64(time.Second)) }

// start starts the process, unless it runs. If two faults have killed it at the same time, both start it again, and the second
// call does nothing.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd, err := p.command()
	if err != nil {
		return err
	}
	out, in, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd.Stdout = in
	if err := cmd.Start(); err != nil {
		return errors.Join(err, in.Close(), out.Close())
	}
	in.Close()
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		p.cluster.checker.ReadClaims(p.name, out, func(note string) {
			if note == noteFrozen {
				time.AfterFunc(freezeLength(), func() { cmd.Process.Signal(syscall.SIGCONT) })
			}
		})
		out.Close()
		cmd.Wait()
		close(done)
	}()
	return nil
}

// command returns the command that starts this executable again, in which RunIfChild runs the process with its orders. The process is
// killed when the rig's process ends.
func (p *process) command() (*exec.Cmd, error) {
	orders, err := json.Marshal(p.orders)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), ordersVariable+"="+string(orders))
	cmd.Stderr = p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, nil
}

// kill kills the process, also a stopped one, and waits until it has ended.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	<-p.done
	p.cmd = nil
}

// failWrite makes the n-th durable write after the next start fail; 0 for none.
func (p *process) failWrite(n int) {
	p.mu.Lock()
	p.orders.FailWrite = n
	p.mu.Unlock()
}

// signal sends the process a signal, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}
