package wire

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
)

const (
	// minKeyBytes is the smallest length, in bytes, of a key of the fleet that is accepted.
	minKeyBytes = 32
	// maxKeyFileBytes is the largest size of a file of keys, in bytes.
	maxKeyFileBytes = 4096
	// keyIDBytes is the length, in bytes, of the id by which a hello names the key that it is authenticated with.
	keyIDBytes = 8
	// macBytes is the length of a MAC on the wire, in bytes: HMAC-SHA-256, truncated.
	macBytes = 16
	// keyIDLabel is the text whose MAC under a key is that key's id.
	keyIDLabel = "brackenfront fleet, a key's name"
)

// Keys are the keys of the fleet. This side uses the first key for the connections that it dials, and accepts all keys on
// those that others dial. Keys can be changed in service: the new key is added as the second one at every broker, then made
// the first, and then the old one is removed. The methods may be called from any goroutine.
type Keys struct {
	// current is the list of the one or two keys in use. A change replaces the whole list.
	current atomic.Pointer[[][]byte]
}

// ReadKeys reads one or two keys from a file that only its owner may read. Each key is a line of at least 64 hexadecimal
// digits; # begins a comment. The error says what was expected and what the file has instead.
func ReadKeys(path string) (*Keys, error) {
	k := &Keys{}
	return k, k.Read(path)
}

// Read reads the keys again from a file as ReadKeys does. On an error the earlier keys stay in use.
func (k *Keys) Read(path string) error {
	if err := checkKeyFile(path); err != nil {
		return err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	keys, err := parseKeys(path, raw)
	if err != nil {
		return err
	}
	k.current.Store(&keys)
	return nil
}

// checkKeyFile checks the kind, size and permissions of a file of keys.
func checkKeyFile(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if !info.Mode().IsRegular() || info.Size() > maxKeyFileBytes {
		return fmt.Errorf("keys: %s: expected a file of one or two keys", path)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("keys: %s: mode %o, expected one that only the owner may read, as 600", path, info.Mode().Perm())
	}
	return nil
}

// parseKeys decodes the keys in the text of a key file. The path is only for the error, which names the line.
func parseKeys(path string, raw []byte) (keys [][]byte, err error) {
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for number := 1; lines.Scan(); number++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		key, err := hex.DecodeString(text)
		if err != nil || len(key) < minKeyBytes {
			return nil, fmt.Errorf("keys: %s: line %d: expected at least %d hexadecimal digits", path, number, 2*minKeyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) < 1 || len(keys) > 2 {
		return nil, fmt.Errorf("keys: %s: got %d keys, expected one or two", path, len(keys))
	}
	return keys, nil
}

// primary returns the key of the connections that this side dials.
func (k *Keys) primary() []byte { return (*k.current.Load())[0] }

// find returns the key with the given id, or nil if there is none.
func (k *Keys) find(id []byte) []byte {
	var found []byte
	for _, key := range *k.current.Load() {
		if bytes.Equal(keyID(key), id) {
			found = key
		}
	}
	return found
}

// keyID returns the id by which a hello names a key. The id is a MAC, and so does not disclose the key.
func keyID(key []byte) []byte { return mac(key, []byte(keyIDLabel))[:keyIDBytes] }

// mac returns the HMAC-SHA-256, of 32 bytes, over the fields. Each field has its length in front, so that two different lists
// of fields never have the same input.
func mac(key []byte, fields ...[]byte) []byte {
	hash := hmac.New(sha256.New, key)
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write(field)
	}
	return hash.Sum(nil)
}
