package program

import (
	"sync"

	"brackenfront/internal/transport/clients"
)

// descriptors keeps the connections of clients and to nodes within the number that the configuration states. The system may
// state another limit, or none: it is asked to refuse nothing.
type descriptors struct {
	mu     sync.Mutex // what is beyond the limit is counted and closed by one at a time
	most   int
	server *clients.Server
	others clients.Others
}

// room closes unused connections: those beyond the limit, and so many more. It says how many it closed. Whoever opens a
// connection counts it before it calls; any goroutine may.
func (d *descriptors) room(more int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.server.Counts()
	over := held.Accepted - held.Closed + d.others.Open() - d.most
	if more += max(over, 0); more == 0 {
		return 0
	}
	return d.server.Shorten(more)
}
