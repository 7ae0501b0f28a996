// Package withflight adds Arrow Flight to a build: brackenflight links it, brackenfront does not.
package withflight

import (
	"time"

	"github.com/sirupsen/logrus"

	"brackenfront/internal/options"
	"brackenfront/internal/program"
	"brackenfront/internal/protocol"
	"brackenfront/internal/routing"
	"brackenfront/internal/transport/flightfrontend"
	"brackenfront/internal/transport/flightnodes"
	"brackenfront/internal/transport/parts"
	"brackenfront/internal/transport/turns"
)

// NewSupport returns the constructors of the frontend for Flight and of the backend for nodes that speak Flight, which take
// their limits from the configuration and the options.
func NewSupport() *program.FlightSupport {
	return &program.FlightSupport{
		NewNodeBackend: func(config *protocol.Config, operatorOptions *options.Options, answerMemory *parts.MemoryBudget, peerTurns *turns.Scheduler,
			log *logrus.Logger) program.NodeBackend {
			return flightnodes.NewConnPool(flightnodes.Limits{
				MaxStreamsPerConn:    config.MaxCallsPerConn,
				ConnectTimeout:       config.DialTimeout,
				PeerIdleTimeout:      config.IdleTimeout,
				MaxWait:              config.MaxDeadline,
				MayCancel:            config.Settings.CanCancel,
				MaxMessageBytes:      operatorOptions.Flight.MaxPartMB << 20,
				MaxPartBytes:         operatorOptions.Flight.MaxPartMB << 20,
				AnswerMemory:         answerMemory,
				Turns:                peerTurns,
				DescriptorRetryPause: time.Duration(config.Settings.Tick * float64(time.Second)),
			}, log)
		},
		NewFrontend: func(config *protocol.Config, operatorOptions *options.Options, router *routing.Router, clientTurns *turns.Scheduler,
			log *logrus.Logger) (program.Frontend, error) {
			return flightfrontend.Listen(operatorOptions.Flight.Listen, flightfrontend.Limits{
				MaxSearchTime:     config.MaxDeadline,
				WriteTimeout:      config.MaxDeadline,
				IdleTimeout:       config.IdleTimeout,
				MaxStreamsPerConn: operatorOptions.Flight.MaxStreams,
				MaxConns:          operatorOptions.Flight.MaxConnections,
				MaxCallMemory:     config.MemoryBytes / program.RequestMemoryDivisor,
				Turns:             clientTurns,
			}, router.ParseSearch, router.Search, router.Ready, log)
		},
	}
}
