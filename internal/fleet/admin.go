package fleet

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
	"brackenfront/lease"
	"brackenfront/rollingrestart"
)

const (
	// adminTimeout bounds one request to one broker, including dial and handshake.
	adminTimeout = 3 * time.Second
	// leaderRoundsPerBroker times the number of the council's brokers is the largest number of rounds of askLeader. One
	// round goes through all of these brokers.
	leaderRoundsPerBroker = 3
	// adminRetryWait is the time between two rounds of askLeader, and between two polls of the plan of a rolling restart.
	adminRetryWait = 100 * time.Millisecond
)

// AdminClient sends requests to the brokers of a fleet without being one of them, as an operator's command does. Each
// request uses a connection of its own. It may be used from any goroutine.
type AdminClient struct {
	// Council lists the names and addresses of the brokers of the council, which are asked.
	Council []CouncilBroker
	// Keys are the keys by which the brokers of the fleet authenticate each other.
	Keys *wire.Keys
	// Environment is used for its clock, network and random numbers.
	Environment Environment
}

// ErrNoLeaderReply is returned if no broker of the council replied as its leader.
var ErrNoLeaderReply = errors.New("fleet: no broker of the council answered as its leader")

// askBroker sends a request to the broker at an address and returns its reply, within adminTimeout. If the reply carries
// an error text, err is nil nevertheless.
func (a AdminClient) askBroker(ctx context.Context, addr string, request clientRequest) (reply clientReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	raw, err := a.Environment.Dial(ctx, addr)
	if err != nil {
		return reply, err
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	conn, _, err := wire.Dial(raw, a.Keys, wire.Hello{Purpose: wire.PurposeClient})
	if err != nil {
		return reply, err
	}
	if err := conn.Write(frameRequest, wire.Encode(request)); err != nil {
		return reply, err
	}
	kind, payload, err := conn.Read(maxPeerFrameBytes)
	if err != nil {
		return reply, err
	}
	if kind != frameReply {
		return reply, wire.ErrMalformed
	}
	return reply, wire.Decode(payload, &reply)
}

// askLeader sends a request to the council's leader: it asks the council's brokers in turn and follows their replies that
// name the leader, who may not be in Council. The error is ErrNoLeaderReply, joined with the last broker's error, or the error
// text of the leader's reply.
func (a AdminClient) askLeader(ctx context.Context, request clientRequest) (reply clientReply, err error) {
	for range leaderRoundsPerBroker * len(a.Council) {
		for _, configured := range a.Council {
			reply, err = a.askBroker(ctx, configured.Addr, request)
			if leaderAddr := a.leaderAddr(reply); err == nil && leaderAddr != "" && leaderAddr != configured.Addr {
				reply, err = a.askBroker(ctx, leaderAddr, request)
			}
			if err == nil && reply.Err != council.ErrNotLeader.Error() {
				if reply.Err != "" {
					err = errors.New(reply.Err)
				}
				return reply, err
			}
		}
		select {
		case <-ctx.Done():
			return reply, errors.Join(ErrNoLeaderReply, err)
		case <-time.After(adminRetryWait):
		}
	}
	return reply, errors.Join(ErrNoLeaderReply, err)
}

// leaderAddr returns the address, host:port, of the leader that a reply names; empty if it names none. An address in Council
// goes before the one in the reply.
func (a AdminClient) leaderAddr(reply clientReply) string {
	if reply.Err != council.ErrNotLeader.Error() {
		return ""
	}
	for _, configured := range a.Council {
		if configured.Broker == reply.Leader {
			return configured.Addr
		}
	}
	return reply.LeaderAddr
}

// Statuses asks every broker of the council for its status. It returns the statuses in order of the brokers' names, and
// for the brokers that did not return one the errors, by the broker's name.
func (a AdminClient) Statuses(ctx context.Context) (all []Status, failed map[string]error) {
	failed = map[string]error{}
	for _, configured := range a.Council {
		reply, err := a.askBroker(ctx, configured.Addr, clientRequest{Status: true})
		if err == nil && reply.Status == nil {
			err = fmt.Errorf("no status: %s", reply.Err)
		}
		if err != nil {
			failed[configured.Broker] = err
			continue
		}
		all = append(all, *reply.Status)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Broker < all[j].Broker })
	return all, failed
}

// Leases asks the council for the leases that are held or waited for. It returns at most limit of them, in order of their
// names, starting with the name from.
func (a AdminClient) Leases(ctx context.Context, from string, limit int) (*council.ReadResult, error) {
	reply, err := a.askLeader(ctx, clientRequest{Read: &council.ReadRequest{Lease: from, Limit: limit}})
	if err != nil {
		return nil, err
	}
	return reply.ReadResult, nil
}

// Brokers asks the council for the names and addresses of the brokers that have a lease session.
func (a AdminClient) Brokers(ctx context.Context) ([]lease.Broker, error) {
	reply, err := a.askLeader(ctx, clientRequest{Read: &council.ReadRequest{Brokers: true}})
	if err != nil {
		return nil, err
	}
	return reply.ReadResult.Brokers, nil
}

// BrokerState asks the broker at an address, host:port, for its counters, its readiness and its part in rolling restarts.
func (a AdminClient) BrokerState(ctx context.Context, addr string) (BrokerState, error) {
	reply, err := a.askBroker(ctx, addr, clientRequest{State: true})
	if err == nil && reply.State == nil {
		err = wire.ErrMalformed
	}
	if err != nil {
		return BrokerState{}, err
	}
	return *reply.State, nil
}

// Note asks the council for the note of the lease with the given name.
func (a AdminClient) Note(ctx context.Context, name string) (lease.Note, error) {
	reply, err := a.askLeader(ctx, clientRequest{Read: &council.ReadRequest{Lease: name, Note: true}})
	if err == nil && (reply.ReadResult == nil || reply.ReadResult.Note == nil) {
		err = wire.ErrMalformed
	}
	if err != nil {
		return lease.Note{}, err
	}
	return *reply.ReadResult.Note, nil
}

// Watch waits until the fencing tokens of the holders of the lease with the given name differ from known, and returns the
// lease's state. It returns an error if ctx ends before, or after the tries of askLeader, each of which adminTimeout bounds.
func (a AdminClient) Watch(ctx context.Context, name string, known []uint64) (*council.ReadResult, error) {
	reply, err := a.askLeader(ctx, clientRequest{Read: &council.ReadRequest{Lease: name, Watch: true, KnownTokens: known}})
	if err != nil {
		return nil, err
	}
	return reply.ReadResult, nil
}

// Pools asks the council for the spec of each of the fleet's budgets and for its division among the brokers.
func (a AdminClient) Pools(ctx context.Context) ([]lease.Pool, error) {
	reply, err := a.askLeader(ctx, clientRequest{Read: &council.ReadRequest{Pools: true}})
	if err != nil {
		return nil, err
	}
	if reply.ReadResult == nil {
		return nil, errors.New("fleet: no answer about budgets")
	}
	return reply.ReadResult.Pools, nil
}

// ReplaceMember begins to replace a member of the council by another broker. It returns once the leader has accepted the
// request; the replacement continues after that.
func (a AdminClient) ReplaceMember(ctx context.Context, replacement Replacement) error {
	_, err := a.askLeader(ctx, clientRequest{Replace: &replacement})
	return err
}

// sendOrder makes the broker at an address (host:port) restart or reload now, because a rolling restart has reached it. The
// error says why the broker refused or failed.
func (a AdminClient) sendOrder(ctx context.Context, addr string, order rollingrestart.Order) error {
	reply, err := a.askBroker(ctx, addr, clientRequest{Order: &order})
	if err == nil && reply.Err != "" {
		err = errors.New(reply.Err)
	}
	return err
}
