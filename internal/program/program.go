// Package program is the daemon: it reads what it is told, starts the parts, and ends them in good order. What
// a build may add to it, Arrow Flight, is handed in, so that one without does not carry it.
package program

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"brackenfront/internal/options"
	"brackenfront/internal/protocol"
	"brackenfront/internal/routing"
	"brackenfront/internal/transport/clients"
	"brackenfront/internal/transport/nodes"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/watch"
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

// line is the command line.
type line struct {
	Options string   `help:"The operators' file, JSON with comments." env:"BRACKENFRONT_OPTIONS" placeholder:"FILE"`
	Set     []string `help:"One choice of that file, over it and over the environment." placeholder:"FIELD=VALUE"`
	Serve   struct{} `cmd:"" default:"1" help:"Serve (also without any command)."`
	Check   struct{} `cmd:"" help:"Read everything, print what would hold and where it comes from, start nothing."`
	Version struct{} `cmd:"" help:"Print the version."`
	Fleet   struct {
		JSON   bool     `help:"Print JSON." name:"json"`
		Status struct{} `cmd:"" help:"How each broker of the council stands."`
		Leases struct {
			From string `help:"Names from here on."`
			Most int    `help:"No more than so many." default:"100"`
		} `cmd:"" help:"Who holds what, and who waits."`
		Budgets struct{} `cmd:"" help:"How what is stated for all is divided."`
		Council struct {
			Replace struct {
				Seat string `arg:"" help:"The broker whose seat is given away."`
				With string `arg:"" help:"The broker that gets it; it runs, with a blank folder and this council stated."`
			} `cmd:"" help:"Give one seat to another broker."`
		} `cmd:"" help:"Change the council, one seat at a time."`
		Roll struct {
			Status struct{} `cmd:"" default:"1" help:"How it stands (also without any word)."`
			Begin  struct {
				Act    string        `arg:"" enum:"restart,switch" help:"restart: each ends in good order and is started again by what started it; switch: each reads its settings again."`
				AtOnce int           `help:"Brokers that may be out at a time." default:"1"`
				Least  float64       `help:"Share of searches answered under which it stops; 0 for none." default:"0.9"`
				Wait   time.Duration `help:"Within which a broker has gone and is back." default:"1m"`
				Only   []string      `help:"These brokers only."`
			} `cmd:"" help:"Take the brokers through it in turns."`
			On   struct{} `cmd:"" help:"Go on, where it has stopped."`
			Back struct{} `cmd:"" help:"Take those that have gone through it again, the last first; put the former files in place before."`
			Stop struct{} `cmd:"" help:"Nobody more begins."`
			Skip struct {
				Broker string `arg:"" help:"The broker that is left out."`
			} `cmd:"" help:"Leave a broker out."`
			End struct{} `cmd:"" help:"Leave it as it stands."`
		} `cmd:"" help:"Restarts or switches of settings, so many brokers at a time."`
	} `cmd:"" help:"Ask the fleet that the options name."`
}

// Main runs the program and gives its exit code: 2 for a command line that cannot be read.
func Main(name string, args []string, extra Extra) (code int) {
	log := logrus.New()
	form(log, "text")
	var l line
	p, err := kong.New(&l, kong.Name(name), kong.Description("A query router before a sharded, replicated store."),
		kong.Exit(func(c int) { panic(c) })) // its help asks to end here
	if err != nil {
		panic(err)
	}
	defer func() {
		if c, ok := recover().(int); ok {
			code = c
		}
	}()
	c, err := p.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return 2
	}
	switch c.Command() {
	case "fleet status", "fleet leases", "fleet budgets", "fleet council replace <seat> <with>", "fleet roll status", "fleet roll begin <act>", "fleet roll on",
		"fleet roll back", "fleet roll stop", "fleet roll skip <broker>", "fleet roll end":
		if err := l.fleet(extra, strings.Fields(c.Command())); err != nil {
			fmt.Fprintln(os.Stderr, name+":", err)
			return 1
		}
	case "version":
		fmt.Println(name, version())
	case "check":
		boot, o, err := l.read(extra)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		fmt.Printf("configuration: %s on %s, discovery %s, %d nodes known, %d query types\n", boot.Name, boot.Listen,
			boot.Discovery, len(boot.Known.Hosts), len(boot.Terms.Types))
		for _, t := range o.Lines() {
			fmt.Println(t)
		}
	default:
		if err := l.run(log, extra); err != nil {
			log.WithError(err).Error(name + " ends")
			return 1
		}
	}
	return 0
}

func version() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		return b.Main.Version + " " + b.GoVersion
	}
	return "unknown"
}

func form(log *logrus.Logger, how string) {
	const stamp = "2006-01-02T15:04:05.000Z07:00"
	if how == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: stamp})
		return
	}
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: stamp})
}

// read reads the configuration and the operators' file.
func (l *line) read(extra Extra) (*protocol.Boot, *options.Options, error) {
	boot, err := configure()
	o, bad := l.choices()
	if bad != nil {
		return nil, nil, errors.Join(err, bad)
	}
	if extra.Flight == nil && (o.Flight.Listen != "" || o.Flight.Leaves) {
		err = errors.Join(err, errors.New("options: fields flight.listen and flight.leaves: expected \"\" and false, "+
			"as this program is built without Flight; brackenflight has it"))
	}
	if len(o.Fleet.Seats) > 0 {
		if extra.Fleet == nil {
			err = errors.Join(err, errNoFleet)
		} else if bad := extra.Fleet.Check(o); bad != nil {
			err = errors.Join(err, fmt.Errorf("options: %w", bad))
		}
	}
	if boot != nil && err == nil {
		err = guard(boot, o)
	}
	return boot, o, err
}

var errNoFleet = errors.New("options: field fleet.council: expected none, as this program is built without the fleet; brackenflight has it")

// choices reads the operators' file alone.
func (l *line) choices() (*options.Options, error) {
	var raw []byte
	if l.Options != "" {
		var err error
		if raw, err = os.ReadFile(l.Options); err != nil {
			return nil, fmt.Errorf("options: %w", err)
		}
	}
	o, err := options.Read(raw, os.Getenv, l.Set)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return o, nil
}

// fleet asks the fleet for an operator; what names it is in the options, and no broker has to run here.
func (l *line) fleet(extra Extra, command []string) error {
	o, err := l.choices()
	if err != nil {
		return err
	}
	if len(o.Fleet.Seats) == 0 {
		return errors.New("options: field fleet.council: got none, expected the fleet's to ask it")
	}
	if extra.Fleet == nil {
		return errNoFleet
	}
	a := Ask{What: command[1], JSON: l.Fleet.JSON, From: l.Fleet.Leases.From, Most: l.Fleet.Leases.Most}
	if a.What == "council" {
		a.What, a.Seat, a.With = "replace", l.Fleet.Council.Replace.Seat, l.Fleet.Council.Replace.With
	}
	if a.What == "roll" {
		r := &l.Fleet.Roll
		a.Word, a.Act, a.AtOnce, a.Least, a.Wait, a.Only = command[2], r.Begin.Act, r.Begin.AtOnce, r.Begin.Least, r.Begin.Wait, r.Begin.Only
		if a.Word == "skip" {
			a.Only = []string{r.Skip.Broker}
		}
	}
	return extra.Fleet.Ask(o, a)
}

// guard puts the operator's choices on whole halls into the terms. What a hall begins again with, and for how
// long, the settings say of a single cold node.
func guard(boot *protocol.Boot, o *options.Options) error {
	known := []string{boot.Zone}
	for _, h := range boot.Known.Hosts {
		if !slices.Contains(known, h.Zone) {
			known = append(known, h.Zone)
		}
	}
	if err := o.Halls.Ranks.Check(boot.Zone, known); err != nil {
		return fmt.Errorf("options: field halls.order: %w", err)
	}
	boot.Order = o.Halls.Ranks
	if o.Halls.Guard {
		boot.Terms.Halls = boot.Stated(float64(o.Halls.Spill)/100, float64(o.Halls.WaitMS)/1e3,
			float64(o.Halls.LongestMS)/1e3, float64(o.Halls.ForgetMS)/1e3)
	}
	return nil
}

// shared are all connections that share the descriptors with clients' over HTTP.
type shared struct {
	backs []clients.Others
	doors []Door
}

func (s *shared) Open() (n int) {
	for _, b := range s.backs {
		n += b.Open()
	}
	for _, d := range s.doors {
		n += d.Open()
	}
	return n
}

func (s *shared) Shorten(most int) (done int) {
	for _, b := range s.backs {
		done += b.Shorten(most - done)
	}
	return done
}

// late is how long new connections may go on coming after SIGTERM, by the protocol's page.
const late = 700 * time.Millisecond

// slack is by how much every time limit is longer on sockets, by the protocol's page.
const slack = 50 * time.Millisecond

// spare is the share of the memory limit left to what the Go runtime does not count.
const spare = 0.125

// unused is the part of the descriptors that clients' connections may stand unused on: half of the third
// that the platform lets clients hold for requests.
const unused = 6

func (l *line) run(log *logrus.Logger, extra Extra) error {
	boot, chosen, err := l.read(extra)
	if err != nil {
		return err
	}
	apply(log, chosen)
	// From the start on, and while draining, too: by default it would end the program.
	// One channel each, as what finds its channel full is dropped: of equal ones no more than one need wait.
	on := func(s os.Signal) chan os.Signal {
		c := make(chan os.Signal, 1)
		signal.Notify(c, s)
		return c
	}
	term, interrupt, hangup, usr := on(syscall.SIGTERM), on(syscall.SIGINT), on(syscall.SIGHUP), on(syscall.SIGUSR1)
	limit(boot)

	tick := time.Duration(boot.Terms.Tick * float64(time.Second))
	fleet := nodes.NewFleet(stated(boot, tick), log)
	backs, pool, room := []routing.Leaves{fleet}, &shared{backs: []clients.Others{fleet}}, &parts.Room{}
	var leaves Back
	if chosen.Flight.Leaves {
		room.Most = int64(chosen.Flight.HeldMB) << 20
		leaves = extra.Flight.Back(boot, chosen, room, log)
		backs, pool.backs = append(backs, leaves), append(pool.backs, leaves)
	}
	router, err := routing.New(boot.Deployment, boot.Known, backs...)
	if err != nil {
		return fmt.Errorf("configuration: field settings: %w", err)
	}
	list := watch.New(boot.Discovery, boot.Known, tick, log, router.Listed, router.Unlisted)
	tripper := router.Tripper()
	server, err := clients.Listen(boot.Listen, clients.Limits{Request: boot.Longest, Idle: boot.Idle,
		Most: boot.Sockets - reserve(boot.Sockets), Unused: boot.Sockets / unused, Pause: tick}, tripper, router.Ready, pool, log)
	if err != nil {
		return err
	}
	fleet.Share(server.Shorten)
	list.Share(server.Shorten)
	if boot.Terms.Asked {
		router.Follow(list.Start)
	} else {
		list.Start()
	}
	if leaves != nil {
		leaves.Share(server.Shorten)
	}
	var door Door
	if chosen.Flight.Listen != "" {
		if door, err = extra.Flight.Door(boot, chosen, router, log); err != nil {
			return err
		}
		pool.doors = append(pool.doors, door)
	}

	var party Party
	asked := wishes{turns: make(chan chan error), restart: make(chan struct{}, 1), trim: make(chan struct{}, 1), over: make(chan struct{})}
	defer close(asked.over)
	if len(chosen.Fleet.Seats) > 0 {
		if party, err = extra.Fleet.Start(chosen, boot, asked.own(router, tripper), log); err != nil {
			return err
		}
		if party.Shares() {
			fleet.Bound(party.Connections, party.Connected)
			party.Settle(boot.Deployment)
			router.Share(party)
		}
		if party.Tries() {
			party.Bind(router.Try)
			router.Consult(party)
		}
		log.WithField("broker", chosen.Fleet.Broker).WithField("listen", party.Addr()).Info("in the fleet")
	}

	served, drained := make(chan error, 2), make(chan struct{})
	watched := make(chan struct{}) // the log's own goroutine, as the router waits for no log
	go func() {
		defer close(watched)
		for h := range router.Halls {
			told(log, "hall "+h.Was.String()+" to "+h.Stage.String(), h)
		}
	}()
	router.Start()
	go func() { served <- server.Serve() }()
	counters := func() {
		report(log, router, tripper, fleet, server, list)
		if leaves != nil {
			leaves.Report(log)
		}
		if door != nil {
			door.Report(log)
		}
		if party != nil {
			party.Report()
		}
	}
	if door != nil {
		go func() { served <- door.Serve() }()
		log.WithField("listen", door.Addr()).Info("serving Flight")
	}
	log.WithField("name", boot.Name).WithField("listen", server.Addr()).WithField("nodes", len(boot.Known.Hosts)).
		WithField("memory", debug.SetMemoryLimit(-1)).WithField("processors", runtime.GOMAXPROCS(0)).Info("serving")
	asked.serving.Store(true)

	longest := boot.Longest // of all settings so far: what is in hand goes by those it came under
	reload := func() error {
		var again *protocol.Boot
		var newer *options.Options
		// Guards against losing a reload to clients that hold all descriptors.
		err := parts.Patiently(context.Background(), server.Shorten, tick, boot.Connect, func() (err error) {
			again, newer, err = l.read(extra)
			return err
		})
		if err != nil {
			log.WithError(err).Error("the configuration could not be read again, the running one stays")
			return err
		}
		limit(again)
		apply(log, newer)
		if party != nil {
			if err := party.Rekey(); err != nil {
				log.WithError(err).Error("fleet: the keys could not be read again, the running ones stay")
			}
		}
		fixed := boot.Differs(again) // with any of these, none of the settings holds
		if leaves != nil && !boot.Links(again.Deployment) {
			fixed = append(fixed, "settings.policyLimits (with flight.leaves)")
		}
		restart := append(slices.Clone(fixed), chosen.Differs(newer)...)
		switched, moved := false, !boot.Layout(again.Deployment)
		if moved {
			again.Known.Of = boot.Known.Of + 1
		}
		if len(fixed) == 0 && !boot.Same(again.Deployment) {
			if err := router.Restate(again.Deployment, again.Known); err != nil {
				log.WithError(err).Error("the configuration could not be put in force, the running one stays")
				return err
			}
			if party != nil && party.Shares() {
				party.Settle(again.Deployment)
			}
			fleet.Restate(stated(again, tick))
			server.Restate(again.Longest)
			longest = max(longest, again.Longest)
			boot.Deployment, boot.Known.Of, switched = again.Deployment, again.Known.Of, true
		}
		var from *protocol.Listing // the version in hand
		if switched && moved {
			from = &again.Known
		}
		list.Move(again.Discovery, from)
		log.WithField("discovery", again.Discovery).WithField("switched", switched).WithField("restart", restart).
			Info("configuration read again")
		if len(restart) > 0 {
			return fmt.Errorf("only a restart puts in force: %s", strings.Join(restart, ", "))
		}
		return nil
	}
	draining := false
	drain := func() {
		draining = true
		asked.serving.Store(false)
		bound := late + longest
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			var doors sync.WaitGroup
			if door != nil {
				doors.Go(func() { door.Drain(ctx, late) })
			}
			if party != nil { // leases first of all: others wait for them
				doors.Go(func() { party.Close(ctx) })
			}
			server.Drain(ctx, late)
			doors.Wait()
			close(drained)
		}()
	}
	for {
		select {
		case <-usr:
			counters()
		case <-hangup:
			reload()
		case s := <-term:
			if draining { // whoever means to end it at once has SIGINT, or SIGKILL
				log.WithField("signal", s.String()).Info("draining already")
				break
			}
			log.WithField("signal", s.String()).Info("draining")
			drain()
		case s := <-interrupt:
			if draining {
				return errors.New("interrupted while draining")
			}
			log.WithField("signal", s.String()).Info("draining")
			drain()
		case told := <-asked.turns:
			if draining {
				told <- errDraining
			} else {
				told <- reload()
			}
		case <-asked.trim:
			fleet.Trim()
		case <-asked.restart:
			if !draining {
				log.Info("draining to be started again")
				drain()
			}
		case err := <-served:
			if err != nil {
				return err
			}
		case <-drained:
			list.Close()
			counters()
			router.Stop()
			close(router.Halls)
			<-watched
			fleet.Close()
			if leaves != nil {
				leaves.Close()
			}
			log.Info("ended")
			return nil
		}
	}
}

// errDraining answers a switch that comes while the program ends.
var errDraining = errors.New("this broker is draining")

// wishes are what the fleet asks of the program's own goroutine.
type wishes struct {
	turns   chan chan error
	restart chan struct{}
	trim    chan struct{} // parts of budgets have changed
	over    chan struct{} // closed when the program has ended
	serving atomic.Bool   // it has said that it serves, and is not draining
}

// cut has connections beyond a share closed soon.
func (w *wishes) cut() {
	select {
	case w.trim <- struct{}{}:
	default: // asked already
	}
}

func (w *wishes) own(router *routing.Router, tripper *routing.Tripper) Own {
	return Own{
		Counters: func() map[string]int64 { return tally(router, tripper) },
		Divided:  w.cut,
		Ready:    func() bool { return w.serving.Load() && router.Ready() },
		Switch: func() error {
			told := make(chan error, 1)
			select {
			case w.turns <- told:
				return <-told
			case <-w.over:
				return errDraining
			}
		},
		Restart: func() {
			select {
			case w.restart <- struct{}{}:
			default: // asked already
			}
		},
	}
}

// apply puts in force what an operator can change while the program runs.
func apply(log *logrus.Logger, o *options.Options) {
	if level, err := logrus.ParseLevel(o.Log.Level); err == nil {
		log.SetLevel(level)
	}
	form(log, o.Log.Format)
}

// stated are the limits that the settings put on connections to nodes.
func stated(b *protocol.Boot, tick time.Duration) nodes.Limits {
	return nodes.Limits{Streams: b.Streams, Connect: b.Connect, Idle: b.Idle, Longest: b.Longest,
		Cancel: b.Terms.MayCancel, Pause: tick, Stale: max(slack-tick, tick)}
}

// limit applies what can change while the program runs.
func limit(boot *protocol.Boot) {
	debug.SetMemoryLimit(int64(float64(boot.Memory) * (1 - spare)))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(boot.Cores))))
}

// reserve is how many descriptors are kept for what is no connection of clients or nodes, and
// for those that are accepted or dialled while unused ones are being closed.
func reserve(sockets int) int { return sockets / 8 }

func configure() (*protocol.Boot, error) {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("configuration: ROUTER_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return protocol.ParseBoot(raw, func(field string) string { return os.Getenv("ROUTER_" + strings.ToUpper(field)) })
}
