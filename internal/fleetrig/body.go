package fleetrig

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/council"
)

// Orders are what a process of the rig is started with: its part in the fleet, how its clock and its disk go wrong,
// and what it acts on.
type Orders struct {
	Stated   fleet.Stated
	Rate     float64  // of its clock, against the machine's
	FailPut  int      // the n-th durable write fails; 0 for none
	Target   string   // where it acts; "" for a process that only has a seat
	Tasks    []string // the leases it acts under
	Margin   bool     // false: the baseline without the drift margin
	Freeze   int      // its n-th act: it stops itself between the look at its right and the act; 0 for never
	Careless bool     // the baseline that acts as long as it likes once it holds: no look at the right
}

// Claim is what a process says of a right, by the machine's clock, which all processes of the rig share: from At until
// Until it might act under the token. End says that it will not again.
type Claim struct {
	Lease string
	Token uint64
	Place int
	At    float64
	Until float64
	End   bool
	Note  string `json:",omitempty"`
}

// Act is one act, as it goes to a target.
type Act struct {
	Lease string
	Token uint64
	Place int
	Who   string
	N     int
}

// Body runs this process by the orders in the environment, if there are any, and does not return then.
func Body() {
	asProgram()
	raw := os.Getenv("FLEETRIG_ORDERS")
	if raw == "" {
		return
	}
	var o Orders
	if err := json.Unmarshal([]byte(raw), &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := o.live(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// failing is a Keeper whose n-th write fails.
type failing struct {
	council.Keeper
	left int
}

func (f *failing) Put(b council.Batch) error {
	if f.left--; f.left == 0 {
		return errors.New("a write that was ordered to fail")
	}
	return f.Keeper.Put(b)
}

func (o Orders) live() error {
	world := fleet.Real()
	machine := world.Now
	world.Now = func() float64 { return machine() * o.Rate }
	if o.FailPut > 0 {
		open := world.Open
		world.Open = func(dir string) (council.Keeper, bool, error) {
			k, aside, err := open(dir)
			return &failing{k, o.FailPut}, aside, err
		}
	}
	if !o.Margin { // what holders take for their right, and the council for its end, without the margin for drift
		o.Stated.Terms.Drift = 0
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	n, err := fleet.Start(o.Stated, world, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	say := func(c Claim) {
		mu.Lock()
		defer mu.Unlock()
		out.Encode(c)
	}
	var acts atomic.Int64
	var all sync.WaitGroup
	for _, task := range o.Tasks {
		all.Go(func() {
			for ctx.Err() == nil {
				t := fleet.Task{Name: task, Wait: 2 * time.Second, Most: time.Duration(o.Stated.Terms.TTL * 1.5 * float64(time.Second)), Bound: 50 * time.Millisecond}
				n.Act(ctx, t, func(ctx context.Context, turn *fleet.Turn) error {
					o.act(ctx, turn, machine, say, &acts)
					return nil
				})
				select {
				case <-ctx.Done():
				case <-time.After(30 * time.Millisecond):
				}
			}
		})
	}
	say(Claim{Note: "up"})
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	n.Close(end)
	all.Wait()
	return nil
}

// act acts on the target, in small steps, for as long as it may.
func (o Orders) act(ctx context.Context, turn *fleet.Turn, machine func() float64, say func(Claim), frozen *atomic.Int64) {
	claim := func(end bool) {
		now := machine()
		say(Claim{turn.Name, turn.Token, turn.Place, now, turn.Until() / o.Rate, end, ""})
	}
	claim(false)
	defer claim(true)
	c, err := net.DialTimeout("tcp", o.Target, 300*time.Millisecond)
	if err != nil {
		return
	}
	defer c.Close()
	in, out := json.NewDecoder(bufio.NewReader(c)), json.NewEncoder(c)
	steps := 3 + int(turn.Token*7%30) // some short, some long
	for n := 0; n < steps && (o.Careless || ctx.Err() == nil && turn.Valid()); n++ {
		claim(false)
		if frozen.Add(1) == int64(o.Freeze) {
			say(Claim{Note: "frozen"})
			syscall.Kill(os.Getpid(), syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond) // the stop reaches this thread within
		}
		c.SetDeadline(time.Now().Add(time.Second))
		if out.Encode(Act{turn.Name, turn.Token, turn.Place, o.Stated.Broker, n}) != nil {
			return
		}
		var verdict string
		if in.Decode(&verdict) != nil || verdict != "done" {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
