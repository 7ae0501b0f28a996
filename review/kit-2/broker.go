package kit2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// broker is one process of the program under review.
type broker struct {
	name   string
	listen string
	config string
	log    string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// freeAddr returns an address on the loopback interface whose port was free.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeConfig writes the configuration of a broker.
func writeConfig(path, name, listen, discovery string, known update, settings map[string]any) error {
	raw, err := json.MarshalIndent(map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": newID(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// startBroker starts command (the deploy file's, with options) by /bin/sh from the root, and waits until it is ready.
func startBroker(folder, name, command, listen, config string) (*broker, error) {
	b := &broker{name: name, listen: listen, config: config, log: filepath.Join(folder, name+".log"), ended: make(chan struct{})}
	out, err := os.OpenFile(b.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	tmp := filepath.Join(folder, "tmp-"+name)
	os.MkdirAll(tmp, 0o700)
	b.cmd = exec.Command("/bin/sh", "-c", command)
	b.cmd.Dir = os.Getenv("ROOT")
	b.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "TMPDIR="+tmp)
	b.cmd.Stdout, b.cmd.Stderr = out, out
	if err := b.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		b.cmd.Wait()
		close(b.ended)
	}()
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		select {
		case <-b.ended:
			return nil, fmt.Errorf("%s has ended, see its log", name)
		default:
		}
		if answer, err := http.Get("http://" + listen + "/healthz"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == 200 {
				return b, nil
			}
		}
	}
	b.kill()
	return nil, fmt.Errorf("%s is not ready", name)
}

func (b *broker) signal(s syscall.Signal) { b.cmd.Process.Signal(s) }

// kill ends the process, also one that is stopped, and waits for its end.
func (b *broker) kill() {
	if b == nil {
		return
	}
	b.cmd.Process.Kill()
	<-b.ended
}
