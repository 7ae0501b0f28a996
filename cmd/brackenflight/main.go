// Command brackenflight is the query router brackenfront with its optional features built in: Arrow Flight, and the
// fleet of brokers.
//
// Terms of its tests:
//   - The council is the few brokers that keep the fleet's records by Raft; one of them is its leader.
//   - A stream is one call over Flight: a search, and its answer once that is there.
//   - The drain is the program's orderly end after SIGTERM or SIGINT: it answers what is in flight.
//   - A script (standin.Script) decides how the stand-in nodes of a test respond to attempts.
package main

import (
	"os"

	"brackenfront/internal/program"
	"brackenfront/internal/program/withfleet"
	"brackenfront/internal/program/withflight"
)

// main runs the command that the command line states, and exits with its exit code.
func main() {
	features := program.OptionalFeatures{Flight: withflight.NewSupport(), Fleet: withfleet.NewSupport()}
	os.Exit(program.Main("brackenflight", os.Args[1:], features))
}
