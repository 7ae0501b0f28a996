package watch

import (
	"testing"
	"time"

	"brackenfront/internal/protocol"
)

// TestUnread guards against decisions on an outdated list after a pause of the process: as long as an update lies unread, or is read and
// not delivered, Unread says so, and it does not once all are delivered.
func TestUnread(t *testing.T) {
	d := newFakeDiscovery(t, protocol.DiscoveryUpdate{Seq: 7})
	// The watcher delivers an update only when the test takes it.
	d.updates = make(chan protocol.DiscoveryUpdate)
	waitUnread := func(expected bool) {
		t.Helper()
		for end := time.Now().Add(maxTestWait); d.watcher.Unread() != expected; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("unread: %v", !expected)
			}
		}
	}
	if d.watcher.Unread() {
		t.Error("unread before the first call")
	}
	d.watcher.Start()
	call := d.wantCall(7)
	waitUnread(false)
	call.write(`{"seq":8,"whole":false,"hosts":[]}` + "\n" + `{"seq":9,"whole":false,"hosts":[]}` + "\n")
	waitUnread(true)
	d.wantUpdate(8, 0)
	if !d.watcher.Unread() {
		t.Error("nothing unread with one update delivered of two")
	}
	d.wantUpdate(9, 0)
	waitUnread(false)
}
