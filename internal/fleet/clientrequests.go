package fleet

import (
	"errors"

	"brackenfront/internal/fleet/council"
)

// pendingRequest is a client's request that was passed to the Raft replica and has no reply yet.
type pendingRequest struct {
	// conn is the connection that the request came on, to which the reply is sent.
	conn *clientConn
	// handle is the number by which the client recognises the reply: the Handle of its request, which the reply repeats. It is not
	// the handle under which the request was passed to the replica; that one is the request's key in member.pending.
	handle uint64
}

// handleRequest replies to a client's request at once where this member can, and otherwise passes it to the Raft
// replica, whose reply sendReply sends to the client.
func (m *member) handleRequest(client *clientConn, request *clientRequest) {
	switch {
	case request.Status:
		client.queueReply(clientReply{Handle: request.Handle, Status: m.fullStatus()})
	case request.Replace != nil:
		client.queueReply(m.handleReplace(request))
	case request.Call != nil || request.Read != nil:
		m.submitRequest(client, request)
	case request.HealthUpdates != nil:
		m.relayHealthUpdates(client, request.HealthUpdates)
	default:
		client.queueReply(clientReply{Handle: request.Handle, Err: "nothing was asked"})
	}
}

// fullStatus returns this broker's present status, including all members of the council as it sees them.
func (m *member) fullStatus() *Status {
	m.publish()
	status := m.node.Status()
	status.Member.Members = m.memberViews()
	return status
}

// handleReplace begins to replace a member of the council. The reply has the error text, and names the leader if this
// member does not lead.
func (m *member) handleReplace(request *clientRequest) clientReply {
	reply := clientReply{Handle: request.Handle}
	err := m.replaceMember(*request.Replace)
	if err != nil {
		reply.Err = err.Error()
	}
	if errors.Is(err, council.ErrNotLeader) {
		reply.Leader, reply.LeaderAddr = m.leader()
	}
	return reply
}

// submitRequest passes a lease session's call, or a read, to the Raft replica. After a call the client is notified of
// grants to its session; if too many sessions are subscribed already, it learns of grants with its next reply.
func (m *member) submitRequest(client *clientConn, request *clientRequest) {
	m.lastHandle++
	m.pending[m.lastHandle] = pendingRequest{conn: client, handle: request.Handle}
	if request.Read != nil && (request.Read.Limit < 0 || request.Read.Limit > maxListedLeases) {
		request.Read.Limit = maxListedLeases
	}
	if request.Call != nil && (len(m.subscribers) < 2*m.node.config.Terms.MaxSessions || m.subscribers[request.Call.Session] != nil) {
		m.subscribers[request.Call.Session] = client
	}
	m.replica.Submit(council.Request{Handle: m.lastHandle, Call: request.Call, Read: request.Read})
}

// removeClient removes a client whose connection has ended, with its requests and subscriptions.
func (m *member) removeClient(client *clientConn) {
	delete(m.healthUpdateReaders, client)
	for handle, request := range m.pending {
		if request.conn == client {
			delete(m.pending, handle)
			m.replica.CancelWatch(handle)
		}
	}
	for session, subscriber := range m.subscribers {
		if subscriber == client {
			delete(m.subscribers, session)
		}
	}
}
