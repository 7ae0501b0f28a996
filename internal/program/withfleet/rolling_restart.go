package withfleet

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"brackenfront/internal/fleet"
	"brackenfront/internal/program"
	"brackenfront/rollingrestart"
)

// rollingRestartCommands maps the word that follows "fleet roll" on the command line to the command of package
// rollingrestart.
var rollingRestartCommands = map[string]rollingrestart.Command{
	"begin": rollingrestart.CommandBegin,
	"on":    rollingrestart.CommandResume,
	"back":  rollingrestart.CommandRevert,
	"stop":  rollingrestart.CommandStop,
	"skip":  rollingrestart.CommandSkip,
	"end":   rollingrestart.CommandEnd,
}

// runRollingRestart sends the council a command for the rolling restart, except for "status", and then prints the plan in force on
// standard output, as lines or as JSON.
func runRollingRestart(ctx context.Context, adminClient fleet.AdminClient, command program.FleetCommand) (err error) {
	var plan rollingrestart.Plan
	if command.RollingRestartCommand == "status" {
		plan, err = adminClient.RollingRestartPlan(ctx)
	} else {
		plan, err = adminClient.SubmitInstruction(ctx, instructionOf(command))
	}
	if err != nil {
		return err
	}
	if command.JSON {
		return printPlanJSON(plan)
	}
	return printPlan(plan)
}

// instructionOf converts an operator's command for the rolling restart to the instruction that the council takes.
func instructionOf(command program.FleetCommand) rollingrestart.Instruction {
	instruction := rollingrestart.Instruction{
		Command:         rollingRestartCommands[command.RollingRestartCommand],
		Action:          rollingrestart.Restart,
		MaxConcurrent:   command.MaxConcurrent,
		MinSuccessShare: command.MinSuccessShare,
		TimeoutSeconds:  command.BrokerTimeout.Seconds(),
		Brokers:         command.Brokers,
	}
	if command.BrokerAction == rollingrestart.ReloadSettings.String() {
		instruction.Action = rollingrestart.ReloadSettings
	}
	return instruction
}

// printPlanJSON prints the plan of a rolling restart on standard output as JSON.
func printPlanJSON(plan rollingrestart.Plan) error {
	turnsByState := map[string]int{}
	for _, turn := range plan.Turns {
		turnsByState[turn.State.String()]++
	}
	// turnOutput is the JSON form of one broker's turn in the rolling restart, in which it restarts or reads its settings
	// again. Voter says whether it is a voter of the council, State how far the turn has come, and Reason why.
	type turnOutput struct {
		Broker string `json:"broker"`
		Voter  bool   `json:"seat,omitempty"`
		State  string `json:"step"`
		Reason string `json:"why,omitempty"`
	}
	// output is the JSON form of the rolling restart's plan. Action is what each broker does in its turn, Reverting is
	// set for a repeat for the brokers that are done, Stage is the state of the whole (such as running, stopped or done),
	// MaxConcurrent is how many brokers may be unavailable at a time, and TurnsByState counts the turns in each state.
	output := struct {
		Action        string         `json:"act,omitempty"`
		Reverting     bool           `json:"back,omitempty"`
		Stage         string         `json:"stage"`
		StopReason    string         `json:"why,omitempty"`
		MaxConcurrent int            `json:"at_once,omitempty"`
		TurnsByState  map[string]int `json:"counts,omitempty"`
		Turns         []turnOutput   `json:"turns,omitempty"`
	}{plan.Action.String(), plan.Reverting, plan.Stage.String(), plan.StopReason, plan.MaxConcurrent, turnsByState, nil}
	for _, turn := range plan.Turns {
		output.Turns = append(output.Turns, turnOutput{turn.Broker, turn.Voter, turn.State.String(), turn.Reason})
	}
	return printJSON(output)
}

// printPlan prints the plan of a rolling restart on standard output: a line with the stage of the whole (such as running, stopped or
// done), and a table of the brokers' turns.
func printPlan(plan rollingrestart.Plan) error {
	if plan.Stage == rollingrestart.StageNone {
		fmt.Println("no roll yet")
		return nil
	}
	action := plan.Action.String()
	if plan.Reverting {
		action += ", back"
	}
	fmt.Printf("%s, %d at once: %s", action, plan.MaxConcurrent, plan.Stage)
	if plan.StopReason != "" {
		fmt.Printf(" (%s)", plan.StopReason)
	}
	fmt.Println()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "broker\tcouncil\tstep\twhy")
	for _, turn := range plan.Turns {
		voter := ""
		if turn.Voter {
			voter = "seat"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", turn.Broker, voter, turn.State, turn.Reason)
	}
	return table.Flush()
}
