package turns

import "net"

// Listener makes the goroutine that accepts connections take turns with those that read from them: its turn lasts from when a
// connection was accepted until it waits for the next one. It is urgent, as new connections must not wait for those that are busy.
type Listener struct {
	// Listener accepts the connections.
	net.Listener
	// turn is the turn of the goroutine that calls Accept.
	turn *Turn
}

// NewListener returns a listener that accepts the connections of ln in turns of the scheduler, which may be nil.
func NewListener(ln net.Listener, scheduler *Scheduler) net.Listener {
	return &Listener{ln, scheduler.NewTurn(nil)}
}

// Accept returns the next connection. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	l.turn.End()
	conn, err := l.Listener.Accept()
	if err == nil {
		l.turn.Begin()
	}
	return conn, err
}
