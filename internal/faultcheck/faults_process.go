package faultcheck

import (
	"errors"
	"math/rand/v2"
	"time"
)

// pauseTime is how long the fault "sigstop" stops a process by SIGSTOP each time.
const pauseTime = 200 * time.Millisecond

// processFaults returns the faults of the brokers' processes.
func processFaults() []InjectedFault {
	faults := []InjectedFault{
		processFault("sigterm", "a broker ends gracefully, and is started again",
			func(_ *scenarioRun, b *broker) error { return restartGracefully(b) }),
		processFault("sigkill", "a broker is killed, and is started again",
			func(_ *scenarioRun, b *broker) error { return restartAfterKill(b) }),
		repeatAcrossRestartFault("same-id-across-sigterm", "the same bytes to a broker before and after it ended gracefully and was started again",
			restartGracefully, 10_000),
		repeatAcrossRestartFault("same-id-across-sigkill", "the same bytes to a broker before and after it was killed and started again",
			restartAfterKill, 20_000),
		processFault("sigstop", "a broker is paused, and goes on", func(r *scenarioRun, b *broker) error {
			for range 3 {
				b.pauseFor(b.currentProcess(), pauseTime)
				r.waitForSearches()
			}
			return nil
		}),
		starvedFault(),
		fewRememberedFault(),
		shortMemoryFault(),
		clockStepFault(),
		{
			Name:          "few-descriptors",
			Side:          SideProcess,
			Description:   "the system grants few descriptors, and the configuration many",
			adjustSetting: func(s *Setting) { s.DescriptorLimit = 28 },
		},
		{
			Name:          "few-sockets",
			Side:          SideProcess,
			Description:   "the configuration grants few descriptors",
			adjustSetting: func(s *Setting) { s.GrantedSockets = 28 },
		},
		{
			Name:          "few-queries",
			Side:          SideProcess,
			Description:   "a broker may hold few searches and parts at once",
			adjustSetting: func(s *Setting) { s.MaxOpen = 12 },
		},
	}
	faults = append(faults, drainCutShortFault())
	return append(faults, reconfigurationFaults()...)
}

// processFault returns a fault of SideProcess whose event calls inject with a random broker.
func processFault(name, description string, inject func(r *scenarioRun, b *broker) error) InjectedFault {
	return InjectedFault{
		Name:        name,
		Side:        SideProcess,
		Description: description,
		event: func(r *scenarioRun, random *rand.Rand) error {
			err := inject(r, r.brokers[random.IntN(len(r.brokers))])
			r.waitForSearches()
			return err
		},
	}
}

// reconfigurationFaults returns the faults that change all brokers' settings by SIGHUP.
func reconfigurationFaults() []InjectedFault {
	reconfigurationFault := func(name, description string, change func(s *Setting, random *rand.Rand)) InjectedFault {
		return InjectedFault{
			Name:        name,
			Side:        SideProcess,
			Description: description,
			event: func(r *scenarioRun, random *rand.Rand) (err error) {
				// The first round changes the settings; the second changes them back, or to other values.
				for range 2 {
					for _, b := range r.brokers {
						err = errors.Join(err, b.reconfigure(func(s *Setting) { change(s, random) }))
					}
					r.waitForSearches()
				}
				return err
			},
		}
	}
	window := reconfigurationFault("sighup-window", "SIGHUP with another window", func(s *Setting, _ *rand.Rand) {
		s.Window = 300*time.Millisecond - s.Window
	})
	window.unreachable = needsWindow
	return []InjectedFault{
		window,
		reconfigurationFault("sighup-deadline", "SIGHUP with another deadline", func(s *Setting, _ *rand.Rand) {
			s.Deadline = 2100*time.Millisecond - s.Deadline
		}),
		reconfigurationFault("sighup-limits", "SIGHUP with other limits on attempts, frames and connections",
			func(s *Setting, random *rand.Rand) {
				s.MaxAttempts = 5 - s.MaxAttempts
				s.PartsPerFrame = 5 - s.PartsPerFrame
				s.StreamsPerConnection = 1 + random.IntN(8)
				s.MayCancel = !s.MayCancel
			}),
		reconfigurationFault("sighup-effect", "SIGHUP with another effect of every class", func(s *Setting, random *rand.Rand) {
			s.Effect = Effect((int(s.Effect) + 1 + random.IntN(2)) % len(Effects))
		}),
		reconfigurationFault("sighup-classes", "SIGHUP with the classes in another order", func(s *Setting, _ *rand.Rand) {
			s.PartialIsReadLike, s.ClassesReversed = true, !s.ClassesReversed
		}),
		reconfigurationFault("sighup-layout", "SIGHUP with another layout of shards", func(s *Setting, _ *rand.Rand) {
			s.GroupsPerShard = 3 - s.GroupsPerShard
		}),
	}
}
