package program

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds a channel, with a buffer of one, for each signal that the program handles. The runtime drops a signal whose
// channel is full, and one pending signal of each kind is enough.
type signals struct {
	// terminate receives SIGTERM, which begins the drain: no new requests, and an answer for each one in flight.
	terminate chan os.Signal
	// interrupt receives SIGINT, which begins the drain, or cuts short one that has begun.
	interrupt chan os.Signal
	// hangup receives SIGHUP, which makes the program read the configuration and the options again.
	hangup chan os.Signal
	// counters receives SIGUSR1, which makes the program log its counts.
	counters chan os.Signal
}

// handleSignals begins to receive the signals, and returns the channels. It has to be called before anything is served, and
// the signals are received until the program ends: by default each of them would end it.
func handleSignals() signals {
	// receive returns a channel that receives one signal, such as SIGTERM.
	receive := func(number os.Signal) chan os.Signal {
		received := make(chan os.Signal, 1)
		signal.Notify(received, number)
		return received
	}
	return signals{
		terminate: receive(syscall.SIGTERM),
		interrupt: receive(syscall.SIGINT),
		hangup:    receive(syscall.SIGHUP),
		counters:  receive(syscall.SIGUSR1),
	}
}
