package rollingrestart

import (
	"fmt"
	"slices"
	"strings"
)

// Action is what each broker does when a rolling restart comes to it: restart, or reload its settings.
type Action uint8

const (
	// Restart shuts the broker down gracefully; the service manager that started it must start it again.
	Restart Action = iota + 1
	// ReloadSettings has the broker read its settings again while it goes on running.
	ReloadSettings
)

// actionNames holds, by Action, the name that operators see; the first, empty one is for no action.
var actionNames = [...]string{"", "restart", "switch"}

// String returns the action's name for operators.
func (a Action) String() string { return actionNames[a] }

// Command is what an operator wants done with a rolling restart, such as begin, stop or end it.
type Command uint8

const (
	// CommandBegin begins a rolling restart, with a new plan.
	CommandBegin Command = iota + 1
	// CommandResume continues a rolling restart from where it has stopped; brokers whose turns failed get another turn, with
	// the full timeout.
	CommandResume
	// CommandRevert has the brokers that have already restarted or reloaded their settings do so again, the last one first. The
	// operator must have put the earlier files and programs back before.
	CommandRevert
	// CommandStop stops a rolling restart: no further broker is given its turn until another command.
	CommandStop
	// CommandSkip leaves one broker, whose turn is not done, out of the rolling restart; it no longer counts as out of
	// service.
	CommandSkip
	// CommandEnd ends the rolling restart; brokers that have not had their turn keep running as they are.
	CommandEnd
)

// commandNames holds, by Command, the word that an operator types for each command; the first, empty one is for no command.
var commandNames = [...]string{"", "begin", "on", "back", "stop", "skip", "end"}

// String returns the command's name for operators.
func (c Command) String() string { return commandNames[c] }

// Instruction is an operator's latest command with its settings.
type Instruction struct {
	// Number identifies the instruction; later instructions have higher numbers.
	Number uint64 `cbor:"1,keyasint"`
	// Command is what the operator wants done with the rolling restart.
	Command Command `cbor:"2,keyasint"`
	// Action is what each broker does when its turn in the rolling restart comes; only CommandBegin uses it.
	Action Action `cbor:"3,keyasint,omitempty"`
	// MaxConcurrent is the largest number of brokers that may be out of service at a time; only CommandBegin uses it.
	MaxConcurrent int `cbor:"4,keyasint,omitempty"`
	// MinSuccessShare is the fraction of searches, from 0 to 1, that must succeed among each minEndedSearches or more that
	// end at the plan's brokers; below it the rolling restart stops. 0 is for no bound. Only CommandBegin uses it.
	MinSuccessShare float64 `cbor:"5,keyasint,omitempty"`
	// TimeoutSeconds is the time, in seconds, within which a broker must have carried out its action and accept searches
	// again, or the rolling restart stops; only CommandBegin uses it.
	TimeoutSeconds float64 `cbor:"6,keyasint,omitempty"`
	// Brokers names, for CommandBegin, the brokers to be taken through the rolling restart (none for all), and for CommandSkip
	// the single broker to be left out.
	Brokers []string `cbor:"7,keyasint,omitempty"`
}

// maxBrokers is the largest number of brokers that the council may know when a rolling restart begins; with more it is refused.
const maxBrokers = 4096

// byOperator is the reason that a plan has for its stop or end, or a turn for being skipped, if an operator ordered that.
const byOperator = "by an operator"

// KnownBroker is a broker on the council's list of brokers.
type KnownBroker struct {
	// Broker is the broker's name in the fleet.
	Broker string
	// Addr is the network address at which the broker takes connections from other brokers of the fleet; empty if it takes
	// none, in which case a rolling restart skips it.
	Addr string
	// Voter is true if the broker has a vote in the council.
	Voter bool
}

// Apply changes the plan as an operator's instruction says. known lists the brokers that the council knows, from which
// CommandBegin takes those of the new plan; other commands don't use it. It returns false if an instruction with this or a
// higher number was handled before. A refused instruction returns true as well: the plan's Refusal then says why.
func (l *Leader) Apply(instruction Instruction, known []KnownBroker) bool {
	plan := &l.plan
	if instruction.Number <= plan.InstructionNumber {
		return false
	}
	plan.InstructionNumber = instruction.Number
	plan.Refusal = ""
	refuse := func(format string, args ...any) { plan.Refusal = fmt.Sprintf(format, args...) }
	if instruction.Command != CommandBegin && !plan.Unfinished() {
		refuse("no rolling restart is under way")
		return true
	}
	switch instruction.Command {
	case CommandBegin:
		l.begin(instruction, known, refuse)
	case CommandResume:
		l.resume(instruction.Number)
	case CommandRevert:
		l.revert(instruction.Number)
	case CommandStop:
		plan.Stage = StageStopped
		plan.StopReason = byOperator
	case CommandSkip:
		l.skip(instruction.Brokers, refuse)
	case CommandEnd:
		plan.Stage = StageEnded
		plan.StopReason = byOperator
	default:
		refuse("unknown command %d", instruction.Command)
	}
	return true
}

// resume continues a stopped plan under a new plan ID, the number of the operator's instruction. Brokers whose turns failed
// get another turn, with the full timeout.
func (l *Leader) resume(id uint64) {
	plan := &l.plan
	for i := range plan.Turns {
		if turn := &plan.Turns[i]; turn.State == TurnFailed {
			turn.State = TurnInProgress
			turn.Reason = ""
		}
	}
	plan.ID = id
	plan.Stage = StageRunning
	plan.StopReason = ""
	l.forgetObservations()
}

// revert continues with a plan that undoes the present one, after the operator has put the earlier files and programs back: the
// brokers whose turns are done act once more, the last one first. A broker whose turn is in progress or has failed may still
// act by its order, so that turn goes on and is repeated (Turn.Repeat). All other brokers get no turn. id is the new plan ID,
// the number of the operator's instruction.
func (l *Leader) revert(id uint64) {
	plan := &l.plan
	var turns []Turn
	for _, turn := range slices.Backward(plan.Turns) {
		switch turn.State {
		case TurnDone:
			turn.State = TurnWaiting
		case TurnInProgress, TurnFailed:
			// The broker may still act, so it counts as out of service until it is back.
			turn.State = TurnInProgress
			turn.Reason = ""
			turn.Repeat = true
		default:
			continue
		}
		turns = append(turns, turn)
	}
	plan.ID = id
	plan.Reverting = !plan.Reverting
	plan.Stage = StageRunning
	plan.StopReason = ""
	plan.Turns = turns
	l.forgetObservations()
}

// skip leaves out the one broker that brokers names, unless its turn is done. It calls refuse with the reason, in the manner of
// fmt.Sprintf, if that broker has no turn in the plan, the turn is done, or not exactly one broker is named.
func (l *Leader) skip(brokers []string, refuse func(string, ...any)) {
	plan := &l.plan
	index := -1
	if len(brokers) == 1 {
		index = slices.IndexFunc(plan.Turns, func(turn Turn) bool { return turn.Broker == brokers[0] })
	}
	switch {
	case index < 0:
		refuse("not in this rolling restart: %s", strings.Join(brokers, ", "))
	case plan.Turns[index].State == TurnDone:
		refuse("the turn of %s is done already", brokers[0])
	default:
		plan.Turns[index].State = TurnSkipped
		plan.Turns[index].Reason = byOperator
	}
}

// begin replaces the plan by a new one, as the instruction describes it, with turns for the known brokers. If the instruction
// cannot be followed it calls refuse with the reason, in the manner of fmt.Sprintf, and leaves the plan as it is.
func (l *Leader) begin(instruction Instruction, known []KnownBroker, refuse func(string, ...any)) {
	plan := &l.plan
	switch {
	case plan.Unfinished():
		refuse("a rolling restart is under way: %s, %s", plan.Action, plan.Stage)
		return
	case instruction.Action != Restart && instruction.Action != ReloadSettings || instruction.MaxConcurrent < 1 ||
		!(instruction.MinSuccessShare >= 0 && instruction.MinSuccessShare <= 1) || !(instruction.TimeoutSeconds > 0):
		refuse("settings out of range: action %q, %d brokers at once, success share %v, timeout %v s",
			instruction.Action, instruction.MaxConcurrent, instruction.MinSuccessShare, instruction.TimeoutSeconds)
		return
	case len(known) > maxBrokers:
		refuse("%d brokers, %d at the most", len(known), maxBrokers)
		return
	}
	var turns []Turn
	for _, broker := range known {
		if len(instruction.Brokers) > 0 && !slices.Contains(instruction.Brokers, broker.Broker) ||
			slices.ContainsFunc(turns, func(turn Turn) bool { return turn.Broker == broker.Broker }) {
			continue
		}
		turn := Turn{Broker: broker.Broker, Addr: broker.Addr, Voter: broker.Voter}
		if broker.Addr == "" {
			turn.State = TurnSkipped
			turn.Reason = "it does not listen for the fleet"
		}
		turns = append(turns, turn)
	}
	for _, name := range instruction.Brokers {
		if !slices.ContainsFunc(turns, func(turn Turn) bool { return turn.Broker == name }) {
			refuse("the council knows no broker %s", name)
			return
		}
	}
	slices.SortStableFunc(turns, compareTurns)
	*plan = Plan{InstructionNumber: plan.InstructionNumber, ID: instruction.Number, Action: instruction.Action,
		MaxConcurrent: instruction.MaxConcurrent, MinSuccessShare: instruction.MinSuccessShare,
		TimeoutSeconds: instruction.TimeoutSeconds, Stage: StageRunning, Turns: turns}
	l.forgetObservations()
}

// compareTurns compares two turns for sorting them into the order of a plan: it returns a negative number if turn a comes
// before b, a positive one if after, 0 if neither. Turns are ordered by the brokers' names, with the voters of
// the council last.
func compareTurns(a, b Turn) int {
	if a.Voter != b.Voter {
		if a.Voter {
			return 1
		}
		return -1
	}
	return strings.Compare(a.Broker, b.Broker)
}
