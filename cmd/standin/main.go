// Command standin runs stand-in nodes for trying the router by hand: it listens at every address of its command line,
// prints the parts that it receives, and answers each of them with the part's own text. With --flight as its first argument
// the nodes speak Flight, and answer with tables of three rows.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"brackenfront/internal/protocol"
	"brackenfront/internal/standin"
)

const (
	// idleTimeout bounds how long a connection may stay without a frame from the broker; after that the node closes it.
	idleTimeout = 10 * time.Minute
	// partLineFields is the number of fields in the line that begins a part in a call: the id, the shard, further fields with
	// commas between them, such as d=240 for 240 ms left, and the size of the text in bytes.
	partLineFields = 4
)

// main runs a stand-in node at each address on the command line; the nodes speak Flight if --flight precedes the addresses, and
// frames otherwise. It runs until it is killed; it exits with 1 if a node cannot listen or fails, and with 2 if no address is given.
func main() {
	addrs := os.Args[1:]
	speaksFlight := len(addrs) > 0 && addrs[0] == "--flight"
	if speaksFlight {
		addrs = addrs[1:]
	}
	if len(addrs) == 0 {
		fmt.Fprintln(os.Stderr, "usage: standin [--flight] ADDRESS ...")
		os.Exit(2)
	}
	// failed receives the error of a node whose listener has failed.
	failed := make(chan error)
	if speaksFlight {
		script := standin.NewScript()
		script.SetFaultFor(func(attempt standin.ReceivedAttempt) string {
			fmt.Printf("%s asked %s %d %s %q\n", attempt.NodeName, attempt.PartID, attempt.Shard, attempt.Fields, attempt.SearchText)
			return "hit"
		})
		for _, addr := range addrs {
			if _, err := script.NewNodeAt(addr, addr, 0, true); err != nil {
				fmt.Fprintln(os.Stderr, "standin:", err)
				os.Exit(1)
			}
		}
		select {}
	}
	for _, addr := range addrs {
		go func() { failed <- listen(addr) }()
	}
	fmt.Fprintln(os.Stderr, "standin:", <-failed)
	os.Exit(1)
}

// listen runs a node that speaks frames and listens at addr, a host:port. It returns only when its listener fails, with that error.
func listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			for reader := bufio.NewReader(conn); ; {
				conn.SetDeadline(time.Now().Add(idleTimeout))
				letter, content, err := protocol.ReadFrame(reader)
				if err == nil {
					err = answer(conn, addr, letter, content)
				}
				if err != nil {
					fmt.Println(addr, "connection ended:", err)
					return
				}
			}
		}()
	}
}

// answer prints one frame, given by the letter of its type and its content, that the node at addr received on a connection, and
// replies to it. It returns an error, which ends the connection, for a frame that is malformed and for a write that fails.
func answer(conn net.Conn, addr string, letter byte, content []byte) error {
	switch letter {
	case protocol.CallFrame:
		for len(content) > 0 {
			line, after, _ := bytes.Cut(content, []byte{'\n'})
			fields := bytes.Fields(line)
			if len(fields) != partLineFields {
				return fmt.Errorf("malformed line of a part: %q", line)
			}
			size, err := strconv.Atoi(string(fields[3]))
			if err != nil || size < 0 || size > len(after) {
				return fmt.Errorf("malformed size of a part's text: %q", fields[3])
			}
			fmt.Printf("%s asked %s %q\n", addr, line, after[:size])
			if err := sendFrame(conn, protocol.ReplyFrame, fmt.Sprintf("%s hit 1 -\n%s", fields[0], after[:size])); err != nil {
				return err
			}
			content = after[size:]
		}
	case protocol.CancelFrame:
		fmt.Printf("%s given up %s\n", addr, content)
	case protocol.ProbeFrame:
		return sendFrame(conn, protocol.ProbeFrame, "hit")
	default:
		return fmt.Errorf("unknown frame letter %q", letter)
	}
	return nil
}

// sendFrame writes a frame, whose type is given by a letter.
func sendFrame(conn net.Conn, letter byte, content string) error {
	_, err := conn.Write(standin.EncodeFrame(letter, content))
	return err
}
