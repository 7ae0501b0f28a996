// Package faultcheck sends searches through processes of the shipped program while it injects faults into clients, nodes, discovery
// and the processes themselves. It then checks what clients and nodes recorded against the rules on repeated attempts, refusals and
// answers.
//
// RunScenario runs one scenario, and Table a whole table of them. The checker (Check) knows only the operators' contract and a History, and
// nothing of the program: a History is written by stand-in nodes and clients alone, in types of this package.
//
// Terms of this package:
//   - A step of a search is a set of parts, at most one for each shard. The first step requests every shard that the search names. Searches
//     of some classes (Class.FetchParts) have a second step, which fetches what the first one found: it goes to the shards whose hits in the
//     first step scored highest (Attempt.Score), and the answer then consists of its values alone.
//   - The effect of a search class says what it does to run a part of its searches more than once (Effect).
//   - A contract holds the rules for one broker that follow from its settings: the search classes, the maximum number of
//     attempts of a part, and the like (Contract). A broker gets another contract if it reads changed settings on SIGHUP.
//   - The slack is the tolerance that the checker adds to most time limits (Contract.Slack).
//   - A delivery is one request that a client writes to a broker; the same search may be delivered more than once.
//   - A delivery is completely written once its last byte was written.
//   - A hit is a successful answer of a node to an attempt (the outcome Hit).
//   - A second copy is an attempt of a part that is sent while another attempt of the same part is in flight.
//   - A stand-in plays a node or the discovery service for the brokers under test, and runs in the process that runs the scenario.
//   - A frame is a message on the connection between a broker and a node.
//   - A give-up frame is the message by which a broker cancels an attempt at a node.
//   - An event is the call of a fault's function InjectedFault.event, which injects the fault once in the middle of the scenario.
//   - A milestone is something that happens once for a search or a part, and that nodes wait for before they react to an attempt.
//   - A watch is a request of a broker to discovery on which it gets each new list of nodes.
//   - A replica group is a set of nodes that hold the same shards.
//   - A drain is the time from SIGTERM to the exit of a broker's process, in which it answers the requests that it has.
//   - To inspect a connection is to ask the system what has arrived on its socket, without reading it.
//   - To date a frame or the end of a connection is to determine when it reached the node's machine.
//   - The setting is the configuration of a scenario's processes (Setting).
//   - The byte position is the byte of a connection's data at which a fault is injected (Case.BytePosition).
//   - A violation is between brokers if it may need two processes that know nothing of one another (Violation.OtherBroker).
package faultcheck
