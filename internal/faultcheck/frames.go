package faultcheck

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// The letters that say what a frame is, as the protocol's documentation gives them. Frames are read and written here after that
// documentation alone, without the program's own code, so that a mistake in that code shows.
const (
	// letterCall is the type letter of a frame by which the broker requests one part or more.
	letterCall = 'A'
	// letterGiveUp is the type letter of a frame by which the broker cancels an attempt.
	letterGiveUp = 'B'
	// letterProbe is the type letter of a health probe, and of its answer.
	letterProbe = 'C'
	// letterLoadProbe is the type letter of a probe for the node's load, and of its answer.
	letterLoadProbe = 'D'
	// letterReply is the type letter of a node's answer to an attempt.
	letterReply = 'E'
	// letterRefusal is the type letter of a frame by which a node says that it could not use a frame.
	letterRefusal = 'F'
)

// maxFrameBytes is the maximum size, in bytes, of a frame that is read; four parts of the longest text fit.
const maxFrameBytes = 1 << 20

// encodeFrame encodes a frame: its length, its type letter and its content rest.
func encodeFrame(letter byte, rest string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
	return append(append(b, letter), rest...)
}

// readFrame reads one whole frame and returns its type letter and its content rest. A frame that is empty or longer than maxFrameBytes is
// an error.
func readFrame(r io.Reader) (letter byte, rest []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > maxFrameBytes {
		return 0, nil, fmt.Errorf("a frame of length %d", size)
	}
	rest = make([]byte, size-1)
	_, err = io.ReadFull(r, rest)
	return head[4], rest, err
}

// partRequest is one part of a search as a call frame states it.
type partRequest struct {
	// id is the part's id on its connection: the search's id, a dot and the shard, followed by ".load" for the second step.
	id string
	// search is the search's id.
	search string
	// text is the search's text.
	text string
	// shard is the number of the shard that is requested.
	shard int
	// secondStep is set for a part of the search's second step.
	secondStep bool
	// brokerWait is how long the broker waits for the answer, as the frame states it.
	brokerWait time.Duration
	// firstStepShards are the shards whose first-step answers the broker had, as the frame states with a part of the second step; nil for
	// other parts.
	firstStepShards []int
}

// parseCall parses the parts of a call frame; rest is the frame's content after its letter. Each part is a line of four fields separated by
// blanks (id, shard, list of options, length of the text in bytes), followed by the text. Anything else is an error.
func parseCall(rest []byte) (parts []partRequest, err error) {
	for len(rest) > 0 {
		line, after, found := bytes.Cut(rest, []byte{'\n'})
		fields := strings.Split(string(line), " ")
		if !found || len(fields) != 4 {
			return nil, fmt.Errorf("a call's line %q", line)
		}
		size, err := strconv.Atoi(fields[3])
		if err != nil || size < 0 || size > len(after) {
			return nil, fmt.Errorf("a call's length %q", fields[3])
		}
		request := partRequest{id: fields[0], text: string(after[:size])}
		if err := request.parseFields(fields[1], fields[2]); err != nil {
			return nil, err
		}
		parts, rest = append(parts, request), after[size:]
	}
	return parts, nil
}

// parseFields sets the fields of r from the second and third field of a part's line, the shard and the list of options, and from the part's
// id, which is set already. An id that names another shard is an error.
func (r *partRequest) parseFields(shard, list string) (err error) {
	if r.shard, err = strconv.Atoi(shard); err != nil {
		return err
	}
	searchID, suffix, _ := strings.Cut(r.id, ".")
	if r.search = searchID; suffix == shard+".load" {
		r.secondStep = true
	} else if suffix != shard {
		return fmt.Errorf("an id %q at shard %s", r.id, shard)
	}
	for _, item := range strings.Split(list, ",") {
		switch key, value, _ := strings.Cut(item, "="); key {
		case "d":
			wait, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return err
			}
			r.brokerWait = time.Duration(wait * float64(time.Millisecond))
		case "from":
			for _, s := range strings.Split(value, "+") {
				firstStepShard, err := strconv.Atoi(s)
				if err != nil {
					return err
				}
				r.firstStepShards = append(r.firstStepShards, firstStepShard)
			}
		}
	}
	return nil
}

// encodeReply encodes the frame by which a node ends an attempt. id is the part's id from the call, outcome the protocol's word for the
// outcome, score the node's rating of its answer, report the text that states the node's load, and value the text of the next line: the
// answer. score and value have a meaning only if the outcome is that of a successful attempt (Hit).
func encodeReply(id, outcome string, score int, report, value string) []byte {
	return encodeFrame(letterReply, fmt.Sprintf("%s %s %d %s\n%s", id, outcome, score, report, value))
}
