package program

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

// commandLine holds the commands and flags of the program. The library kong fills it in from the arguments, by its struct
// tags.
type commandLine struct {
	// Options is the path of the file with the operator's options; empty for none.
	Options string `help:"The file with the operator's options, JSON with comments." env:"BRACKENFRONT_OPTIONS" placeholder:"FILE"`
	// Set holds single options as FIELD=VALUE, which take precedence over the file and the environment.
	Set []string `help:"One option; it takes precedence over the file and the environment." placeholder:"FIELD=VALUE"`
	// Serve is the command that runs the broker; it is the default.
	Serve struct{} `cmd:"" default:"1" help:"Serve; the default command."`
	// Check is the command that reads the configuration and the options, prints them and ends.
	Check struct{} `cmd:"" help:"Read the configuration and the options, print the values and where they come from, and start nothing."`
	// Version is the command that prints the version of the build.
	Version struct{} `cmd:"" help:"Print the version."`
	// Fleet holds the commands to the fleet of brokers. FleetCommand, which they are converted to, describes their
	// arguments.
	Fleet struct {
		// JSON says whether the result is printed as JSON instead of tables.
		JSON   bool     `help:"Print JSON." name:"json"`
		Status struct{} `cmd:"" help:"Print the state of each broker of the council."`
		Leases struct {
			// First is the name at which the list of leases, which is sorted by name, starts.
			First string `help:"List the leases from this name on." name:"from"`
			// Max is how many leases are listed at most.
			Max int `help:"List at most so many leases." name:"most" default:"100"`
		} `cmd:"" help:"Print who holds each lease, and who waits for it."`
		Budgets struct{} `cmd:"" help:"Print how the budgets are divided among the brokers."`
		Council struct {
			Replace struct {
				ReplacedBroker    string `arg:"" name:"seat" help:"The broker that leaves the council."`
				ReplacementBroker string `arg:"" name:"with" help:"The broker that takes its place; it has to run, with an empty folder and with this council in its options."`
			} `cmd:"" help:"Replace one member of the council by another broker."`
		} `cmd:"" help:"Change the council, one member at a time."`
		RollingRestart struct {
			Status struct{} `cmd:"" default:"1" help:"Print its state; the default command."`
			Begin  struct {
				BrokerAction    string        `arg:"" name:"act" enum:"restart,switch" help:"restart: each broker drains, ends, and is started again by its supervisor; switch: each broker reads its settings again."`
				MaxConcurrent   int           `help:"Brokers that may be unavailable at a time." name:"at-once" default:"1"`
				MinSuccessShare float64       `help:"Share of searches that succeed, below which it stops; 0 for none." name:"least" default:"0.9"`
				BrokerTimeout   time.Duration `help:"Time within which a broker has to have ended and to be back." name:"wait" default:"1m"`
				Brokers         []string      `help:"Only these brokers." name:"only"`
			} `cmd:"" help:"Begin, with all brokers unless --only names some."`
			Resume struct{} `cmd:"" name:"on" help:"Go on after a stop."`
			Revert struct{} `cmd:"" name:"back" help:"Repeat it for the brokers that are done, the last one first; put the former files in place before."`
			Stop   struct{} `cmd:"" help:"Let no further broker begin."`
			Skip   struct {
				Broker string `arg:"" help:"The broker to leave out."`
			} `cmd:"" help:"Leave a broker out."`
			End struct{} `cmd:"" help:"End it as it stands."`
		} `cmd:"" name:"roll" help:"Restart the brokers, or have them read their settings again, a few at a time."`
	} `cmd:"" help:"Ask the fleet that the options name."`
}

// Exit codes of the program.
const (
	// exitFailure is the exit code of a command that failed.
	exitFailure = 1
	// exitUsage is the exit code for a command line that cannot be read.
	exitUsage = 2
)

// Main runs the program under the given name, which is used in its help and messages, with the arguments that follow the name on
// the command line. It returns the exit code: 0, 1 for a failure, 2 for a command line that cannot be read.
func Main(name string, arguments []string, features OptionalFeatures) (exitCode int) {
	log := logrus.New()
	setLogFormat(log, "text")
	var command commandLine
	// kong's help asks to exit here; the panic is recovered below.
	parser, err := kong.New(&command, kong.Name(name), kong.Description("A query router before a sharded, replicated store."),
		kong.Exit(func(code int) { panic(code) }))
	if err != nil {
		panic(err)
	}
	defer func() {
		if code, ok := recover().(int); ok {
			exitCode = code
		}
	}()
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return exitUsage
	}
	switch parsed.Command() {
	case "fleet status", "fleet leases", "fleet budgets", "fleet council replace <seat> <with>", "fleet roll status", "fleet roll begin <act>", "fleet roll on",
		"fleet roll back", "fleet roll stop", "fleet roll skip <broker>", "fleet roll end":
		if err := command.runFleetCommand(features, strings.Fields(parsed.Command())); err != nil {
			fmt.Fprintln(os.Stderr, name+":", err)
			return exitFailure
		}
	case "version":
		fmt.Println(name, version())
	case "check":
		config, operatorOptions, err := command.read(features)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
		fmt.Printf("configuration: %s on %s, discovery %s, %d nodes known, %d query types\n", config.Name, config.ListenAddress,
			config.DiscoveryAddress, len(config.InitialNodes.Nodes), len(config.Settings.Classes))
		for _, line := range operatorOptions.Describe() {
			fmt.Println(line)
		}
	default:
		if err := command.serve(log, features); err != nil {
			log.WithError(err).Error(name + " ends")
			return exitFailure
		}
	}
	return 0
}

// version returns the version of the program's module and that of Go, with a space between them, or "unknown".
func version() string {
	if build, ok := debug.ReadBuildInfo(); ok {
		return build.Main.Version + " " + build.GoVersion
	}
	return "unknown"
}

// runFleetCommand converts the words of the command line from "fleet" on into a FleetCommand, and runs it on the fleet that
// the options name; no broker has to run in this process. words are at least "fleet" and the command.
func (c *commandLine) runFleetCommand(features OptionalFeatures, words []string) error {
	operatorOptions, err := c.readOptions()
	if err != nil {
		return err
	}
	if len(operatorOptions.Fleet.CouncilMembers) == 0 {
		return errors.New("options: field fleet.council: got none, expected the fleet's to ask it")
	}
	if features.Fleet == nil {
		return errNoFleet
	}
	command := FleetCommand{
		Name:       words[1],
		JSON:       c.Fleet.JSON,
		FirstLease: c.Fleet.Leases.First,
		MaxLeases:  c.Fleet.Leases.Max,
	}
	if command.Name == "council" {
		command.Name = "replace"
		command.ReplacedBroker = c.Fleet.Council.Replace.ReplacedBroker
		command.ReplacementBroker = c.Fleet.Council.Replace.ReplacementBroker
	}
	if command.Name == "roll" {
		restart := &c.Fleet.RollingRestart
		command.RollingRestartCommand = words[2]
		command.BrokerAction = restart.Begin.BrokerAction
		command.MaxConcurrent = restart.Begin.MaxConcurrent
		command.MinSuccessShare = restart.Begin.MinSuccessShare
		command.BrokerTimeout = restart.Begin.BrokerTimeout
		command.Brokers = restart.Begin.Brokers
		if command.RollingRestartCommand == "skip" {
			command.Brokers = []string{restart.Skip.Broker}
		}
	}
	return features.Fleet.RunCommand(operatorOptions, command)
}
