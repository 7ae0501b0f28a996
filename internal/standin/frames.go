package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"net"

	"brackenfront/internal/protocol"
)

const (
	// partLineFields is the number of fields in the line that begins a part in a call: the id, the shard, further fields with
	// commas between them, such as d=240 for 240 ms left, and the size of the text in bytes.
	partLineFields = 4
	// scoreOfShardZero is the score, by which the broker ranks values, in a reply for shard 0; the score for shard n is n higher.
	scoreOfShardZero = 100
	// cutBytes is how many bytes at the end of a frame are left out if a reply stops halfway.
	cutBytes = 5
	// headerCutBytes is how many bytes of a frame's header are sent if a reply stops within its header.
	headerCutBytes = 3
)

// ShardValue returns the text that a node that speaks frames gives for a shard. It has characters that JSON must escape, and some
// that JSON may leave as they are.
func ShardValue(shard int) string { return fmt.Sprintf("v%d \"<é>\"\\\n", shard) }

// serveFrames answers the frames of one connection until it ends.
func (n *ScriptedNode) serveFrames(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		letter, content, err := protocol.ReadFrame(reader)
		if err != nil {
			return
		}
		switch letter {
		case protocol.CancelFrame:
			n.script.countCancel()
		case protocol.ProbeFrame:
			sendFrame(conn, protocol.ProbeFrame, "hit")
		case protocol.CallFrame:
			if !eachPart(content, func(line, text string) bool {
				attempt, fault, err := n.script.receive(n.Name, line, text)
				return err == nil && n.reply(conn, attempt, fault)
			}) {
				return
			}
		}
	}
}

// eachPart calls take for each part in the content of a call frame, with the part's header line, which ends in the size of
// its text in bytes, and the text. It stops when take returns false or the call is malformed, and reports whether take
// returned true for all parts.
func eachPart(content []byte, take func(line, text string) bool) bool {
	for len(content) > 0 {
		line, after, _ := bytes.Cut(content, []byte{'\n'})
		size := 0
		fmt.Sscan(string(line[bytes.LastIndexByte(line, ' ')+1:]), &size)
		if size < 0 || size > len(after) || !take(string(line), string(after[:size])) {
			return false
		}
		content = after[size:]
	}
	return true
}

// sendFrame writes one frame, as EncodeFrame makes it. It ignores errors, as the connection's next read returns them, too.
func sendFrame(conn net.Conn, letter byte, content string) { conn.Write(EncodeFrame(letter, content)) }

// EncodeFrame returns the bytes of a frame: the length of what follows, in 4 bytes, then the letter of the frame's type and
// its content.
func EncodeFrame(letter byte, content string) []byte {
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(content)+1)), letter), content...)
}

// reply responds to an attempt over frames as the given fault, an element of Faults such as "hit" or "overload", says. It
// returns whether the connection stays open. For "silent", and for a string that is not in Faults, it sends nothing.
func (n *ScriptedNode) reply(conn net.Conn, attempt ReceivedAttempt, fault string) bool {
	good := fmt.Sprintf("%s hit %d load=1\n%s", attempt.PartID, scoreOfShardZero+attempt.Shard, ShardValue(attempt.Shard))
	whole := EncodeFrame(protocol.ReplyFrame, good)
	switch fault {
	case "hit", "hit and status":
		conn.Write(whole)
	case "hit twice":
		conn.Write(append(whole, whole...))
	case "empty":
		sendFrame(conn, protocol.ReplyFrame, fmt.Sprintf("%s hit %d load=1\n", attempt.PartID, scoreOfShardZero+attempt.Shard))
	case "spoilt report":
		// Only the load report is malformed; the value is good.
		sendFrame(conn, protocol.ReplyFrame, fmt.Sprintf("%s hit %d ==,\x00\xff;load\n%s", attempt.PartID, scoreOfShardZero+attempt.Shard, ShardValue(attempt.Shard)))
	case "hit and bye":
		// Only the sending side is closed: to close a connection with unread input would reset it, and the reply on its way
		// would be lost.
		conn.Write(whole)
		conn.(*net.TCPConn).CloseWrite()
	case "fault", "overload":
		sendFrame(conn, protocol.ReplyFrame, attempt.PartID+" "+fault+" 0 -\n")
	case "fault after half":
		sendFrame(conn, protocol.ReplyFrame, attempt.PartID+" fault 0 -\nhalf")
	case "reset", "wordless":
		return false
	case "reset after half":
		conn.Write(whole[:len(whole)-cutBytes])
		return false
	case "reset in a header":
		conn.Write(whole[:headerCutBytes])
		return false
	case "spoilt kind":
		sendFrame(conn, 'Z', good)
	case "spoilt header":
		sendFrame(conn, protocol.ReplyFrame, "noise")
	case "spoilt word":
		sendFrame(conn, protocol.ReplyFrame, attempt.PartID+" perhaps 1 -\nx")
	case "spoilt score", "another's word":
		// Over frames, a reply to another part is only a stray one and leaves the connection open. A malformed score ends
		// the connection, as the fault "another's word" does over Flight.
		sendFrame(conn, protocol.ReplyFrame, attempt.PartID+" hit x -\nx")
	case "huge":
		// The length of this frame, 3 GiB, is more than the broker accepts, as is that of the next case, 2 GiB.
		conn.Write([]byte{0xc0, 0, 0, 0, protocol.ReplyFrame})
	case "endless":
		conn.Write([]byte{0x7f, 0xff, 0xff, 0xff, protocol.ReplyFrame})
	case "stalled":
		conn.Write(whole[:len(whole)-cutBytes])
	}
	return true
}
