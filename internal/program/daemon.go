package program

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/options"
	"brackenfront/internal/protocol"
	"brackenfront/internal/routing"
	"brackenfront/internal/transport/clients"
	"brackenfront/internal/transport/nodes"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
	"brackenfront/internal/transport/watch"
)

// daemon is the running broker with all its components. Only the goroutine that calls run changes its fields.
type daemon struct {
	// log is the log of the program.
	log *logrus.Logger
	// command is the command line of the program; a reload reads the options again as it says.
	command *commandLine
	// features are the optional components of this build.
	features OptionalFeatures
	// config is the configuration that was read at the start, except that a reload replaces the settings (Deployment) and the
	// generation of the node list in it by those that it has put in force.
	config *protocol.Config
	// operatorOptions are the options that were read at the start; a reload applies the options of the log as it
	// reads them, and leaves these as they are.
	operatorOptions *options.Options
	// tick is the setting Settings.Tick as a duration: the unit of the short waits of all components, such as the wait before a
	// retry for lack of file descriptors.
	tick time.Duration
	// maxDeadline is the longest deadline for searches in all settings that were in force since the start, as requests in
	// flight keep the deadline of the settings that they began with.
	maxDeadline time.Duration

	// nodePool is the backend for nodes that speak frames.
	nodePool *nodes.ConnPool
	// flightNodes is the backend for nodes that speak Flight; nil where the options turn it off.
	flightNodes NodeBackend
	// router accepts the searches of all frontends and sends their parts to nodes.
	router *routing.Router
	// roundTripper runs the searches that the frontend for HTTP receives on the router.
	roundTripper *routing.RoundTripper
	// watcher subscribes to the list of nodes at the discovery service and passes its updates to the router.
	watcher *watch.Watcher
	// clientTurns makes the clients of all frontends take turns at the processor.
	clientTurns *turns.Scheduler
	// peerTurns makes nodes, where they send what nobody waits for, and discovery take turns at the processor.
	peerTurns *turns.Scheduler
	// server is the frontend for clients that speak HTTP.
	server *clients.Server
	// closeUnused closes unused connections of the whole process, so that file descriptors become free: as many as exceed the
	// limit, and more besides that. It returns how many it closed; see descriptorLimit.closeUnused.
	closeUnused func(more int) int
	// flightFrontend is the frontend for clients that speak Flight; nil where there is none.
	flightFrontend Frontend
	// fleetMember is this process as a member of the fleet; nil where it is in no fleet.
	fleetMember FleetMember
	// requests passes what the fleet asks of this broker, such as to reload its settings, to the goroutine of run.
	requests fleetRequests

	// frontendEnded receives the result of each frontend's Serve when it returns.
	frontendEnded chan error
	// drained is closed once the drain is complete: every request that was in flight has its answer.
	drained chan struct{}
	// zoneLogEnded is closed once the goroutine that logs the changes of the zones' stages has ended.
	zoneLogEnded chan struct{}
	// draining is set once drain has been called.
	draining bool
}

// maxFrontends is the largest number of frontends: one for HTTP, one for Flight.
const maxFrontends = 2

// newDaemon makes all components, opens the listeners, joins the fleet if the options name one, and subscribes to the list
// of nodes unless the settings leave that to the router. It serves no clients yet; start does.
func newDaemon(log *logrus.Logger, command *commandLine, features OptionalFeatures, config *protocol.Config, operatorOptions *options.Options) (*daemon, error) {
	d := &daemon{
		log:             log,
		command:         command,
		features:        features,
		config:          config,
		operatorOptions: operatorOptions,
		maxDeadline:     config.MaxDeadline,
		tick:            time.Duration(config.Settings.Tick * float64(time.Second)),
		requests:        newFleetRequests(),
		frontendEnded:   make(chan error, maxFrontends),
		drained:         make(chan struct{}),
		zoneLogEnded:    make(chan struct{}),
		clientTurns:     newTurns(),
		peerTurns:       newTurns(),
	}
	d.nodePool = nodes.NewConnPool(nodeLimits(config, d.tick, d.peerTurns), log)
	connections := &sharedConnections{backends: []clients.ConnectionPool{d.nodePool}}
	if err := d.makeRouter(connections); err != nil {
		return nil, err
	}
	if err := d.listen(connections); err != nil {
		return nil, err
	}
	d.startWatcher()
	return d, d.joinFleet()
}

// makeRouter makes the backends for nodes, the router and the watcher of discovery, and adds the backend for Flight to
// connections, so that its connections count against the limit on file descriptors.
func (d *daemon) makeRouter(connections *sharedConnections) (err error) {
	backends := []routing.NodeBackend{d.nodePool}
	if d.operatorOptions.Flight.NodeBackends {
		answerMemory := &parts.MemoryBudget{MaxBytes: int64(d.operatorOptions.Flight.AnswerMemoryMB) << 20}
		d.flightNodes = d.features.Flight.NewNodeBackend(d.config, d.operatorOptions, answerMemory, d.peerTurns, d.log)
		backends = append(backends, d.flightNodes)
		connections.backends = append(connections.backends, d.flightNodes)
	}
	if d.router, err = routing.New(d.config.Deployment, d.config.InitialNodes, backends...); err != nil {
		return fmt.Errorf("configuration: field settings: %w", err)
	}
	d.router.LimitReplayMemory(d.config.MemoryBytes / replayMemoryDivisor)
	d.watcher = watch.New(d.config.DiscoveryAddress, d.config.InitialNodes, d.tick, d.log, d.router.UpdateNodesAndWait, d.router.DiscoveryFailed)
	d.watcher.SetTurns(d.peerTurns)
	d.router.SetSlowSearchReport(func(slow routing.SlowSearch) { logSlowSearch(d.log, slow) })
	d.roundTripper = d.router.RoundTripper()
	return nil
}

// startWatcher starts the subscription to the list of nodes, or, if the settings say so, lets the router start it when it
// needs the list. It has to be called after listen, as the watcher's connection shares the limit on file descriptors with
// all others.
func (d *daemon) startWatcher() {
	if d.config.Settings.NodeListOnRequest {
		d.router.SetWatchStarter(d.watcher.Start)
	} else {
		d.watcher.Start()
	}
}

// listen opens the listeners of the frontends, and makes all connections share the limit on file descriptors.
func (d *daemon) listen(connections *sharedConnections) (err error) {
	maxConnections := d.config.MaxSockets - reservedDescriptors(d.config.MaxSockets)
	d.server, err = clients.Listen(d.config.ListenAddress, clients.Limits{
		RequestTimeout:   d.config.MaxDeadline,
		IdleTimeout:      d.config.IdleTimeout,
		MaxConnections:   maxConnections,
		MaxUnused:        d.config.MaxSockets / unusedClientsDivisor,
		MaxRequestMemory: d.config.MemoryBytes / RequestMemoryDivisor,
		Turns:            d.clientTurns,
		AcceptRetryDelay: d.tick,
	}, d.roundTripper, d.router.Ready, connections, d.log)
	if err != nil {
		return err
	}
	limit := &descriptorLimit{maxConnections: maxConnections, server: d.server, otherConnections: connections}
	d.closeUnused = limit.closeUnused
	d.nodePool.SetCloseUnused(d.closeUnused)
	d.watcher.SetCloseUnused(d.closeUnused)
	if d.flightNodes != nil {
		d.flightNodes.SetCloseUnused(d.closeUnused)
	}
	if d.operatorOptions.Flight.Listen != "" {
		if d.flightFrontend, err = d.features.Flight.NewFrontend(d.config, d.operatorOptions, d.router, d.clientTurns, d.log); err != nil {
			return err
		}
		connections.frontends = append(connections.frontends, d.flightFrontend)
	}
	return nil
}

// joinFleet makes this process a member of the fleet and connects it with the router; it does nothing if the options name no
// fleet.
func (d *daemon) joinFleet() (err error) {
	if len(d.operatorOptions.Fleet.CouncilMembers) == 0 {
		return nil
	}
	d.fleetMember, err = d.features.Fleet.Join(d.operatorOptions, d.config, d.requests.localBroker(d.router, d.roundTripper), d.log)
	if err != nil {
		return err
	}
	if d.fleetMember.SharesBudgets() {
		d.nodePool.SetConnLimit(d.fleetMember.ConnectionLimit, d.fleetMember.RecordMostConnections)
		d.fleetMember.ConfigureBudgets(d.config.Deployment)
		d.router.SetAllowanceSource(d.fleetMember)
	}
	if d.fleetMember.SharesHealthProbes() {
		d.fleetMember.SetProbe(d.router.ProbeByAddress)
		d.router.SetProbeCoordinator(d.fleetMember)
	}
	d.log.WithField("broker", d.operatorOptions.Fleet.BrokerName).WithField("listen", d.fleetMember.Addr()).Info("in the fleet")
	return nil
}

// start starts the router, the frontends, which accept clients' connections, and the goroutine that logs when a zone enters
// another stage, that is, when searches are moved away from it or back to it.
func (d *daemon) start() {
	// Changes of zones are logged on a goroutine of their own, as the router must not wait for the log.
	go func() {
		defer close(d.zoneLogEnded)
		for zone := range d.router.ZoneChanges {
			logZone(d.log, "hall "+zone.PreviousStage.String()+" to "+zone.Stage.String(), zone)
		}
	}()
	d.router.Start()
	go func() { d.frontendEnded <- d.server.Serve() }()
	if d.flightFrontend != nil {
		go func() { d.frontendEnded <- d.flightFrontend.Serve() }()
		d.log.WithField("listen", d.flightFrontend.Addr()).Info("serving Flight")
	}
	d.log.WithField("name", d.config.Name).WithField("listen", d.server.Addr()).WithField("nodes", len(d.config.InitialNodes.Nodes)).
		WithField("memory", debug.SetMemoryLimit(-1)).WithField("processors", runtime.GOMAXPROCS(0)).Info("serving")
	d.requests.serving.Store(true)
}

// stop logs the counts and ends the components that remain after the drain: the watcher, the router and the backends.
func (d *daemon) stop() {
	d.watcher.Close()
	d.logCounters()
	d.router.Stop()
	close(d.router.ZoneChanges)
	<-d.zoneLogEnded
	d.nodePool.Close()
	d.clientTurns.Close()
	d.peerTurns.Close()
	if d.flightNodes != nil {
		d.flightNodes.Close()
	}
	d.log.Info("ended")
}

// logCounters logs the counts of every component.
func (d *daemon) logCounters() {
	logCounters(d.log, d.router, d.roundTripper, d.nodePool, d.server, d.watcher)
	d.logTurnCounts()
	if d.flightNodes != nil {
		d.flightNodes.LogCounters(d.log)
	}
	if d.flightFrontend != nil {
		d.flightFrontend.LogCounters(d.log)
	}
	if d.fleetMember != nil {
		d.fleetMember.LogCounters()
	}
}
