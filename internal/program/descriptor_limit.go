package program

import (
	"sync"

	"brackenfront/internal/transport/clients"
)

// descriptorLimit keeps the number of connections, of clients and to nodes together, within the number of sockets that the
// configuration states, by closing unused ones. The operating system may have another limit, or none, so the program does
// not rely on it to refuse connections.
type descriptorLimit struct {
	// mu lets only one caller at a time count the connections and close those beyond the limit.
	mu sync.Mutex
	// maxConnections is the maximum number of open connections: those of clients and those to nodes together.
	maxConnections int
	// server is the frontend for HTTP. It closes unused connections for this limit: first some of otherConnections, then its
	// own.
	server *clients.Server
	// otherConnections are all connections but those of clients over HTTP.
	otherConnections clients.ConnectionPool
}

// closeUnused closes unused connections: as many as open connections exceed maxConnections, and more besides that. It returns
// how many it closed. Whoever opens a connection counts it as open before calling this. It may be called from any goroutine.
func (d *descriptorLimit) closeUnused(more int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	excess := d.server.OpenConnections() + d.otherConnections.OpenConnections() - d.maxConnections
	if more += max(excess, 0); more == 0 {
		return 0
	}
	return d.server.CloseUnused(more)
}

// unusedClientsDivisor limits the unused connections of clients: they may take the number of all descriptors divided by it.
// That is half of the third that the platform lets clients hold for requests.
const unusedClientsDivisor = 6

// reservedDescriptorsDivisor gives the number of descriptors that are reserved (reservedDescriptors): the number of all
// descriptors is divided by it.
const reservedDescriptorsDivisor = 8

// reservedDescriptors returns how many descriptors are not available to connections of clients and to nodes. They are for
// other files and sockets, and for connections that are accepted or dialled while unused ones are being closed.
func reservedDescriptors(maxSockets int) int { return maxSockets / reservedDescriptorsDivisor }

// sharedConnections are all connections but those of clients over HTTP, with which they share the limit on file descriptors.
// It implements clients.ConnectionPool.
type sharedConnections struct {
	// backends hold the connections to nodes; their unused connections may be closed.
	backends []clients.ConnectionPool
	// frontends are all frontends but the one for HTTP; their connections are only counted.
	frontends []Frontend
}

// OpenConnections returns the number of open connections to nodes, and of clients of the frontends other than HTTP.
func (s *sharedConnections) OpenConnections() (open int) {
	for _, backend := range s.backends {
		open += backend.OpenConnections()
	}
	for _, frontend := range s.frontends {
		open += frontend.OpenConnections()
	}
	return open
}

// CloseUnused closes up to most unused connections to nodes, and returns how many it closed.
func (s *sharedConnections) CloseUnused(most int) (closed int) {
	for _, backend := range s.backends {
		closed += backend.CloseUnused(most - closed)
	}
	return closed
}
