// Package loopback gives tests addresses of their own on this machine's loopback network.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// hostCount counts the calls of Host in this process.
var hostCount atomic.Uint32

// Host returns an IP address of the loopback network that no other call has had, in this process or in another one that runs
// now. It is made of the process id and a counter: it repeats after 254 calls in a process, and for processes whose ids are
// 65,024 apart. Connections do not come from these addresses by themselves: the system takes 127.0.0.1 as the local address
// of connections to any of them.
func Host() string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+process>>8%254, process%256, 1+hostCount.Add(1)%254)
}

// Address returns a host and port, as net.Listen takes them, at which nothing listens, for a server that is started later or
// more than once. A port of 127.0.0.1 that was free a moment ago may be taken by then, as the local port of any connection of
// this machine; a port of a host from Host stays free. The error is the system's.
func Address() (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(Host(), "0"))
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}
