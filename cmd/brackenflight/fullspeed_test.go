package main

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"brackenfront/internal/processtest"
	"brackenfront/internal/standin"
)

// flightCalls writes calls on a connection at full speed until a write fails. method returns the method of the call with a given
// number, and message its gRPC message, without the five bytes in front of it; nil if the call is reset instead.
func flightCalls(framer *http2.Framer, method func(number int) string, message func(number int) []byte) {
	var buffer bytes.Buffer
	encoder := hpack.NewEncoder(&buffer)
	for number := 0; ; number++ {
		buffer.Reset()
		for _, field := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
			{Name: ":path", Value: method(number)}, {Name: ":authority", Value: "x"}, {Name: "content-type", Value: "application/grpc"},
			{Name: "te", Value: "trailers"}, {Name: "grpc-timeout", Value: "2S"}} {
			encoder.WriteField(field)
		}
		stream := uint32(2*number + 1)
		if writeHead(framer, stream, buffer.Bytes()) != nil {
			return
		}
		content := message(number)
		if content == nil {
			framer.WriteRSTStream(stream, http2.ErrCodeCancel)
			continue
		}
		framed := append([]byte{0, 0, 0, byte(len(content) >> 8), byte(len(content))}, content...)
		if framer.WriteData(stream, true, framed) != nil {
			return
		}
	}
}

// flightMethod returns a function that returns the path of a method of Flight.
func flightMethod(name string) func(int) string {
	return func(int) string { return "/arrow.flight.protocol.FlightService/" + name }
}

// protobufField returns the encoding of a field of bytes, shorter than 128 bytes, in a message of Protocol Buffers.
func protobufField(number byte, content string) []byte {
	return append([]byte{number<<3 | 2, byte(len(content))}, content...)
}

// fullSpeedFlightClients are what one Flight client sends on a connection at full speed, under ever new names, until a write fails.
var fullSpeedFlightClients = map[string]func(framer *http2.Framer){
	"resets": func(framer *http2.Framer) {
		flightCalls(framer, flightMethod("DoGet"), func(int) []byte { return nil })
	},
	"unknown methods": func(framer *http2.Framer) {
		flightCalls(framer, func(number int) string { return fmt.Sprintf("/new.Service-%d/Method-%d", number, number) }, func(int) []byte { return []byte{} })
	},
	"malformed messages": func(framer *http2.Framer) {
		flightCalls(framer, flightMethod("DoGet"), func(number int) []byte { return fmt.Appendf(nil, "\xff%d", number) })
	},
	"malformed tickets": func(framer *http2.Framer) {
		flightCalls(framer, flightMethod("DoGet"), func(number int) []byte {
			return protobufField(1, fmt.Sprintf(`{"type":"type-%d","id":"id-%d","dealer":"dealer-%d"}`, number, number, number))
		})
	},
	"searches": func(framer *http2.Framer) {
		flightCalls(framer, flightMethod("DoGet"), func(number int) []byte {
			return protobufField(1, fmt.Sprintf(`{"type":"all","id":"id-%d","search":{"buckets":[{"bucket":0,"part":1}],"body":"t"}}`, number))
		})
	},
	"schemas": func(framer *http2.Framer) {
		flightCalls(framer, flightMethod("GetSchema"), func(number int) []byte {
			return append([]byte{8, 2}, protobufField(2, fmt.Sprintf(`{"type":"type-%d","id":"id-%d"}`, number, number))...)
		})
	},
	"pings": func(framer *http2.Framer) {
		for number := 0; framer.WritePing(false, [8]byte{byte(number)}) == nil; number++ {
		}
	},
	"settings": func(framer *http2.Framer) {
		for framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20}) == nil {
		}
	},
	"window updates": func(framer *http2.Framer) {
		for framer.WriteWindowUpdate(0, 1) == nil {
		}
	},
}

// TestOneFlightClientAtFullSpeed guards against a Flight client that sends small or unsound frames and calls at full speed on one
// connection, under ever new names: honest clients over HTTP must be served, and the memory must stay within the limit.
func TestOneFlightClientAtFullSpeed(t *testing.T) {
	program := processtest.Build(t)
	for name, write := range fullSpeedFlightClients {
		t.Run(name, func(t *testing.T) {
			p := startProgramFile(t, program, standin.NewScript(), "")
			flightAddr := p.listenAddress("serving Flight")
			httpAddr := p.listenAddress("msg=serving ")
			ctx, cancel := context.WithTimeout(t.Context(), *badClientsTime)
			defer cancel()
			var running sync.WaitGroup
			running.Go(func() { playBadClient(ctx, flightAddr, write) })
			sent, answered := sendHonest(ctx, httpAddr)
			running.Wait()
			peak := processtest.PeakMemoryMB(t, p.cmd.Process.Pid)
			t.Logf("peak %d MB of %d; honest searches: %d sent, %d answered in time", peak, *badClientsMemoryMB, sent, answered)
			if peak > *badClientsMemoryMB {
				t.Errorf("the program took %d MB of %d", peak, *badClientsMemoryMB)
			}
			if answered < sent {
				t.Errorf("%d of %d honest searches were not answered in time", sent-answered, sent)
			}
		})
	}
}
