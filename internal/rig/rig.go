// Package rig puts one broker between stand-in nodes and stand-in clients, with the HTTP and the Flight frontend and the
// backends for nodes that speak frames and Flight, in one process on loopback: for tests and measurements.
//
// Terms of this package:
//   - A frontend accepts the connections of clients of one protocol, HTTP or Flight.
//   - Frames and Flight are the two protocols by which nodes are called.
//   - The nodes of one replica group hold the same shards.
//   - A script (standin.Script) decides how the stand-in nodes respond to each attempt.
package rig

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/sirupsen/logrus"

	"brackenfront/internal/protocol"
	"brackenfront/internal/routing"
	"brackenfront/internal/standin"
	"brackenfront/internal/transport/clients"
	"brackenfront/internal/transport/flightfrontend"
	"brackenfront/internal/transport/flightnodes"
	"brackenfront/internal/transport/nodes"
	"brackenfront/internal/transport/parts"
)

const (
	// groupCount is the number of replica groups.
	groupCount = 3
	// nodeCount is the number of stand-in nodes; they belong to the replica groups in turn.
	nodeCount = 6
	// searchTimeout is how long the client of a search that NewSearch makes waits for the answer.
	searchTimeout = 15 * time.Second
	// settingsSeed is the seed of the broker's random choices, the same for every rig.
	settingsSeed = 7
	// drainTimeout bounds how long Close lets the searches in progress go on at both frontends together; what is unanswered by
	// then gets an error as its response.
	drainTimeout = 20 * time.Second
)

// Rig is a broker with the nodes, connection pools and clients around it.
type Rig struct {
	// Script is the script that the nodes follow.
	Script *standin.Script
	// Nodes are the nodes; node i belongs to the replica group i modulo groupCount.
	Nodes []*standin.ScriptedNode
	// AnswerMemory limits and counts the bytes of answers that the broker holds: those from Flight nodes that are unfinished or not
	// yet sent to clients.
	AnswerMemory *parts.MemoryBudget
	// Router is the broker's routing of searches.
	Router *routing.Router
	// FlightNodePool is the broker's connections to the nodes that speak Flight.
	FlightNodePool *flightnodes.ConnPool
	// FrameNodePool is the broker's connections to the nodes that speak frames.
	FrameNodePool *nodes.ConnPool
	// FlightFrontend is the broker's Flight frontend.
	FlightFrontend *flightfrontend.Frontend
	// FlightClient is the rig's own client of FlightFrontend, by which Send sends searches.
	FlightClient flight.FlightServiceClient

	// httpFrontend is the broker's HTTP frontend.
	httpFrontend *clients.Server
	// httpClient is the rig's own client of httpFrontend, by which Send sends searches.
	httpClient *http.Client
	// httpAddr is the host and port of the HTTP frontend.
	httpAddr string
	// closeFlight closes the client of the Flight frontend.
	closeFlight func() error
	// listVersion is the sequence number of the last node list that NextDiscoveryUpdate returned; 0 before the first.
	listVersion int64
	// lastSearchID is the number in the id that NewSearch gave to a search last; 0 before the first.
	lastSearchID atomic.Int64
}

// AllSpeakFrames is an argument for Start by which all nodes speak frames.
func AllSpeakFrames(int) bool { return false }

// AllSpeakFlight is an argument for Start by which all nodes speak Flight.
func AllSpeakFlight(int) bool { return true }

// FlightLimits are the sizes and limits of a rig that concern Flight; measurements set larger ones than tests do.
type FlightLimits struct {
	// MaxPartBytes is the largest size, in bytes, of a part's answer and of one message from a node; the broker takes no larger
	// one.
	MaxPartBytes int
	// CallMemoryBytes is the memory for the calls of all Flight clients together beyond what each connection has to itself; 1 GiB if 0.
	CallMemoryBytes int64
	// AnswerMemoryBytes is the largest number of bytes that the broker reserves at once for answers: Rig.AnswerMemory.MaxBytes.
	AnswerMemoryBytes int
	// RowsPerPart is the number of rows in each part's table from a node that speaks Flight.
	RowsPerPart int
	// WriteTimeout bounds the write of an answer to a Flight client, even if its deadline is later; 0 for the longest deadline in
	// the settings.
	WriteTimeout time.Duration
	// WrapListener makes the listener of the Flight frontend from one on loopback; nil to use that one itself.
	WrapListener func(net.Listener) net.Listener
}

// Start makes a rig of three replica groups with two nodes each; speaksFlight says of each node, by its index, whether it
// speaks Flight. replacements alternates between a text in SettingsJSON and the text to put in its place; CANCEL becomes true
// unless it is among them. It returns an error
// if the settings are invalid or a listener cannot be opened; what it has started until then keeps running.
func Start(speaksFlight func(i int) bool, limits FlightLimits, replacements ...string) (r *Rig, err error) {
	settings, err := protocol.ParseSettings(json.RawMessage(strings.NewReplacer(append(replacements, "CANCEL", "true")...).Replace(SettingsJSON)), settingsSeed)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r = &Rig{
		Script:       standin.NewScript(),
		AnswerMemory: &parts.MemoryBudget{MaxBytes: int64(limits.AnswerMemoryBytes)},
	}
	if err := r.startNodes(speaksFlight, limits.RowsPerPart); err != nil {
		return nil, err
	}
	r.makeNodePools(settings, limits, log)
	known, err := r.NextDiscoveryUpdate()
	if err != nil {
		return nil, err
	}
	if r.Router, err = routing.New(settings, known, r.FrameNodePool, r.FlightNodePool); err != nil {
		return nil, err
	}
	if err := r.listen(settings, limits, log); err != nil {
		return nil, err
	}
	r.Router.Start()
	go r.httpFrontend.Serve()
	go r.FlightFrontend.Serve()
	r.httpAddr = r.httpFrontend.Addr()
	r.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	r.FlightClient, r.closeFlight, err = standin.NewFlightClient(r.FlightFrontend.Addr())
	return r, err
}

// startNodes starts the nodes, which return tables of rowsPerPart rows.
func (r *Rig) startNodes(speaksFlight func(i int) bool, rowsPerPart int) error {
	for i := range nodeCount {
		node, err := r.Script.NewNode(fmt.Sprint("l", i), i%groupCount, speaksFlight(i))
		if err != nil {
			return err
		}
		node.RowsPerPart = rowsPerPart
		r.Nodes = append(r.Nodes, node)
	}
	return nil
}

// makeNodePools makes the broker's pools of connections to nodes, for both protocols.
func (r *Rig) makeNodePools(settings *protocol.Deployment, limits FlightLimits, log *logrus.Logger) {
	r.FrameNodePool = nodes.NewConnPool(nodes.Limits{
		MaxCallsPerConn: settings.MaxCallsPerConn,
		ConnectTimeout:  settings.DialTimeout,
		PeerIdleTimeout: settings.IdleTimeout,
		MaxWait:         settings.MaxDeadline,
		MayCancel:       settings.Settings.CanCancel,
	}, log)
	r.FlightNodePool = flightnodes.NewConnPool(flightnodes.Limits{
		MaxStreamsPerConn: settings.MaxCallsPerConn,
		ConnectTimeout:    settings.DialTimeout,
		PeerIdleTimeout:   settings.IdleTimeout,
		MaxWait:           settings.MaxDeadline,
		MayCancel:         settings.Settings.CanCancel,
		MaxMessageBytes:   limits.MaxPartBytes,
		MaxPartBytes:      limits.MaxPartBytes,
		AnswerMemory:      r.AnswerMemory,
	}, log)
}

// listen opens the listeners of the frontends.
func (r *Rig) listen(settings *protocol.Deployment, limits FlightLimits, log *logrus.Logger) (err error) {
	r.httpFrontend, err = clients.Listen("127.0.0.1:0", clients.Limits{
		RequestTimeout:   settings.MaxDeadline,
		IdleTimeout:      settings.IdleTimeout,
		MaxConnections:   1 << 16,
		MaxUnused:        1 << 16,
		MaxRequestMemory: 1 << 30,
		AcceptRetryDelay: time.Millisecond,
	}, r.Router.RoundTripper(), r.Router.Ready, r.FrameNodePool, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if limits.WrapListener != nil {
		listener = limits.WrapListener(listener)
	}
	r.FlightFrontend = flightfrontend.New(listener, flightfrontend.Limits{
		MaxSearchTime:     settings.MaxDeadline,
		WriteTimeout:      cmp.Or(limits.WriteTimeout, settings.MaxDeadline),
		IdleTimeout:       settings.IdleTimeout,
		MaxStreamsPerConn: 512,
		MaxConns:          64,
		MaxCallMemory:     cmp.Or(limits.CallMemoryBytes, 1<<30),
	}, r.Router.ParseSearch, r.Router.Search, r.Router.Ready, log)
	return nil
}

// Close drains the frontends and ends everything. It returns the number of bytes of answers that are still held, which must
// be 0.
func (r *Rig) Close() int64 {
	r.closeFlight()
	r.httpClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	r.FlightFrontend.Drain(ctx, 0)
	r.httpFrontend.Drain(ctx, 0)
	r.Router.Stop()
	r.FrameNodePool.Close()
	r.FlightNodePool.Close()
	for _, node := range r.Nodes {
		node.Close()
	}
	return r.AnswerMemory.Reserved()
}

// NextDiscoveryUpdate returns the list of the nodes as they are now, as discovery would send it. Each call gives it a new version.
// The broker's list does not change until the caller passes the result to Router.
func (r *Rig) NextDiscoveryUpdate() (protocol.DiscoveryUpdate, error) {
	var entries []string
	for _, node := range r.Nodes {
		entries = append(entries, node.DiscoveryEntry())
	}
	r.listVersion++
	return protocol.ParseDiscoveryUpdate(fmt.Appendf(nil, `{"seq":%d,"whole":true,"hosts":[%s]}`, r.listVersion, strings.Join(entries, ",")))
}

// OpenNodeConnections counts the broker's open connections to nodes.
func (r *Rig) OpenNodeConnections() int {
	return r.FlightNodePool.OpenConnections() + r.FrameNodePool.OpenConnections()
}

// NewSearch makes a search of a class over some shards, with an id that no other search of the rig has.
func (r *Rig) NewSearch(class string, shards ...int) standin.Search {
	return standin.Search{
		Class:    class,
		ID:       fmt.Sprintf("s%d", r.lastSearchID.Add(1)),
		Dealer:   "acme",
		Shards:   shards,
		TimeLeft: searchTimeout,
	}
}

// Send sends a search through a frontend, "flight" or "http", and waits for its outcome, as standin.Search.SendOverFlight and
// SendOverHTTP do. Any frontend but "flight" stands for "http".
func (r *Rig) Send(ctx context.Context, frontend string, search standin.Search) (standin.Outcome, error) {
	if frontend == "flight" {
		return search.SendOverFlight(ctx, r.FlightClient)
	}
	return search.SendOverHTTP(ctx, r.httpClient, r.httpAddr)
}
