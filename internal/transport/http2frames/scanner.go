// Package http2frames finds the frames (RFC 9113, section 4) in the bytes of one direction of an HTTP/2 connection, as they pass by
// in pieces of any length. It reads the headers of frames only and checks nothing: the HTTP/2 library that sends or receives
// the bytes does that.
package http2frames

import (
	"encoding/binary"

	"golang.org/x/net/http2"
)

// headerBytes is the size, in bytes, of the header of a frame (RFC 9113, section 4.1).
const headerBytes = 9

// Scanner follows the frames in the bytes that a client sends, from the connection's first byte on. A copy of a Scanner is
// independent of it, and can look ahead. Its methods must not be called concurrently.
type Scanner struct {
	// prefaceLeft is how many bytes of the client's connection preface are still to come.
	prefaceLeft int
	// header holds the first headerLength bytes of the current frame's header.
	header [headerBytes]byte
	// headerLength is how many bytes of the current frame's header have come; 0 again once the header is complete.
	headerLength int
	// payloadLeft is how many bytes of the current frame's payload are still to come.
	payloadLeft int
	// frame is what Frame returns.
	frame http2.FrameHeader
}

// Piece describes the bytes by which Next has advanced a Scanner.
type Piece struct {
	// Length is the number of bytes; at least 1 unless Next was given none.
	Length int
	// Payload holds those bytes if they are payload of the frame that Frame returns; otherwise it is nil.
	Payload []byte
	// BeginsFrame says that the header of the frame that Frame returns is complete with the last of the bytes.
	BeginsFrame bool
	// EndsFrame says that the last of the bytes is the last one of the frame that Frame returns.
	EndsFrame bool
}

// NewClientScanner returns a Scanner of the bytes that a client sends, which begin with the connection preface.
func NewClientScanner() Scanner { return Scanner{prefaceLeft: len(http2.ClientPreface)} }

// Next advances the scanner over the first bytes of b: up to the end of the preface, of a frame's header or of a payload, or to
// the end of b.
func (s *Scanner) Next(b []byte) Piece {
	switch {
	case s.prefaceLeft > 0:
		n := min(s.prefaceLeft, len(b))
		s.prefaceLeft -= n
		return Piece{Length: n}
	case s.payloadLeft > 0:
		n := min(s.payloadLeft, len(b))
		s.payloadLeft -= n
		return Piece{Length: n, Payload: b[:n], EndsFrame: s.payloadLeft == 0}
	}
	n := copy(s.header[s.headerLength:], b)
	if s.headerLength += n; s.headerLength < headerBytes {
		return Piece{Length: n}
	}
	s.headerLength = 0
	s.frame = http2.FrameHeader{
		Length:   uint32(s.header[0])<<16 | uint32(s.header[1])<<8 | uint32(s.header[2]),
		Type:     http2.FrameType(s.header[3]),
		Flags:    http2.Flags(s.header[4]),
		StreamID: binary.BigEndian.Uint32(s.header[5:]) &^ (1 << 31),
	}
	s.payloadLeft = int(s.frame.Length)
	return Piece{Length: n, BeginsFrame: true, EndsFrame: s.payloadLeft == 0}
}

// Frame returns the header of the newest frame whose header is complete; the zero value before the first.
func (s *Scanner) Frame() http2.FrameHeader { return s.frame }
