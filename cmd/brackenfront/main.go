// Command brackenfront is a broker: it routes the searches that clients send over HTTP to the nodes of a sharded, replicated
// store.
//
// Terms of its tests:
//   - Discovery is the service that sends the list of nodes, played by the test. A watch is an HTTP request to it, whose
//     response brings the list and then its updates.
//   - The health of a node in a list is active, leaving (it gets no new parts) or left.
//   - The drain is the broker's orderly end after SIGTERM: it answers what is in flight. A reload, after SIGHUP, reads the
//     configuration again.
//   - The nodes of one replica group hold the same shards. The layout says which groups hold which shards, by three settings: the
//     number of groups (places), the number of shards (slices) and the number of groups that hold each shard (reach). Shard s is
//     held by the groups s, s+1 and so on, modulo the number of groups.
//   - A node is cold until it has run for the time that the setting cold gives. Meanwhile the broker sends it only a limited load.
//   - A client's connection is unused if the broker has sent a response on it and no bytes have come since.
//   - A frame is one message between broker and node: a length, the letter of its type, and its content. A call is a frame
//     that carries one part or several.
//   - The monitor of a test (type monitor) has the lock under which what its nodes and its broker's process record is read and
//     written.
//   - A further attempt is any attempt of a part but the first.
//   - A step is a set of parts that are answered together. Searches of some classes have a second step, which asks the
//     shards with the best scores in the first step again.
//   - A search of an idempotency-keyed class may run twice within its window, the time in which nodes recognize its repeat.
//   - The framing of a request is what determines where the request ends on its connection. In the tests of it, the outer
//     request is the one that a row of the table is about, the inner request is a request within the outer one's bytes, and
//     the later request follows the outer one on the connection.
//   - The protocol's page and the operators' page are the two documents that state what clients, nodes and the platform may
//     expect of a broker.
package main

import (
	"os"

	"brackenfront/internal/program"
)

// main runs the command that the command line states, and exits with its exit code.
func main() { os.Exit(program.Main("brackenfront", os.Args[1:], program.OptionalFeatures{})) }
