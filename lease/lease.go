// Package lease is what the brokers of a fleet agree on about tasks that only one of them, or at most k of them, may do at a
// time. The council is those brokers that vote on one agreed log. The package has the state that results from the log (State),
// a process's side of its leases (Session), and the time until which a holder may operate under them (HoldDeadline).
//
// Three properties hold. Tests check them from outside, by starting processes and injecting faults between them:
//
//  1. One holder. Operations on a target that are accepted under one lease from two holders (for a lease with k places:
//     from two holders of the same place) never overlap, and the tokens of accepted operations never fall. This includes a
//     process that is suspended between checking its lease and its operation: every operation carries its token, and targets
//     refuse a token lower than the highest that they have seen. A target that cannot check tokens is given only
//     operations that are stated to be harmless when they are done twice.
//  2. One writer. The note of a lease is changed only by the process that holds the lease at that place of the agreed log.
//     The note outlives its writer, so that the next holder can continue where the last one ended.
//  3. Liveness. While a majority of the council is up and connected, a free lease is granted within a stated time.
//
// They rest on nothing but these assumptions: the council's log is agreed on (Raft, a library); the elapsed time of a process
// runs at a rate within MaxClockDrift of true time; no session ID is drawn twice. Wall clocks, sleeps and the speed of a
// machine play no role. The reasoning: a holder stops operating TTL*(1-MaxClockDrift) of its own seconds after it sent the
// renewal, which is at most TTL true seconds. The council ends the session TTL*(1+MaxClockDrift) of its own seconds after it
// read its clock with the renewal received, which is at least TTL true seconds, and that reading came after the sending. A new
// leader starts the council's time where the log that it has applied ends, so time between leaders only makes leases longer.
//
// The package does no I/O, reads no clock and starts no goroutine. The state is the same byte for byte on every member of
// the council. Times are seconds, by the council's time (State) or by the clock of the process (Session).
//
// Terms of this package:
//   - The council's time is the time of State, in seconds since the council's founding; its leader advances it.
//   - A session is what the council knows a process by. It ends unless a call renews it in time; any call does.
//   - A call is a message of a session to the council, with operations on leases and reports of the use of budgets; the
//     answer is the council's message back. Times of calls are read when they are sent, those of answers when they arrive.
//   - An incarnation is the number that the council gives a session when it opens it; no other session ever has the same.
//   - An owner is the broker that a session belongs to; an operator's command has a session without an owner.
//   - A lease has one place or several, numbered from 0; each place is held by at most one session. So a lease with k places
//     has up to k holders at a time.
//   - A grant gives a session one place of a lease. Its token, a number, is higher than those of all earlier grants.
//   - The hold deadline is the time, by a process's own clock, until which it may operate under its leases.
//   - A note is the bytes that the holder of a lease has stored with it at the council; others can read them.
//   - A budget limits something for the whole fleet (package budget): a rate is spent, in units per second; the units of a
//     stock are held and given back. The council's record of a budget is called a pool.
//   - The floor is the amount of a budget that each broker may use at any time, without the council.
//   - A share is the amount of a budget that a session may use beyond the floor. A cut replaces a share by a smaller one; the
//     session acknowledges a share once it uses no more than that.
//   - A report says what a process used of a budget, and had to refuse, since its previous report.
package lease

// ID names a session: one process from its start, or from the loss of its previous session, onwards. It is drawn from 128
// random bits.
type ID [16]byte
