package fleet

import (
	"context"
	"fmt"
	"time"

	"brackenfront/internal/fleet/wire"
	"brackenfront/lease"
	"brackenfront/rollingrestart"
)

const (
	// instructionWaitSeconds is the longest time, in seconds, that SubmitInstruction waits in the council's queue for
	// instructionLease, under which an operator's instruction is written.
	instructionWaitSeconds = 10
	// sessionPollWait is the time between two checks of waitForEvent for a call that is due or an event.
	sessionPollWait = 20 * time.Millisecond
)

// RollingRestartPlan returns the plan of the current rolling restart, or of the last one if none is in progress.
func (a AdminClient) RollingRestartPlan(ctx context.Context) (rollingrestart.Plan, error) {
	note, err := a.Note(ctx, planLease)
	if err != nil {
		return rollingrestart.Plan{}, err
	}
	return readPlan(note)
}

// SubmitInstruction stores an operator's instruction for rolling restarts at the council, and waits until the broker that
// leads rolling restarts has processed it. It sets instruction.Number to one more than that of the previous instruction.
// It returns the plan as of the moment at which it found the instruction processed. The error says why the instruction was
// rejected, if it was and no later one has been processed by then.
func (a AdminClient) SubmitInstruction(ctx context.Context, instruction rollingrestart.Instruction) (plan rollingrestart.Plan, err error) {
	if err := a.changeNote(ctx, instructionLease, func(before []byte) ([]byte, error) {
		var last rollingrestart.Instruction
		if len(before) > 0 {
			if err := lease.Decode(before, &last); err != nil {
				return nil, err
			}
		}
		instruction.Number = last.Number + 1
		return lease.Encode(instruction), nil
	}); err != nil {
		return plan, err
	}
	for {
		if plan, err = a.RollingRestartPlan(ctx); err == nil && plan.InstructionNumber >= instruction.Number {
			if plan.InstructionNumber == instruction.Number && plan.Refusal != "" {
				err = fmt.Errorf("fleet: the roll: %s", plan.Refusal)
			}
			return plan, err
		}
		select {
		case <-ctx.Done():
			return plan, fmt.Errorf("fleet: the instruction is written, but no broker that leads rolling restarts has read it yet; is fleet.roll on at the council's brokers? %w", ctx.Err())
		case <-time.After(adminRetryWait):
		}
	}
}

// changeNote replaces the note of the lease with the given name by the result of change, which gets the previous note; an
// error of change is returned, and nothing is written. It opens a lease session of its own, acquires the lease, reads and
// writes the note and ends the session.
func (a AdminClient) changeNote(ctx context.Context, name string, change func(before []byte) ([]byte, error)) error {
	session := lease.NewSession("", "", func() (id lease.ID) {
		a.Environment.Random(id[:])
		return id
	})
	session.Acquire(name, 1, instructionWaitSeconds)
	event, err := a.waitForEvent(ctx, session, false)
	if err != nil {
		return err
	}
	if event.Status != lease.Granted {
		return fmt.Errorf("fleet: lease %s: the council says %s", name, event.Status)
	}
	note, err := a.Note(ctx, name)
	if err != nil {
		return err
	}
	changed, err := change(note.Data)
	if err != nil {
		return err
	}
	session.WriteNote(name, changed)
	if event, err = a.waitForEvent(ctx, session, true); err == nil && event.Status != lease.Written {
		err = fmt.Errorf("fleet: note of lease %s: the council says %s", name, event.Status)
	}
	if err != nil {
		return err
	}
	// The note is written whether or not the council learns of the session's end; if it does not, the session expires.
	session.End()
	a.waitForEvent(ctx, session, true)
	return nil
}

// waitForEvent makes the session's calls until there is an event for the lease that the session has requested, or for its note
// if note is true, or until the session has ended, for which it returns the zero Event.
func (a AdminClient) waitForEvent(ctx context.Context, session *lease.Session, note bool) (event lease.Event, err error) {
	for {
		call, due := session.NextCall(a.Environment.Now(), false)
		if due {
			reply, err := a.askLeader(ctx, clientRequest{Handle: call.Attempt, Call: &call})
			if err != nil {
				return event, err
			}
			if reply.Answer == nil {
				return event, wire.ErrMalformed
			}
			session.HandleAnswer(a.Environment.Now(), *reply.Answer)
		}
		for _, candidate := range session.TakeEvents() {
			if candidate.Status != lease.Waiting && candidate.Note == note {
				return candidate, nil
			}
		}
		if session.Ended() {
			return event, nil
		}
		select {
		case <-ctx.Done():
			return event, ctx.Err()
		case <-time.After(sessionPollWait):
		}
	}
}
