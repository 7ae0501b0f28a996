package clients

import "context"

// writeSocket writes to the socket. As that may wait for the client, the connection's turn at the processor ends before.
func (c *conn) writeSocket(b []byte) (int, error) {
	c.turn.End()
	return c.turn.Write(c.Conn, b)
}

// EndTurn ends the turn at the processor of the connection whose request has the context ctx. The goroutine that serves the request
// calls it before it waits for anything but the client.
func EndTurn(ctx context.Context) {
	if c, ok := ctx.Value(connContextKey{}).(*conn); ok {
		c.turn.End()
	}
}
