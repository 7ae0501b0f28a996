package flightnodes

import (
	"io"

	"golang.org/x/net/http2"
)

// priorityBytes is the size, in bytes, of the priority fields of an HTTP/2 HEADERS frame that has them (RFC 9113, section 6.2).
const priorityBytes = 5

// parseFrames parses buffer, the bytes of a write, before they are written, and adds the ends of requests and the resets of streams
// in them to streamEnds. A frame may begin in one write and end in another.
func (t *trackedConn) parseFrames(buffer []byte) {
	for offset := 0; offset < len(buffer); {
		piece := t.scanner.Next(buffer[offset:])
		offset += piece.Length
		if frameType := t.scanner.Frame().Type; frameType == http2.FrameHeaders || frameType == http2.FrameContinuation {
			t.headerBlock.Write(piece.Payload)
		}
		if piece.EndsFrame {
			t.frameComplete(offset)
		}
	}
}

// frameComplete handles the current frame once its last byte has been parsed; offset is the number of bytes of the write up to
// and including that byte.
func (t *trackedConn) frameComplete(offset int) {
	frame := t.scanner.Frame()
	switch frame.Type {
	case http2.FrameHeaders:
		t.headerStream = frame.StreamID
		t.headersEndStream = frame.Flags.Has(http2.FlagHeadersEndStream)
		if frame.Flags.Has(http2.FlagHeadersPriority) {
			t.headerBlock.Next(priorityBytes)
		}
		t.headersReceived(offset, frame.Flags.Has(http2.FlagHeadersEndHeaders))
	case http2.FrameContinuation:
		t.headersReceived(offset, frame.Flags.Has(http2.FlagContinuationEndHeaders))
	case http2.FrameData:
		if frame.Flags.Has(http2.FlagDataEndStream) {
			t.addStreamEnd(offset, frame.StreamID, true)
		}
	case http2.FrameRSTStream:
		t.addStreamEnd(offset, frame.StreamID, false)
	}
}

// headersReceived is called after each frame of a header block; complete says that the frame was the last one of the block. It
// then decodes the block and records the tag of the stream's attempt in tagOfStream. offset is the number of bytes of the write up
// to the frame's end.
func (t *trackedConn) headersReceived(offset int, complete bool) {
	if !complete {
		return
	}
	t.decodedTag = ""
	// Errors are not looked at, as the gRPC library writes well-formed header blocks.
	io.Copy(t.decoder, &t.headerBlock)
	t.decoder.Close()
	if t.decodedTag != "" {
		// Without this, the map would grow with every stream of the connection.
		if len(t.tagOfStream) >= t.pruneAt {
			for stream, tag := range t.tagOfStream {
				if !t.isActive(tag) {
					delete(t.tagOfStream, stream)
				}
			}
			t.pruneAt = max(minPruneAt, 2*len(t.tagOfStream))
		}
		t.tagOfStream[t.headerStream] = t.decodedTag
		if t.headersEndStream {
			t.addStreamEnd(offset, t.headerStream, true)
		}
	}
}

// addStreamEnd adds an entry to streamEnds for the stream with the given number: for the last byte of its request if endsRequest is
// true, else for the last byte of its reset. offset is the number of bytes of the write up to and including that byte. It does
// nothing for a stream that carries no attempt, that is, for which tagOfStream has no tag.
func (t *trackedConn) addStreamEnd(offset int, stream uint32, endsRequest bool) {
	if tag, ok := t.tagOfStream[stream]; ok {
		t.streamEnds = append(t.streamEnds, streamEnd{offset, tag, endsRequest})
		if !endsRequest {
			delete(t.tagOfStream, stream)
		}
	}
}
