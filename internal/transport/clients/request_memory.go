package clients

import (
	"errors"

	"brackenfront/internal/transport/parts"
)

// What a request is reckoned to take of memory, from its first byte until its response has been sent: more than its bytes, as they
// are copied while they are read, and as net/http and the reverse proxy keep the header fields in maps.
const (
	// memoryPerByte is the memory, in bytes, for each byte of a request.
	memoryPerByte = 6
	// memoryPerField is the memory, in bytes, for each field of its head and trailer besides that.
	memoryPerField = 512
)

const (
	// freeRequestMemory is how many bytes of memory the request of each connection may take without a reservation: enough for an
	// ordinary search, so that these are served whatever other clients hold.
	freeRequestMemory = 16 << 10
	// reservationStep is the unit, in bytes, in which memory beyond that is reserved.
	reservationStep = 16 << 10
)

// errNoRequestMemory says that a request is refused because the requests of all clients take as much memory as they may.
var errNoRequestMemory = errors.New("no memory for the request")

// requestMemory keeps account of the memory of one connection's current request.
type requestMemory struct {
	// budget is shared by the requests of all connections.
	budget *parts.MemoryBudget
	// requestBytes is how many bytes of the request's head have come, and of its body have been read by its handler.
	requestBytes int
	// reserved is how many bytes of the budget are reserved for the request.
	reserved int
}

// add accounts for further bytes of the request, which has the given number of fields so far. It reports whether there is memory for
// them.
func (m *requestMemory) add(bytes, fields int) bool {
	m.requestBytes += bytes
	missing := m.requestBytes*memoryPerByte + fields*memoryPerField - freeRequestMemory - m.reserved
	if missing <= 0 {
		return true
	}
	steps := (missing + reservationStep - 1) / reservationStep
	if !m.budget.Reserve(steps * reservationStep) {
		return false
	}
	m.reserved += steps * reservationStep
	return true
}

// release ends the account of a request, and releases what was reserved for it.
func (m *requestMemory) release() {
	m.budget.Release(m.reserved)
	m.reserved = 0
	m.requestBytes = 0
}
