package roll

import (
	"fmt"
	"strings"
	"testing"

	"brackenfront/lease"
)

// TestPlanOfManyBrokers: the plan of a roll of 1,024 brokers fits into the note that keeps it, with the longest names and
// reasons of the length that the plan itself gives.
func TestPlanOfManyBrokers(t *testing.T) {
	const brokers, longestName = 1024, 64
	const reason = "it does not listen for the fleet"
	known := make([]Known, brokers)
	for i := range known {
		name := fmt.Sprintf("b%04d", i)
		known[i] = Known{Broker: name + strings.Repeat("x", longestName-len(name)), Addr: "255.255.255.255:65535"}
	}
	l := Lead(known[0].Broker, Plan{})
	if !l.Hear(Word{Number: 1, Do: Begin, Act: Restart, AtOnce: 8, Least: 0.9, Wait: 60}, known) || l.Plan().Answer != "" {
		t.Fatalf("not begun: %q", l.Plan().Answer)
	}
	for i := range l.plan.Turns {
		l.plan.Turns[i].Why = reason
	}
	size := len(lease.Encode(*l.Plan()))
	t.Logf("%d brokers take %d bytes of %d", brokers, size, lease.MostNote)
	if size > lease.MostNote {
		t.Errorf("the plan takes %d bytes, a note holds %d", size, lease.MostNote)
	}
}
