package fleetrig

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"brackenfront/internal/fleet"
)

// operate sends operations to the checker one after the other while turn, a lease that the process has just been granted, is valid, at
// most 32 of them. It calls report with a claim to hold the lease before each operation, and with a claim whose End is set at the end.
// machineClock returns the machine's time in seconds. operations counts the operations of this process under all its leases, to which
// FreezeAt refers.
func (o Orders) operate(ctx context.Context, turn *fleet.TaskLease, machineClock func() float64, report func(Claim), operations *atomic.Int64) {
	claim := func(end bool) {
		now := machineClock()
		report(Claim{turn.Name, turn.Token, turn.Place, now, turn.ValidUntil() / o.ClockRate, end, ""})
	}
	claim(false)
	defer claim(true)
	conn, err := net.DialTimeout("tcp", o.TargetAddr, 300*time.Millisecond)
	if err != nil {
		return
	}
	defer conn.Close()
	decoder := json.NewDecoder(bufio.NewReader(conn))
	encoder := json.NewEncoder(conn)
	// The number of steps varies with the token, so that some turns are short and some long.
	steps := 3 + int(turn.Token*7%30)
	for step := 0; step < steps && (o.IgnoresLeaseEnd || ctx.Err() == nil && turn.Valid()); step++ {
		claim(false)
		if operations.Add(1) == int64(o.FreezeAt) {
			report(Claim{Note: noteFrozen})
			syscall.Kill(os.Getpid(), syscall.SIGSTOP)
			// The signal reaches this thread within the sleep.
			time.Sleep(100 * time.Millisecond)
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		if encoder.Encode(Operation{Lease: turn.Name, Token: turn.Token, Place: turn.Place, Broker: o.NodeConfig.Broker, Step: step}) != nil {
			return
		}
		var verdict string
		if decoder.Decode(&verdict) != nil || verdict != "done" {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
