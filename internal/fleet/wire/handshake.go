package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"time"
)

const (
	// protocolVersion is the version of the protocol; two brokers connect only if they have the same.
	protocolVersion = 1
	// maxHelloBytes is the largest length, in bytes, of an encoded hello that is accepted, with the id of the key in front of it.
	maxHelloBytes = 1 << 10
	// handshakeTimeout bounds the handshake, on each side.
	handshakeTimeout = 2 * time.Second
	// frameReady is the kind of the dialling side's first frame. Its MAC covers what the accepting side has just sent, which
	// proves that the dialling side's hello was not replayed.
	frameReady = 'r'
)

// Labels that are part of the input of the MACs and keys of a handshake, one for each purpose, so that a MAC or key for one purpose
// is never valid for another.
const (
	// labelHello is part of the input of the MAC that authenticates the dialling side's hello, the first message of the
	// handshake.
	labelHello = "hello"
	// labelWelcome is part of the input of the MAC that authenticates the accepting side's hello; this MAC covers the
	// hellos of both sides.
	labelWelcome = "welcome"
	// labelDialled is part of the input from which the key for the frames of the dialling side is derived.
	labelDialled = "there"
	// labelAccepted is part of the input from which the key for the frames of the accepting side is derived.
	labelAccepted = "back"
)

// ConnPurpose says what a connection is for, and thereby which requests the accepting side serves on it. The dialling side
// states it in its hello. The handshake does not check it: a connection with another value than these is for the accepting
// side to close.
type ConnPurpose uint8

const (
	// PurposePeer is for the messages that one member of the council sends to another, or to a broker that may become one.
	PurposePeer ConnPurpose = iota + 1
	// PurposeClient is for the requests of a broker, or of an operator's command, to another broker, and for the replies.
	PurposeClient
)

// Hello is the message of the handshake in which each side describes itself.
type Hello struct {
	// Version is the version of the protocol that the sender speaks; the handshake sets it.
	Version int `cbor:"1,keyasint"`
	// Purpose is what the connection is for; the accepting side's hello repeats that of the dialling side.
	Purpose ConnPurpose `cbor:"2,keyasint"`
	// Broker is the name in the fleet of the sender's broker; empty for an operator's command.
	Broker string `cbor:"3,keyasint"`
	// Process identifies the sender's process; it is drawn at random when the process starts.
	Process [16]byte `cbor:"4,keyasint"`
	// StorageID is the number of the sender's disk; 0 if it has none.
	StorageID uint64 `cbor:"5,keyasint,omitempty"`
	// StorageBlank says that the sender's disk holds no council's state yet.
	StorageBlank bool `cbor:"6,keyasint,omitempty"`
	// WriteCount is the number of durable writes that the sender's disk has counted since it was created.
	WriteCount uint64 `cbor:"7,keyasint,omitempty"`
	// WriteCountAtOpen is the value of WriteCount when the sender's process opened the disk.
	WriteCountAtOpen uint64 `cbor:"8,keyasint,omitempty"`
	// ListenAddr is the address, host:port, at which the sender listens for other brokers of the fleet; empty if it does not.
	ListenAddr string `cbor:"9,keyasint,omitempty"`
	// Nonce is a random number for one connection, so that an earlier handshake cannot be replayed; the handshake sets
	// it.
	Nonce [16]byte `cbor:"10,keyasint"`
}

// Dial makes the handshake on a connection that this side has dialled, within handshakeTimeout. mine is this side's hello, of which
// Dial sets Version and Nonce. It returns the connection for frames and the other side's hello. The error is one of this package's
// or the network's; the caller then has to close the connection.
func Dial(raw net.Conn, keys *Keys, mine Hello) (*Conn, Hello, error) {
	raw.SetDeadline(time.Now().Add(handshakeTimeout))
	conn := newConn(raw)
	key := keys.primary()
	mine.Version = protocolVersion
	rand.Read(mine.Nonce[:])
	dialled := Encode(mine)
	if err := writeHello(raw, append(keyID(key), dialled...), mac(key, []byte(labelHello), dialled)); err != nil {
		return nil, Hello{}, err
	}
	accepted, sum, err := readHello(conn.reader)
	if err != nil {
		return nil, Hello{}, err
	}
	if !hmac.Equal(sum, mac(key, []byte(labelWelcome), dialled, accepted)[:macBytes]) {
		return nil, Hello{}, ErrForged
	}
	theirs, err := unpackHello(accepted)
	if err != nil {
		return nil, theirs, err
	}
	conn.sendKey = mac(key, []byte(labelDialled), dialled, accepted)
	conn.receiveKey = mac(key, []byte(labelAccepted), dialled, accepted)
	if err := conn.Write(frameReady, nil); err != nil {
		return nil, theirs, err
	}
	raw.SetDeadline(time.Time{})
	return conn, theirs, nil
}

// Accept makes the handshake on a connection that the other side has dialled, within handshakeTimeout. mine is this side's
// hello, of which Accept sets Version, Purpose and Nonce. It returns the connection for frames and the other side's hello. The
// error is one of this package's or the network's; the caller then has to close the connection.
func Accept(raw net.Conn, keys *Keys, mine Hello) (*Conn, Hello, error) {
	deadline := time.Now().Add(handshakeTimeout)
	raw.SetDeadline(deadline)
	conn := newConn(raw)
	conn.readDeadline = deadline
	key, dialled, err := readDialledHello(conn.reader, keys)
	if err != nil {
		return nil, Hello{}, err
	}
	theirs, err := unpackHello(dialled)
	if err != nil {
		return nil, theirs, err
	}
	mine.Version = protocolVersion
	mine.Purpose = theirs.Purpose
	rand.Read(mine.Nonce[:])
	accepted := Encode(mine)
	if err := writeHello(raw, accepted, mac(key, []byte(labelWelcome), dialled, accepted)); err != nil {
		return nil, theirs, err
	}
	conn.sendKey = mac(key, []byte(labelAccepted), dialled, accepted)
	conn.receiveKey = mac(key, []byte(labelDialled), dialled, accepted)
	if kind, _, err := conn.Read(0); err != nil {
		return nil, theirs, err
	} else if kind != frameReady {
		return nil, theirs, ErrMalformed
	}
	raw.SetDeadline(time.Time{})
	conn.readDeadline = time.Time{}
	return conn, theirs, nil
}

// readDialledHello reads the dialling side's hello, with the id of its key in front of it, and checks its MAC. It returns
// the key and the encoded hello.
func readDialledHello(r io.Reader, keys *Keys) (key, hello []byte, err error) {
	payload, sum, err := readHello(r)
	if err != nil {
		return nil, nil, err
	}
	if len(payload) < keyIDBytes {
		return nil, nil, ErrMalformed
	}
	id := payload[:keyIDBytes]
	hello = payload[keyIDBytes:]
	key = keys.find(id)
	if key == nil {
		return nil, nil, ErrUnknownKey
	}
	if !hmac.Equal(sum, mac(key, []byte(labelHello), hello)[:macBytes]) {
		return nil, nil, ErrForged
	}
	return key, hello, nil
}

// unpackHello decodes a hello and checks its version; the error is for one that is malformed or of another version.
func unpackHello(encoded []byte) (hello Hello, err error) {
	if err := Decode(encoded, &hello); err != nil {
		return hello, err
	}
	if hello.Version != protocolVersion {
		return hello, ErrVersion
	}
	return hello, nil
}

// writeHello writes a message of the handshake: the payload's length in 4 bytes, the payload, and sum, its MAC, truncated to
// macBytes.
func writeHello(c net.Conn, payload, sum []byte) error {
	message := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	_, err := c.Write(append(append(message, payload...), sum[:macBytes]...))
	return err
}

// readHello reads a message of the handshake with a payload of at most maxHelloBytes. It returns the payload and, in sum, the
// truncated MAC that came with it, which it does not check.
func readHello(r io.Reader) (payload, sum []byte, err error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHelloBytes {
		return nil, nil, ErrTooLarge
	}
	body := make([]byte, int(size)+macBytes)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, nil, err
	}
	return body[:size], body[size:], nil
}
