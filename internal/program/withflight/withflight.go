// Package withflight is what brackenflight has and brackenfront does not.
package withflight

import (
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/options"
	"brackenfront/internal/program"
	"brackenfront/internal/protocol"
	"brackenfront/internal/routing"
	"brackenfront/internal/transport/flightdoor"
	"brackenfront/internal/transport/flightleaves"
	"brackenfront/internal/transport/parts"
)

// Flight adds the door and the back end.
func Flight() *program.Flight {
	return &program.Flight{
		Back: func(b *protocol.Boot, o *options.Options, room *parts.Room, log *logrus.Logger) program.Back {
			return flightleaves.NewFleet(flightleaves.Limits{Streams: b.Streams, Connect: b.Connect, Idle: b.Idle,
				Longest: b.Longest, Cancel: b.Terms.MayCancel, Message: o.Flight.PartMB << 20, Part: o.Flight.PartMB << 20,
				Room: room, Pause: time.Duration(b.Terms.Tick * float64(time.Second))}, log)
		},
		Door: func(b *protocol.Boot, o *options.Options, r *routing.Router, log *logrus.Logger) (program.Door, error) {
			return flightdoor.Listen(o.Flight.Listen, flightdoor.Limits{Longest: b.Longest, Write: b.Longest, Idle: b.Idle,
				Streams: o.Flight.Streams, Conns: o.Flight.Conns}, r.ParseSearch, r.Search, r.Ready, log)
		},
	}
}
