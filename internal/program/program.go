// Package program is the daemon: it reads what it is told, starts the parts, and ends them in good order. What
// a build may add to it, Arrow Flight, is handed in, so that one without does not carry it.
package program

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/options"
	"brackenfront/internal/protocol"
	"brackenfront/internal/routing"
	"brackenfront/internal/transport/clients"
	"brackenfront/internal/transport/parts"
)

// Flight is what a program that speaks Arrow Flight adds: a back end for leaves, and a door for clients.
type Flight struct {
	Back func(b *protocol.Boot, o *options.Options, room *parts.Room, log *logrus.Logger) Back
	Door func(b *protocol.Boot, o *options.Options, r *routing.Router, log *logrus.Logger) (Door, error)
}

// Fleet is what a program adds that takes part in a fleet: docs/fleet.md.
type Fleet struct {
	Check func(o *options.Options) error // of what the options name: keys, a folder
	Start func(o *options.Options, b *protocol.Boot, own Own, log *logrus.Logger) (Party, error)
	Ask   func(o *options.Options, a Ask) error // an operator's command; prints
}

// Own is what the fleet may ask of this broker, from any goroutine.
type Own struct {
	Counters func() map[string]int64
	Ready    func() bool
	Switch   func() error // as SIGHUP does
	Restart  func()       // as SIGTERM does; whatever started the program starts it again
	Divided  func()       // parts of budgets have changed
}

// Party is this process's part in the fleet. Searches never wait for it.
type Party interface {
	Addr() string
	Rekey() error
	Report()
	Close(ctx context.Context)
	routing.Budgets
	Connections() int   // that one node may have from here; 0 for any number; from any goroutine
	Connected(most int) // that the node with most of them has
	Shares() bool       // whether budgets are divided; then Settle says by which settings, before Parts is first asked
	Settle(d *protocol.Deployment)
	routing.Trials
	Tries() bool // whether trials of nodes go by way of it
	Bind(probe func(addr string, told func(ok, tried bool)))
}

// Extra is what a build has beside the daemon.
type Extra struct {
	Flight *Flight
	Fleet  *Fleet
}

// Ask is what an operator asks of the fleet.
type Ask struct {
	What       string // status, leases, budgets, replace or roll
	JSON       bool
	From       string
	Most       int
	Seat, With string
	Word       string // of a roll: status, begin, on, back, stop, skip or end
	Act        string
	AtOnce     int
	Least      float64
	Wait       time.Duration
	Only       []string
}

// Back is a back end that shares the descriptors.
type Back interface {
	routing.Leaves
	clients.Others
	Share(room func(most int) int)
	Close()
	Report(log *logrus.Logger)
}

// Door is a side that clients see.
type Door interface {
	Addr() string
	Open() int
	Serve() error
	Drain(ctx context.Context, accept time.Duration)
	Report(log *logrus.Logger)
}
