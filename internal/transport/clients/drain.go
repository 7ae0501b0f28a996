package clients

import (
	"context"
	"time"

	"brackenfront/internal/transport/sockets"
)

// finalResponseTime is how long requests in progress have for their final response when a drain is cut short, that is, once the
// context of Drain has ended.
const finalResponseTime = 2 * maxLingerTime

// Drain ends the service and returns once every connection has ended. Connections on which no request has begun, except new
// ones, close at once, and every other one after its response. New connections are accepted for another acceptFor, and those that
// the system has established by then; then those that have sent nothing close as well. Requests in progress have until ctx ends;
// those that are not done by then get a final response that leaves open whether they ran. The shutdown of net/http is not used: it
// closes a connection while a request is being read from it, and drops what it has read.
func (s *Server) Drain(ctx context.Context, acceptFor time.Duration) {
	s.draining.Store(true)
	for _, c := range s.openConns() {
		c.closeWriteIfUnused(codeDrained, func() bool { return c.requestCount > 0 })
	}
	select {
	case <-time.After(acceptFor):
	case <-ctx.Done():
	}
	// After a pause of this process the time may be over before the connections that came in it are accepted.
	sockets.AwaitAccepted(s.netListener)
	s.netListener.Close()
	<-s.acceptEnded
	// These connections have sent nothing yet; their clients keep them open until the server closes them.
	for _, c := range s.openConns() {
		c.closeWriteIfUnused(codeDrained, func() bool { return true })
	}
	s.waitForConns(ctx)
	s.abortRequests()
	for _, c := range s.openConns() {
		c.Conn.Close()
	}
	s.httpServer.Close()
	s.httpLog.Close()
}

// waitForConns waits until all connections have ended, at most until ctx ends.
func (s *Server) waitForConns(ctx context.Context) {
	for len(s.openConns()) > 0 && ctx.Err() == nil {
		select {
		case <-s.connEnded:
		case <-ctx.Done():
		}
	}
}

// abortRequests cancels every request in progress, and waits until all have their final response, at most for
// finalResponseTime. A client whose request ends without a response may send it again, though it may have run.
func (s *Server) abortRequests() {
	s.cancelRequests()
	for _, c := range s.openConns() {
		c.abortReads()
	}
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	s.waitForConns(ctx)
}
