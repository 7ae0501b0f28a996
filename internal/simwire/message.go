package simwire

import (
	"encoding/json"
	"fmt"
)

// message is one line of the protocol: a JSON array with the message's name and its values in order. After a value that
// is missing or of the wrong type, reads return zero values.
type message struct {
	name   string            // name of the message, such as REQUEST
	values []json.RawMessage // values of the message, after its name, not decoded yet
	err    error             // first error that reading one of the values has brought; nil for none
}

// parseMessage parses one line of the protocol. It returns an error if the line is not a JSON array that begins with a
// message name; the other values are only checked when they are read.
func parseMessage(line []byte) (*message, error) {
	var elements []json.RawMessage
	m := &message{}
	if err := json.Unmarshal(line, &elements); err != nil {
		return nil, fmt.Errorf("expected an array on one line: %w", err)
	}
	if len(elements) == 0 || json.Unmarshal(elements[0], &m.name) != nil {
		return nil, fmt.Errorf("expected a message name first")
	}
	m.values = elements[1:]
	return m, nil
}

// read decodes value i, counted from 0 after the message name, into the variable that into points to. If it is missing,
// null or of another type, m.err is set, with the field's name and a description of what was expected. After an earlier
// error nothing is read.
func (m *message) read(i int, field, expected string, into any) {
	if m.err != nil {
		return
	}
	if i >= len(m.values) {
		m.err = fmt.Errorf("%s: field %s is missing: expected %s", m.name, field, expected)
	} else if value := string(m.values[i]); value == "null" || json.Unmarshal(m.values[i], into) != nil {
		m.err = fmt.Errorf("%s: field %s: expected %s, got %.60s", m.name, field, expected, value)
	}
}

// number returns value i, counted from 0 after the message name, as a number; 0, and an error in m.err, if it is none.
// field is its name in the error.
func (m *message) number(i int, field string) (value float64) {
	m.read(i, field, "a number", &value)
	return
}

// integer returns value i, counted from 0 after the message name, as a whole number; 0, and an error in m.err, if it is
// none. field is its name in the error.
func (m *message) integer(i int, field string) (value int64) {
	m.read(i, field, "a whole number", &value)
	return
}

// text returns value i, counted from 0 after the message name, as text; empty, with an error in m.err, if it is none.
// field is its name in the error.
func (m *message) text(i int, field string) (value string) {
	m.read(i, field, "text", &value)
	return
}

// absent reports whether the optional value i, counted from 0 after the message name, is missing, null or 0.
func (m *message) absent(i int) bool {
	return i >= len(m.values) || string(m.values[i]) == "null" || string(m.values[i]) == "0"
}
