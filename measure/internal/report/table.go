// Package report prints the tables of the commands that measure figures. A row has what was measured, the figure, and the rule that the
// figure has to keep, such as an upper bound.
package report

import (
	"fmt"
	"os"
)

// Table prints measured figures to the standard output, one row for each, and records whether every figure keeps the rule that its
// row states.
type Table struct {
	// figureWidth is the width of the column of figures, in characters.
	figureWidth int
	// failed says that the rule of at least one row did not hold.
	failed bool
}

// NewTable returns a table without rows, whose column of figures is figureWidth characters wide, and prints the line of its headings.
func NewTable(figureWidth int) *Table {
	fmt.Printf("%-58s %-*s %-30s\n", "figure", figureWidth, "measured", "must")
	return &Table{figureWidth: figureWidth}
}

// Row prints one row: what was measured, the figure, and the rule (aim) that it has to keep, marked "holds" or "FAILS" by holds. It
// records the failure of a rule for ExitIfFailed.
func (t *Table) Row(holds bool, what, figure, aim string) {
	mark := "holds"
	if !holds {
		mark = "FAILS"
		t.failed = true
	}
	fmt.Printf("%-58s %-*s %-30s %s\n", what, t.figureWidth, figure, aim, mark)
}

// ExitIfFailed ends the process with the exit code 1 if a rule did not hold.
func (t *Table) ExitIfFailed() {
	if t.failed {
		os.Exit(1)
	}
}
