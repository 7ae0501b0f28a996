package flightfrontend

import (
	"net"
	"time"

	"brackenfront/internal/transport/parts"
)

// acceptRetryPause is how long the listener waits, after accepting a connection failed with a transient error such as a shortage
// of file descriptors, before it accepts again.
const acceptRetryPause = 10 * time.Millisecond

// listener accepts clients' connections up to the frontend's limit.
type listener struct {
	// Listener accepts the connections, also those beyond the limit.
	net.Listener
	// frontend is the frontend that accepts the connections, with their limit and counts.
	frontend *Frontend
}

// Accept returns the next connection within the limit. A connection beyond it is closed at once and not logged, so that a flood
// of connections does not flood the log.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if parts.OutOfDescriptors(err) || parts.TransientAcceptError(err) {
			// Some connections will end; returning the error would end the frontend.
			time.Sleep(acceptRetryPause)
			continue
		} else if err != nil {
			return nil, err
		}
		l.frontend.mu.Lock()
		full := l.frontend.openConns >= l.frontend.limits.MaxConns
		if full {
			l.frontend.counts.RejectedConns++
		} else {
			l.frontend.openConns++
			l.frontend.counts.Accepted++
		}
		l.frontend.mu.Unlock()
		if full {
			accepted.Close()
			continue
		}
		conn := newClientConn(accepted, l.frontend)
		l.frontend.mu.Lock()
		l.frontend.connsByAddr[accepted.RemoteAddr().String()] = conn
		l.frontend.mu.Unlock()
		return conn, nil
	}
}
