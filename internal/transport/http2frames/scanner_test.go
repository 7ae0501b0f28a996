package http2frames

import (
	"bytes"
	"testing"

	"golang.org/x/net/http2"
)

// TestScannerFindsFramesInPieces checks that the frames of a client are found with their payloads, in pieces of every length.
func TestScannerFindsFramesInPieces(t *testing.T) {
	var stream bytes.Buffer
	stream.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&stream, nil)
	framer.WriteSettings()
	framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte("fields"), EndHeaders: true})
	framer.WriteData(1, true, bytes.Repeat([]byte("d"), 300))
	framer.WriteData(3, true, nil)
	framer.WriteRSTStream(1<<31-1, http2.ErrCodeCancel)
	want := []struct {
		frameType http2.FrameType
		streamID  uint32
		payload   string
	}{
		{http2.FrameSettings, 0, ""},
		{http2.FrameHeaders, 1, "fields"},
		{http2.FrameData, 1, string(bytes.Repeat([]byte("d"), 300))},
		{http2.FrameData, 3, ""},
		{http2.FrameRSTStream, 1<<31 - 1, "\x00\x00\x00\x08"},
	}
	for pieceLength := 1; pieceLength <= stream.Len(); pieceLength++ {
		scanner := NewClientScanner()
		found := 0
		payload := ""
		for rest := stream.Bytes(); len(rest) > 0; {
			piece := scanner.Next(rest[:min(pieceLength, len(rest))])
			if piece.Length == 0 {
				t.Fatalf("pieces of %d bytes: no progress", pieceLength)
			}
			rest = rest[piece.Length:]
			payload += string(piece.Payload)
			if !piece.EndsFrame {
				continue
			}
			if found == len(want) {
				t.Fatalf("pieces of %d bytes: more than %d frames", pieceLength, found)
			}
			frame := scanner.Frame()
			if frame.Type != want[found].frameType || frame.StreamID != want[found].streamID || payload != want[found].payload {
				t.Fatalf("pieces of %d bytes: frame %d is %v with payload %q, expected %+v", pieceLength, found, frame, payload, want[found])
			}
			found++
			payload = ""
		}
		if found != len(want) {
			t.Fatalf("pieces of %d bytes: %d frames, expected %d", pieceLength, found, len(want))
		}
	}
}
