package kit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// readyTimeout is how long a broker may take until it is ready, by the deployment page.
const readyTimeout = 30 * time.Second

// FreeAddr returns a loopback address with a free port.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Broker is a process of the project's program.
type Broker struct {
	command *exec.Cmd
	ended   chan struct{}
	// Addr is where clients reach the broker.
	Addr string
}

// RunCommand returns the command of the deploy file's line run.
func RunCommand() (string, error) {
	file, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(file)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no line run")
}

// StartBroker starts a broker with the command, by /bin/sh -c from the working folder, which is the repository's root. config is
// its configuration file. Its log goes to the file broker.log in dir.
func StartBroker(command, dir, addr, config string) (*Broker, error) {
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "broker.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	b := &Broker{command: exec.Command("/bin/sh", "-c", command), ended: make(chan struct{}), Addr: addr}
	b.command.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+dir)
	b.command.Stdout, b.command.Stderr = log, log
	if err := b.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		b.command.Wait()
		close(b.ended)
	}()
	// Where the test itself is ended, it leaves no process behind.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.Kill()
		os.Exit(2)
	}()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-b.ended:
			return nil, fmt.Errorf("the broker ended before it was ready")
		default:
		}
		if response, err := http.Get("http://" + addr + "/healthz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return b, nil
			}
		}
	}
	b.Kill()
	return nil, fmt.Errorf("the broker was not ready within %s", readyTimeout)
}

// Reload replaces the configuration file in dir and sends the broker SIGHUP.
func (b *Broker) Reload(dir, config string) error {
	next := filepath.Join(dir, "next.json")
	if err := os.WriteFile(next, []byte(config), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, filepath.Join(dir, "config.json")); err != nil {
		return err
	}
	return b.Signal(syscall.SIGHUP)
}

// Signal sends the broker a signal.
func (b *Broker) Signal(signal syscall.Signal) error { return b.command.Process.Signal(signal) }

// Ended reports whether the process has ended.
func (b *Broker) Ended() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (b *Broker) Kill() {
	b.Signal(syscall.SIGCONT)
	b.Signal(syscall.SIGKILL)
	<-b.ended
}
