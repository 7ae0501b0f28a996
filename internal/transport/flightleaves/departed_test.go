package flightleaves_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/balance"
	"brackenfront/internal/standin"
	"brackenfront/internal/transport/flightleaves"
	"brackenfront/internal/transport/parts"
)

// TestDepartedBeforeTheHandshake: an attempt waits for its connection, and its client closes its own, which nobody has
// read yet. The attempt is given back as never sent, and its leaf gets nothing; where the client stays, it is sent.
func TestDepartedBeforeTheHandshake(t *testing.T) {
	for _, closes := range []bool{false, true} {
		tr := standin.NewTroupe()
		leaf, err := tr.NewLeaf("l", 0, true)
		if err != nil {
			t.Fatal(err)
		}
		defer leaf.Close()
		log := logrus.New()
		log.SetOutput(io.Discard)
		up := make(chan struct{})
		f := flightleaves.NewFleet(flightleaves.Limits{Streams: 8, Connect: 5 * time.Second, Idle: time.Minute, Longest: time.Minute,
			Cancel: true, Message: 1 << 20, Part: 1 << 20, Room: &parts.Room{Most: 1 << 20},
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				<-up
				return new(net.Dialer).DialContext(ctx, network, addr)
			}}, log)
		defer f.Close()
		o := make(owner, 9)
		leave := &parts.Leave{Departed: func() bool { return closes }}
		f.Ask(leaf.Addr(), []*parts.Part{{Leave: leave, ID: "a.0", Text: "q", Until: time.Now().Add(time.Minute), Owner: o,
			Try: 1, Known: time.Now()}})
		time.Sleep(2 * parts.Certain)
		close(up)
		want := balance.OK
		if closes {
			want = balance.Moot
		}
		if e := heard(t, o); e.How != want {
			t.Fatalf("closes: %v, ended as %d, wanted %d", closes, e.How, want)
		}
		if leave.Writing() {
			t.Fatalf("closes: %v, the permission is not given back", closes)
		}
		n := 0
		tr.Until(patience, func(got []standin.Asked, _ int) bool { n = len(got); return true })
		if (n == 0) != closes {
			t.Fatalf("closes: %v, the leaf got %d", closes, n)
		}
	}
}
