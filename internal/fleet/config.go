package fleet

import (
	"slices"
	"time"

	"brackenfront/lease"
)

// CouncilBroker is the name and the address of one broker of the council, as the operator's settings give them.
type CouncilBroker struct {
	// Broker is the broker's name, which is unique in the fleet.
	Broker string
	// Addr is the address, host:port, at which the broker listens for the fleet.
	Addr string
}

// Config is the operator's configuration of this broker as a member of the fleet. The JSON names are those under which a
// test rig passes it to the processes that it starts.
type Config struct {
	// Broker is the name of this broker, which is unique in the fleet.
	Broker string
	// Listen is the address, host:port, at which this broker listens for the fleet; empty for none. It is required for a
	// broker of the council.
	Listen string
	// KeyFile is the path of the file with the keys by which the fleet's brokers authenticate each other.
	KeyFile string `json:"Keys"`
	// CouncilDir is the directory in which this broker stores the council's state. It is required for a broker of the
	// council.
	CouncilDir string `json:"Dir"`
	// Council lists the names and addresses of the brokers of the council: 3, 5 or 7 of them.
	Council []CouncilBroker
	// FoundingNumber is a number above 0 that the operator chooses. It has to be higher than those of councils that the same
	// brokers have founded (set up for the first time) earlier, so that all tokens of this council are higher than theirs.
	FoundingNumber uint32 `json:"Founding"`
	// Terms are the durations and limits of leases. They are the same for all brokers of the fleet.
	Terms lease.Config
	// Tick is the period of the council's Raft timer: a tenth of the shortest time after which a silent leader is
	// replaced.
	Tick time.Duration

	// ReportFile is the path of the file for the report on the whole fleet; empty if this broker never writes it.
	ReportFile string `json:"Report"`
	// ReportInterval is the time between two reports on the fleet.
	ReportInterval time.Duration `json:"Every"`
	// RollingRestarts makes this broker reload its settings when the leader of a rolling restart orders it to; a member
	// of the council may also lead rolling restarts.
	RollingRestarts bool `json:"Roll"`
	// SharedHealthProbes enables shared health probes of unavailable nodes: one broker of a zone probes them on behalf of
	// the others.
	SharedHealthProbes bool `json:"Trials"`
	// Zone is the zone of this broker, for shared health probes.
	Zone string `json:"Hall"`
	// SharedBudgets divides the budgets of the fleet between its brokers.
	SharedBudgets bool `json:"Shared"`
	// Restartable says that a supervisor starts this process again once it has ended normally, so that this broker can be
	// restarted in a rolling restart.
	Restartable bool `json:"Again"`
	// Local holds the functions of the broker in this process that the fleet calls. It is not part of the JSON form.
	Local LocalBroker `json:"-"`
}

// LocalBroker holds functions of the broker in this process, which the fleet calls from any goroutine. Each may be nil.
type LocalBroker struct {
	// Counters returns the broker's counters since its start, by name; "answered", for example, counts the answered searches.
	Counters func() map[string]int64
	// Ready reports whether the broker accepts searches now.
	Ready func() bool
	// ReloadSettings reads the broker's settings again. If it returns an error, the previous settings stay in force.
	ReloadSettings func() error
	// DrainForRestart starts to drain the broker, after which its process ends normally. It does not wait for that.
	DrainForRestart func()
	// SharesChanged is called when the shares of budgets that this broker may use have changed. It must not block.
	SharesChanged func()
}

// InCouncil reports whether this broker is one of the brokers in Council.
func (c Config) InCouncil() bool {
	return slices.ContainsFunc(c.Council, func(configured CouncilBroker) bool { return configured.Broker == c.Broker })
}
