// Command adapter connects the brokers of package balance to the simulator: it speaks the simulator's protocol on
// standard input and output.
package main

import (
	"fmt"
	"os"

	"brackenfront/internal/simwire"
)

// main answers the simulator's messages until standard input ends, and then exits with status 0. After an error, which
// it writes to standard error, it exits with status 1.
func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
