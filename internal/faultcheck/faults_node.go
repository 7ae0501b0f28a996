package faultcheck

import (
	"errors"
	"math/rand/v2"
	"time"
)

// frameBytePositions is the number of byte positions, counted from the start of the data that a broker sends on a connection, at which a
// node ends the connection. They cover several frames.
const frameBytePositions = 240

// Times and sizes of faults at nodes.
const (
	// lateReplyDelay is the delay of late answers: longer than the latency target, shorter than the deadline.
	lateReplyDelay = 350 * time.Millisecond
	// downTimeout bounds waitForSearches, and with it how long a node is unavailable, if searchesWhileDown searches have not begun by then.
	downTimeout = 250 * time.Millisecond
	// searchesWhileDown is how many searches waitForSearches lets begin, such as while a node is unavailable.
	searchesWhileDown = 12
	// longTextBytes is the length of search texts, in bytes, of which a few fill the buffers of a connection whose receive buffer has
	// smallBufferBytes.
	longTextBytes = 40_000
	// smallBufferBytes is the size, in bytes, of the receive buffer of nodes that stop reading.
	smallBufferBytes = 4096
)

// nodeFaults returns the faults of nodes, and of the links between nodes and brokers.
//
// A link that passes data in one direction only is not simulated by a relay such as fleetrig.Link: a relay buffers data in its own memory,
// so that the arrival time of a frame would not be known. To a broker, a node that does not read, or whose answers are late, looks the
// same, and the system's buffers show when bytes arrived.
func nodeFaults() []InjectedFault {
	faults := []InjectedFault{
		reactingFault("fault", "nodes answer with errors", func(random *rand.Rand) reaction {
			return reaction{kind: reactFault, workDone: true}
		}),
		reactingFault("silence", "nodes do the work and answer nothing", func(*rand.Rand) reaction {
			return reaction{kind: reactSilence, workDone: true}
		}),
		reactingFault("reply-late", "answers are late, also those to attempts that were given up", func(*rand.Rand) reaction {
			return reaction{delay: lateReplyDelay, answerGivenUp: true}
		}),
		reactingFault("reply-doubled", "answers come twice", func(*rand.Rand) reaction { return reaction{duplicate: true} }),
		reactingFault("reply-split", "answers come a byte at a time", func(*rand.Rand) reaction { return reaction{byteByByte: true} }),
		reactingFault("overload", "nodes reject attempts as overloaded", func(*rand.Rand) reaction { return reaction{kind: reactOverload} }),
		reactingFault("reset-after-frame", "nodes reset the connection once a frame has come whole", func(*rand.Rand) reaction {
			return reaction{kind: reactReset}
		}),
		reactingFault("end-after-frame", "nodes end their side of the connection once a frame has come whole", func(*rand.Rand) reaction {
			return reaction{kind: reactHalfClose}
		}),
		reactingFault("refusal", "nodes refuse a frame as unusable (F) once it has come whole", func(*rand.Rand) reaction { return reaction{kind: reactRefusal} }),
		reactingFault("garbage", "nodes send bytes that are no frame", func(*rand.Rand) reaction { return reaction{kind: reactGarbage} }),
		strayReplyFault("reply-astray", "a hit comes under the id of an attempt that is in flight on another connection", "hit"),
		strayReplyFault("overload-astray", "an overload comes under the id of an attempt that is in flight on another connection", "overload"),
		strayReplyFault("fault-astray", "an error comes under the id of an attempt that is in flight on another connection", "fault"),
		overloadAtOddShardsFault(),
		overloadAfterWorkFault(),
		overloadAfterGiveUpFault(),
		overloadTwiceFault(),
		connectionCutFault("node-reset-at-byte", "nodes reset connections after each byte of their frames", false),
		connectionCutFault("node-end-at-byte", "nodes end their side of connections after each byte of their frames", true),
		{
			Name:        "accept-reset",
			Side:        SideNode,
			Description: "nodes accept connections and reset them",
			planConnection: func(_ *scenarioRun, random *rand.Rand, _ *node) connectionPlan {
				return connectionPlan{cut: random.IntN(2) == 0}
			},
		},
		unavailableNodeFault("refuses", "a node of each replica group refuses connections for a while", (*node).refuseConnections),
		unavailableNodeFault("never-up", "connections to a node of each replica group do not come up for a while", func(n *node) {
			n.refuseConnections()
			n.fillBacklog()
		}),
		silentThenAnsweringFault(),
		notReadingFault("blocked", "a node of each replica group does not read for a while, and long frames are written in part", true),
		notReadingFault("blocked-in-order", "the same, with nodes whose machines receive all that they offered room for", false),
	}
	return append(faults, discoveryListingFaults()...)
}

// reactingFault returns a fault for which nodes treat a third of all attempts as react says. A reaction without a delay gets a random one
// of up to maxWorkTime.
func reactingFault(name, description string, react func(random *rand.Rand) reaction) InjectedFault {
	return InjectedFault{
		Name:        name,
		Side:        SideNode,
		Description: description,
		react: func(_ *scenarioRun, random *rand.Rand, _ *node, _ partRequest, _ int) (reaction, bool) {
			if random.IntN(3) > 0 {
				return reaction{}, false
			}
			planned := react(random)
			if planned.delay == 0 {
				planned.delay = time.Duration(random.Int64N(int64(maxWorkTime)))
			}
			return planned, true
		},
	}
}

// strayReplyFault returns a fault in which nodes send additional answers on the wrong connection: each has the id of an attempt that is in
// flight on another connection. outcome is the protocol's word for the outcome that these answers state.
func strayReplyFault(name, description, outcome string) InjectedFault {
	f := reactingFault(name, description, func(*rand.Rand) reaction {
		return reaction{kind: reactSilence, workDone: true, strayOutcome: outcome}
	})
	return f
}

// overloadAtOddShardsFault returns a fault in which nodes answer all attempts at the odd shards of half of the searches with an overload,
// while those at the even shards run.
func overloadAtOddShardsFault() InjectedFault {
	return InjectedFault{
		Name:          "overload-at-one-shard",
		Side:          SideNode,
		Description:   "every second shard of a search is rejected as overloaded by all nodes, after the others ran",
		adjustSetting: func(s *Setting) { s.Shards = 6 },
		react: func(r *scenarioRun, _ *rand.Rand, _ *node, request partRequest, _ int) (reaction, bool) {
			affected := r.random("victim", request.search).IntN(2) == 0
			if !affected || request.shard%2 == 0 {
				return reaction{}, false
			}
			return reaction{kind: reactOverload, delay: 2 * maxWorkTime}, true
		},
	}
}

// overloadAfterWorkFault returns a fault in which the first attempt of half of the parts does the work and fails in some way, and nodes
// answer all later attempts of any part with an overload.
func overloadAfterWorkFault() InjectedFault {
	return InjectedFault{
		Name:        "overload-after-work",
		Side:        SideNode,
		Description: "the first attempt does the work and fails, and all others are rejected as overloaded",
		react: func(_ *scenarioRun, random *rand.Rand, _ *node, _ partRequest, earlierOfPart int) (reaction, bool) {
			if earlierOfPart > 0 {
				return reaction{kind: reactOverload}, true
			}
			kinds := []reactionKind{reactFault, reactReset, reactHalfClose, reactSilence}
			return reaction{kind: kinds[random.IntN(len(kinds))], workDone: true}, random.IntN(2) == 0
		},
	}
}

// overloadAfterGiveUpFault returns a fault in which a node holds back its answer to the first attempt of a part until the broker has given
// the attempt up and sends the part to the node again. The answer then rejects the first attempt as overloaded; the node works on the
// second attempt and never answers it.
func overloadAfterGiveUpFault() InjectedFault {
	return repeatedPartFault("overload-to-given-up",
		"an attempt that was given up is rejected as overloaded once its part comes to the node again; that attempt runs and is not answered",
		func(repeated <-chan struct{}) reaction {
			return reaction{kind: reactOverload, answerGivenUp: true, waitFor: repeated}
		})
}

// overloadTwiceFault returns a fault in which a node rejects its first attempt of a part as overloaded, and sends the same rejection a
// second time when the broker sends that part to the node again. The node works on the second attempt and never answers it, so that the
// repeated rejection can be mistaken for the second attempt's answer.
func overloadTwiceFault() InjectedFault {
	return repeatedPartFault("overload-twice",
		"an attempt is rejected as overloaded, and once more when its part comes to the node again; that attempt runs and is not answered",
		func(repeated <-chan struct{}) reaction { return reaction{kind: reactOverload, repeatOn: repeated} })
}

// repeatedPartFault returns the fault with the given name and description. It affects half of all searches: a node reacts to the first
// attempt that it gets of a part with the reaction that first returns, and works on later attempts of the part without ever answering.
// first gets a channel that is closed when the second attempt arrives at the node. The fault's setting has two nodes for each shard and
// up to four attempts of a part, so that a broker sends the part to each node twice, possibly on the same connection.
func repeatedPartFault(name, description string, first func(repeated <-chan struct{}) reaction) InjectedFault {
	return InjectedFault{
		Name:        name,
		Side:        SideNode,
		Description: description,
		adjustSetting: func(setting *Setting) {
			setting.NodesPerGroup = 2
			setting.GroupsPerShard = 1
			setting.MayCancel = true
			setting.MaxAttempts = 4
			setting.StreamsPerConnection = 32
			setting.Window = setting.Deadline
			setting.SecondCopies = false
		},
		react: func(r *scenarioRun, _ *rand.Rand, n *node, request partRequest, _ int) (reaction, bool) {
			if r.random("victim", request.search).IntN(2) == 0 {
				return reaction{}, false
			}
			repeated := milestone{milestonePartRepeated, request.id + " at " + n.name}
			if n.countPartRequest(request.id) == 1 {
				return first(r.milestoneChannel(repeated)), true
			}
			r.reachMilestone(repeated)
			return reaction{kind: reactSilence, workDone: true}, true
		},
	}
}

// connectionCutFault returns a fault in which nodes end two thirds of the connections that they accept, at byte positions that increase
// from connection to connection: by closing the node's side alone if halfClose is set, and by a reset otherwise.
func connectionCutFault(name, description string, halfClose bool) InjectedFault {
	return InjectedFault{
		Name:          name,
		Side:          SideNode,
		Description:   description,
		BytePositions: frameBytePositions,
		planConnection: func(r *scenarioRun, random *rand.Rand, _ *node) connectionPlan {
			if random.IntN(3) == 0 {
				return connectionPlan{}
			}
			position := r.nextBytePosition(frameBytePositions)
			return connectionPlan{
				cut:           true,
				cutAfterBytes: position,
				halfClose:     halfClose,
				onCut:         func() { r.noteByteReached(position) },
			}
		},
	}
}

// oneNodePerGroup returns one random node of each replica group.
func (r *scenarioRun) oneNodePerGroup(random *rand.Rand) (chosen []*node) {
	for group := range r.setting.Groups {
		chosen = append(chosen, r.nodes[group*r.setting.NodesPerGroup+random.IntN(r.setting.NodesPerGroup)])
	}
	return chosen
}

// waitForSearches waits until searchesWhileDown further searches have begun, but no longer than downTimeout.
func (r *scenarioRun) waitForSearches() {
	r.mu.Lock()
	begunBefore := r.searchesBegun
	r.mu.Unlock()
	r.recorder.waitUntil(downTimeout, func(*History) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.searchesBegun >= begunBefore+searchesWhileDown
	})
}

// unavailableNodeFault returns a fault that makes one node of each replica group unavailable by disable, and lets these nodes listen at
// their addresses again once waitForSearches returns.
func unavailableNodeFault(name, description string, disable func(n *node)) InjectedFault {
	return InjectedFault{
		Name:        name,
		Side:        SideNode,
		Description: description,
		event: func(r *scenarioRun, random *rand.Rand) (err error) {
			affected := r.oneNodePerGroup(random)
			for _, n := range affected {
				disable(n)
			}
			r.waitForSearches()
			for _, n := range affected {
				n.releaseBacklog()
				err = errors.Join(err, n.listenAgain(false))
			}
			r.waitForSearches()
			return err
		},
	}
}

// silentThenAnsweringFault returns a fault in which one node of each replica group answers nothing for a while, and then all attempts that
// had arrived, including those that the broker has given up meanwhile.
func silentThenAnsweringFault() InjectedFault {
	return InjectedFault{
		Name:        "silent-then-back",
		Side:        SideNode,
		Description: "a node of each replica group answers nothing for a while, and then all that came",
		react: func(r *scenarioRun, _ *rand.Rand, n *node, _ partRequest, _ int) (reaction, bool) {
			over := n.silenceEnd()
			return reaction{waitFor: over, answerGivenUp: true}, over != nil
		},
		event: func(r *scenarioRun, random *rand.Rand) error {
			affected := r.oneNodePerGroup(random)
			over := make(chan struct{})
			for _, n := range affected {
				n.setSilence(over)
			}
			r.waitForSearches()
			for _, n := range affected {
				n.setSilence(nil)
			}
			close(over)
			r.waitForSearches()
			return nil
		},
	}
}

// notReadingFault returns a fault in which one node of each replica group reads nothing for a while, so that writes to it fill the system's
// buffers. With shrinkBuffer, the node's machine shrinks the TCP receive window that it had advertised, and drops the data beyond it, which
// is sent again 0.2 s later or more.
func notReadingFault(name, description string, shrinkBuffer bool) InjectedFault {
	return InjectedFault{
		Name:        name,
		Side:        SideNode,
		Description: description,
		adjustSetting: func(s *Setting) {
			s.ExtraTextBytes = longTextBytes
			s.ReceiveBufferBytes = smallBufferBytes
			s.ShrinkReceiveBuffer = shrinkBuffer
		},
		event: func(r *scenarioRun, random *rand.Rand) error {
			affected := r.oneNodePerGroup(random)
			for _, n := range affected {
				n.stopReading()
			}
			r.waitForSearches()
			for _, n := range affected {
				n.resumeReading()
			}
			r.waitForSearches()
			return nil
		},
	}
}
