// Package rollingrestart takes the brokers of a fleet through a restart, or through reading their settings again, a few at a
// time. It decides whose turn is next, when a turn is complete and when the whole must stop. The plan is a value that outlives
// the broker that leads: each change of it is written down, under the leading broker's lease, before anything is done because
// of it, and the next leader continues from there.
//
// The plan never takes more than MaxConcurrent brokers out of service at a time, and never more than one voter of the
// council, the group of brokers that decides by majority what the whole fleet agrees on. A broker that is out of service for
// another reason than the plan counts as well. A broker acts only while the agreed plan says that it is its turn, and once
// for each plan, so a former leader that was paused, and then continues as if it still led, moves no broker. Reading the
// settings twice does no harm, because the same files are read again. A restart names the process that is to end, so it
// can't happen twice. An action that does not happen is noticed after TimeoutSeconds and stops the rolling restart.
//
// Terms of this package:
//   - A turn is one broker's part of the rolling restart: it acts, which means that it restarts or reads its settings again.
//   - An order is the leader's message to a broker that its turn has come.
//   - An instruction is an operator's command with its settings.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are in seconds of the leader's own clock; no time is
// stored in the plan.
package rollingrestart

import "slices"

// Stage is the state of a rolling restart as a whole, not of a single broker.
type Stage uint8

const (
	// StageNone means that there has been no rolling restart yet.
	StageNone Stage = iota
	// StageRunning means that brokers are given their turns.
	StageRunning
	// StageStopped means that no further broker is given its turn until an operator says how to proceed. A turn that is in
	// progress goes on.
	StageStopped
	// StageDone means that every broker has completed its turn or was skipped.
	StageDone
	// StageEnded means that an operator ended the rolling restart before it was done.
	StageEnded
)

// stageNames holds the names of the stages that operators see.
var stageNames = [...]string{"none", "running", "stopped", "done", "ended"}

// String returns the stage's name for operators.
func (s Stage) String() string { return stageNames[s] }

// TurnState is how far one broker has come in a rolling restart: waiting, acting, done, failed or left out.
type TurnState uint8

const (
	// TurnWaiting means that the broker has not been told to act (to restart or to reload its settings) yet.
	TurnWaiting TurnState = iota
	// TurnInProgress means that the broker is to act now, and has not been seen to accept searches again since.
	TurnInProgress
	// TurnDone means that the broker has acted and accepts searches again.
	TurnDone
	// TurnFailed means that the broker's action failed, or that it did not accept searches again within the plan's timeout.
	// If the broker is seen to have acted after all, TurnDone follows.
	TurnFailed
	// TurnSkipped means that the rolling restart leaves this broker out.
	TurnSkipped
)

// turnStateNames holds the names of the turn states that operators see.
var turnStateNames = [...]string{"waiting", "going", "gone", "failed", "skipped"}

// String returns the state's name for operators.
func (s TurnState) String() string { return turnStateNames[s] }

// Turn is the entry of one broker in a plan: when its turn comes, the broker restarts or reloads its settings.
type Turn struct {
	// Broker is the broker's name in the fleet.
	Broker string `cbor:"1,keyasint"`
	// Addr is the network address at which the broker takes connections from other brokers of the fleet; empty if it takes
	// none.
	Addr string `cbor:"2,keyasint,omitempty"`
	// Voter is true if the broker has a vote in the council.
	Voter bool `cbor:"3,keyasint,omitempty"`
	// State says whether the broker still waits for its turn, is to act now, has acted, has failed or is skipped.
	State TurnState `cbor:"4,keyasint,omitempty"`
	// Process is the 16-byte id of the broker's process that is to act in this turn; all zero before the turn starts. A
	// turn that is repeated names a new process when it starts again.
	Process [16]byte `cbor:"5,keyasint"`
	// Reason says why the turn failed or the broker is skipped; empty in other states.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Repeat is true if the broker must restart or reload its settings once more after this turn, because the plan was reverted
	// while it did so.
	Repeat bool `cbor:"7,keyasint,omitempty"`
}

// Plan is everything that the fleet has agreed on about the current or last rolling restart.
type Plan struct {
	// InstructionNumber is the number of the last instruction that was handled, followed or refused; it keeps the next
	// leader from following one twice.
	InstructionNumber uint64 `cbor:"1,keyasint"`
	// Refusal says why the last instruction was refused; empty if it was followed.
	Refusal string `cbor:"2,keyasint,omitempty"`
	// ID identifies the plan: it is the number of the instruction that began, resumed or reverted it.
	ID uint64 `cbor:"3,keyasint"`
	// Action is what each broker does when its turn comes: restart, or reload its settings.
	Action Action `cbor:"4,keyasint,omitempty"`
	// Reverting is true if brokers that had already restarted or reloaded their settings do so again, because an operator
	// put earlier files back. Reverting the plan once more sets it to false.
	Reverting bool `cbor:"5,keyasint,omitempty"`
	// MaxConcurrent is the largest number of brokers that may be out of service at a time.
	MaxConcurrent int `cbor:"6,keyasint,omitempty"`
	// MinSuccessShare is the fraction of searches, from 0 to 1, that must succeed among each minEndedSearches or more that
	// end at the plan's brokers; below it the rolling restart stops. 0 is for no bound.
	MinSuccessShare float64 `cbor:"7,keyasint,omitempty"`
	// TimeoutSeconds is the time, in seconds, within which a broker must have carried out its action and accept searches
	// again, or the rolling restart stops.
	TimeoutSeconds float64 `cbor:"8,keyasint,omitempty"`
	// Stage is the state of the rolling restart as a whole, such as running or stopped.
	Stage Stage `cbor:"9,keyasint,omitempty"`
	// StopReason says why the rolling restart stopped or was ended; empty in other stages.
	StopReason string `cbor:"10,keyasint,omitempty"`
	// Turns has an entry for each broker of the rolling restart, in the order in which they are to act.
	Turns []Turn `cbor:"11,keyasint,omitempty"`
}

// Unfinished returns true if a rolling restart is running, or stopped and waiting for an instruction.
func (p *Plan) Unfinished() bool { return p.Stage == StageRunning || p.Stage == StageStopped }

// IsTurnOf returns true if the named broker may act (restart or reload its settings) now: this is the plan with that ID, it is
// unfinished, and the broker's turn is in progress for its process with that 16-byte id.
func (p *Plan) IsTurnOf(id uint64, broker string, process [16]byte) bool {
	return p.Unfinished() && p.ID == id && slices.ContainsFunc(p.Turns, func(turn Turn) bool {
		return turn.Broker == broker && turn.State == TurnInProgress && turn.Process == process
	})
}
