// Package standin plays the parties around a broker for its tests and measurements: nodes that follow a script, nodes of
// limited capacity, clients, and connections whose writes a test holds back and releases. Everything stays on loopback or in
// memory.
//
// Terms of this package:
//   - A script decides how each attempt is responded to, whichever stand-in node receives it.
//   - A fault is one of the responses that a script can choose: an element of Faults, such as "hit" (a good reply),
//     "overload" or "silent".
//   - Frames and Flight are the two protocols by which nodes are called. A frame is one message of the first: a length, the
//     letter of its type, and its content. A call is a message that carries one part or several.
//   - A queueing node is cold from the start of its process until WarmupTime has passed, and warm after that. Its capacity is
//     full while it is warm, and less while it is cold.
//   - The load of a cold node is the time that the parts of the last CrashLoadWindow take at full capacity, in seconds.
//   - A gate makes the writes on its connections wait; to release a write is to let it succeed. A test can also hold the dials
//     to an address, so that they wait until it frees them.
package standin
