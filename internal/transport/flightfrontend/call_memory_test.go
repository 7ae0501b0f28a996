package flightfrontend

import (
	"testing"

	"golang.org/x/net/http2"

	"brackenfront/internal/transport/http2frames"
	"brackenfront/internal/transport/parts"
)

// dataPiece returns a frame of data of a stream and the piece with all of its payload.
func dataPiece(stream uint32, length int) (http2.FrameHeader, http2frames.Piece) {
	return http2.FrameHeader{Type: http2.FrameData, StreamID: stream, Length: uint32(length)},
		http2frames.Piece{Length: length, Payload: make([]byte, length), EndsFrame: true}
}

// TestCallMemory checks the account of a connection's calls: what is within freeCallMemory needs no budget, what is beyond is
// reserved, a call or data for which there is no memory is refused, and all is released when the calls have ended, in any order.
func TestCallMemory(t *testing.T) {
	const budgetBytes = 64 << 10
	budget := &parts.MemoryBudget{MaxBytes: budgetBytes}
	memory := newCallMemory(budget)
	calls := (freeCallMemory + budgetBytes) / memoryPerCall
	for i := range calls {
		if !memory.open(uint32(2*i + 1)) {
			t.Fatalf("call %d of %d is refused", i+1, calls)
		}
		if free := freeCallMemory / memoryPerCall; i < free && budget.Reserved() > 0 {
			t.Fatalf("call %d takes from the budget", i+1)
		}
	}
	if memory.open(uint32(2*calls + 1)) {
		t.Error("a call beyond the budget is accepted")
	}
	if memory.deliver(dataPiece(1, 1)) {
		t.Error("data beyond the budget are accepted")
	}
	// The call that was refused is not open, so that its data are discarded.
	if !memory.deliver(dataPiece(uint32(2*calls+1), 1)) {
		t.Error("data of a call that is not open end the connection")
	}
	memory.end(3)
	if !memory.deliver(dataPiece(1, memoryPerCall/memoryPerByte)) || memory.deliver(dataPiece(1, 1)) {
		t.Error("the data that fit are refused, or further ones are accepted")
	}
	for i := range calls {
		memory.end(uint32(2*i + 1))
	}
	if held := budget.Reserved(); held != 0 || memory.used != 0 {
		t.Errorf("%d bytes are reserved and %d used when all calls have ended", held, memory.used)
	}
}

// TestSmallDataFramesCount checks that a frame of data counts for more than its bytes, as the gRPC library has a buffer for each.
func TestSmallDataFramesCount(t *testing.T) {
	memory := newCallMemory(&parts.MemoryBudget{})
	memory.open(1)
	header := http2.FrameHeader{Type: http2.FrameData, StreamID: 1, Length: 1}
	for range freeCallMemory / memoryPerDataFrame {
		if !memory.deliver(header, http2frames.Piece{Length: 9, BeginsFrame: true}) {
			return
		}
	}
	t.Error("frames of one byte cost nothing")
}

// TestRejectedHeadsEndConnection checks that the connection ends with a head too many that does not become a call, and that heads
// which become calls do not count.
func TestRejectedHeadsEndConnection(t *testing.T) {
	memory := newCallMemory(&parts.MemoryBudget{MaxBytes: 1 << 30})
	header := http2.FrameHeader{Type: http2.FrameHeaders, Length: 100, Flags: http2.FlagHeadersEndHeaders}
	deliverHead := func() bool { return memory.deliver(header, http2frames.Piece{BeginsFrame: true, EndsFrame: true}) }
	for i := range 100 {
		if !deliverHead() || !memory.open(uint32(2*i+1)) {
			t.Fatal("an accepted call ends the connection")
		}
	}
	// A call makes up for a rejected head, so that a connection of many users goes on.
	for i := range 100 {
		rejected := deliverHead()
		accepted := deliverHead() && memory.open(uint32(2*i+201))
		if !rejected || !accepted {
			t.Fatal("a rejected head for each accepted call ends the connection")
		}
	}
	for i := range maxRejectedHeads + 1 {
		if !deliverHead() {
			t.Fatalf("the connection ends with rejected head %d", i)
		}
	}
	if deliverHead() {
		t.Error("the connection goes on")
	}
}

// TestLargeHeadEndsConnection checks that a head ends the connection as soon as the lengths of its frames add up to more than
// maxHeaderBytes, before the library decodes it.
func TestLargeHeadEndsConnection(t *testing.T) {
	memory := newCallMemory(&parts.MemoryBudget{})
	begin := http2frames.Piece{Length: 9, BeginsFrame: true}
	for range 3 {
		// Heads one after the other do not add up.
		if !memory.deliver(http2.FrameHeader{Type: http2.FrameHeaders, Length: maxHeaderBytes}, begin) {
			t.Fatal("the largest head ends the connection")
		}
	}
	if memory.deliver(http2.FrameHeader{Type: http2.FrameContinuation, Length: 1}, begin) {
		t.Error("a continuation may exceed the largest head")
	}
	memory = newCallMemory(&parts.MemoryBudget{})
	if memory.deliver(http2.FrameHeader{Type: http2.FrameHeaders, Length: maxHeaderBytes + 1}, begin) {
		t.Error("a frame may exceed the largest head")
	}
}
