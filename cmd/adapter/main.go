// Command adapter puts the decisions of package balance on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"brackenfront/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
