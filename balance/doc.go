// Package balance decides which node each part of each search is sent to, whether a part is sent again, and how each
// search ends.
//
// A caller makes one Broker with New and gives it a Host, through which the broker acts: it sends, cancels, answers
// and probes. The caller groups its calls into turns: BeginTurn states the time; then AddSearch takes in a search,
// Search.AddPart each of its parts, and Search.AttemptEnded, Search.ClientLeft, Broker.ProbeEnded, Broker.UpdateNodes
// and Broker.NodeListFailed report what happened; EndTurn decides on the sends, so that parts for one node can share
// a call.
//
// Times and durations are seconds, points in time are those of the caller's clock. Work is seconds of a node's
// processing time. Nodes, groups, zones, shards, dealers and classes are indices that the caller assigns, from 0.
// Shares go from 0 to 1. Running means and running shares are exponential: the newest value has a fixed weight (0 to
// 1), and what was there before has the rest.
//
// Nothing here does I/O, reads a clock or starts a goroutine. The mechanism is greedy coded reads: all parts of a
// search are sent at once and it is answered as soon as enough of them are in; docs/design.md describes it and its
// exceptions.
//
// Terms for searches and their parts:
//   - A step of a search is a set of parts that are answered together. Searches of some classes have two steps: the
//     second fetches what the first found.
//   - The weight of a part is its share of its step. An answer is complete if the answered parts have a configured
//     weight together (SearchClass.CompleteShare); the spare parts are those that it does not need for that.
//   - An attempt is one sending of a part to a node. A retry is any attempt of a part but the first. The retry budget
//     limits the retries of the whole broker within a sliding window.
//   - The utility of a search is what its answer is worth, in a unit that all classes share (SearchClass.Utility).
//   - A slot is a small number that no other search in progress has, by which a caller can index its own table.
//
// Terms for nodes:
//   - The holders of a shard are the nodes that hold it. The replica offset of a search is the index, among the holders
//     of each shard, of the node that is tried first.
//   - A node is cold for Settings.WarmupTime after its start, in which it has only part of its capacity; then it is
//     warm. The slow start limits the parts that a cold node is sent within the overload window
//     (Settings.OverloadWindow, a sliding window), so that all brokers together do not overload it.
//   - The lottery decides at random whether a broker whose share of a cold node's capacity is below one part may send it
//     a part (nodeState.lotteryDraw).
//   - The failure share of a node is the share of failures among its outcomes, of which earlier ones count less.
//   - A node is unhealthy if its failure share is too far above the median of all nodes. It then gets no parts except
//     one at a time: a trial part is a single part of a search that tests whether the node works again.
//   - The half-life is the time in which earlier observations of a node lose half of their weight (Broker.halfLife).
//   - The zone guard detects the failure of whole zones and limits what is sent to them (package zones).
//   - The review is the regular judgement of the health of all nodes (reviewNodes).
//
// Terms for parts in flight:
//   - A call is a message to a node that carries one part or several, and the answers to them.
//   - The awaited parts of a node are those that were sent to it and have not ended.
//   - The usual reply time of a class is the running mean of the reply times of its parts; the mean deviation is the
//     running mean of the absolute difference from it.
//   - The pace is a part's reply time divided by the number of this broker's parts in flight at its node when it was
//     sent, itself included, in seconds per part.
//   - The lag of a node is the number of seconds that it is estimated to be late with a part sent to it now.
//   - A part is overdue if it has been in flight for more than a fixed share (overdueTargetShare) of its class's
//     latency target.
//   - A part is hung if it has been in flight for more than a fixed share (hungTargetShare) of its class's latency
//     target and its node has answered nothing since it was sent.
//   - To move a part is to cancel its attempt, so that the part is sent again to another node. The patience is the
//     number of mean deviations beyond the usual reply time after which an overdue part may be moved.
//   - The connections to a node are idle if no part of this broker has been in flight there for more than
//     idleConnectionTime.
//   - A connection is silent if an attempt is in flight on it and nothing has been received for more than a fixed share
//     (silentConnectionTargetShare) of the latency target.
//   - The sweep is the regular check for overdue parts and for searches that have reached their latency target or
//     deadline.
//
// Terms for overload:
//   - The concurrency limit is the most parts of this broker, not counting hung ones, that may be in flight at all nodes
//     together.
//   - To shed a search is to end it because of overload, before any part of it is sent.
//   - The target use of a search is the share of its latency target that is expected to have passed when it is answered.
//     Up to a lower bound no search is shed, from an upper bound on every one is, and in between the probability rises
//     evenly with the target use (shouldShed).
//   - The shed scale is a factor on both bounds, which missed latency targets lower (Broker.shedScale).
package balance
