package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"brackenfront/internal/processtest"
	"brackenfront/internal/standin"
)

var (
	// badConnections is how many connections bad Flight clients open in TestBadFlightClientsStayWithinMemory.
	badConnections = flag.Int("bad.conns", 320, "connections of bad clients in TestBadFlightClientsStayWithinMemory")
	// badClientsMemoryMB is the memory limit of the program, in MB.
	badClientsMemoryMB = flag.Int("bad.memory", 192, "memory_mb of the program in the tests of bad clients")
	// badClientsTime is how long the clients of each kind come.
	badClientsTime = flag.Duration("bad.time", 1500*time.Millisecond, "time for each kind of clients in TestBadFlightClientsStayWithinMemory")
)

const (
	// callsPerConnection is how many calls a bad client opens on a connection.
	callsPerConnection = 64
	// honestTimeLeft is how long the honest clients wait for their answers.
	honestTimeLeft = 2 * time.Second
)

// headBlocks returns the header blocks of the first calls of a connection, callsPerConnection of them: each is a DoGet with the given
// number of further fields.
func headBlocks(moreFields int) (blocks [][]byte) {
	var buffer bytes.Buffer
	encoder := hpack.NewEncoder(&buffer)
	fields := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: "/arrow.flight.protocol.FlightService/DoGet"}, {Name: ":authority", Value: "x"},
		{Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"}, {Name: "grpc-timeout", Value: "9S"}}
	for i := range moreFields {
		fields = append(fields, hpack.HeaderField{Name: fmt.Sprintf("x%x", i), Value: "y"})
	}
	for range callsPerConnection {
		buffer.Reset()
		for _, field := range fields {
			encoder.WriteField(field)
		}
		blocks = append(blocks, bytes.Clone(buffer.Bytes()))
	}
	return blocks
}

var (
	// ordinaryHeads and largeHeads are header blocks without, and with very many, further fields.
	ordinaryHeads = headBlocks(0)
	largeHeads    = headBlocks(1500)
)

// writeHead writes a header block in as many frames as it needs.
func writeHead(framer *http2.Framer, stream uint32, block []byte) error {
	const maxFrameBytes = 16_000
	n := min(len(block), maxFrameBytes)
	err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block[:n], EndHeaders: n == len(block)})
	for block = block[n:]; err == nil && len(block) > 0; block = block[n:] {
		n = min(len(block), maxFrameBytes)
		err = framer.WriteContinuation(stream, n == len(block), block[:n])
	}
	return err
}

// badFlightClients are the kinds of bad clients: each writes on a connection of its own until a write fails, or it is done.
var badFlightClients = map[string]func(framer *http2.Framer){
	"calls that stop within messages": func(framer *http2.Framer) {
		half := append([]byte{0, 0, 0, 60_000 >> 8, 60_000 & 0xff}, make([]byte, 15_000)...)
		for i, head := range ordinaryHeads {
			stream := uint32(2*i + 1)
			if writeHead(framer, stream, head) != nil {
				return
			}
			framer.WriteData(stream, false, half)
		}
	},
	"data in frames of one byte": func(framer *http2.Framer) {
		for i, head := range ordinaryHeads {
			stream := uint32(2*i + 1)
			writeHead(framer, stream, head)
			framer.WriteData(stream, false, []byte{0, 0, 0, 60_000 >> 8, 60_000 & 0xff})
			for range 1000 {
				if framer.WriteData(stream, false, []byte{0}) != nil {
					return
				}
			}
		}
	},
	"heads of many fields": func(framer *http2.Framer) {
		for i, head := range largeHeads {
			if writeHead(framer, uint32(2*i+1), head) != nil {
				return
			}
		}
	},
}

// playBadClient has a bad client open connections, one after the other, until ctx ends. What the program sends is discarded.
func playBadClient(ctx context.Context, addr string, write func(*http2.Framer)) {
	for ctx.Err() == nil {
		socket, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { socket.Close() })
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			io.Copy(io.Discard, socket)
			socket.Close()
		}()
		buffered := bufio.NewWriterSize(socket, 64<<10)
		buffered.WriteString(http2.ClientPreface)
		framer := http2.NewFramer(buffered, nil)
		framer.WriteSettings()
		write(framer)
		buffered.Flush()
		<-closed
		stop()
	}
}

// sendHonest sends a search over HTTP every 50 ms until ctx ends, and returns how many were sent, and answered in time.
func sendHonest(ctx context.Context, addr string) (sent, answered int) {
	client := &http.Client{Timeout: honestTimeLeft + time.Second/2}
	var mu sync.Mutex
	var running sync.WaitGroup
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		search := standin.Search{Class: "all", ID: fmt.Sprint("h", sent), Dealer: "acme", Shards: []int{0}, TimeLeft: honestTimeLeft}
		sent++
		running.Go(func() {
			outcome, err := search.SendOverHTTP(context.Background(), client, addr)
			if err == nil && outcome.End == "answered" {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return sent, answered
}

// TestBadFlightClientsStayWithinMemory guards against Flight clients that take a broker over its memory, with more connections than by
// default: calls that stop within their messages, data in very small frames, and heads of very many header fields, while honest clients
// send searches over HTTP.
func TestBadFlightClientsStayWithinMemory(t *testing.T) {
	program := processtest.Build(t)
	for name, write := range badFlightClients {
		t.Run(name, func(t *testing.T) {
			p := startProgramFile(t, program, standin.NewScript(), "", "--set", fmt.Sprint("flight.conns=", *badConnections))
			flightAddr := p.listenAddress("serving Flight")
			httpAddr := p.listenAddress("msg=serving ")
			ctx, cancel := context.WithTimeout(t.Context(), *badClientsTime)
			defer cancel()
			var running sync.WaitGroup
			for range *badConnections {
				running.Go(func() { playBadClient(ctx, flightAddr, write) })
			}
			sent, answered := sendHonest(ctx, httpAddr)
			running.Wait()
			peak := processtest.PeakMemoryMB(t, p.cmd.Process.Pid)
			t.Logf("peak %d MB of %d; honest searches: %d sent, %d answered in time", peak, *badClientsMemoryMB, sent, answered)
			if answered == 0 {
				t.Error("no honest client was served")
			}
			if peak > *badClientsMemoryMB {
				t.Errorf("the program took %d MB of %d", peak, *badClientsMemoryMB)
			}
		})
	}
}
