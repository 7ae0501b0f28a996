package simwire

import (
	"encoding/json"
	"fmt"
)

// frame is one line of the wire: a name and its values in order. The first value
// that is missing or of the wrong type is kept in err; later reads give zeros.
type frame struct {
	name   string
	values []json.RawMessage
	err    error
}

func parseFrame(line []byte) (*frame, error) {
	var raw []json.RawMessage
	f := &frame{}
	if err := json.Unmarshal(line, &raw); err != nil {
		return nil, fmt.Errorf("expected an array on one line: %w", err)
	}
	if len(raw) == 0 || json.Unmarshal(raw[0], &f.name) != nil {
		return nil, fmt.Errorf("expected a message name first")
	}
	f.values = raw[1:]
	return f, nil
}

func (f *frame) read(i int, field, want string, into any) {
	if f.err != nil {
		return
	}
	if i >= len(f.values) {
		f.err = fmt.Errorf("%s: field %s is missing: expected %s", f.name, field, want)
	} else if v := string(f.values[i]); v == "null" || json.Unmarshal(f.values[i], into) != nil {
		f.err = fmt.Errorf("%s: field %s: expected %s, got %.60s", f.name, field, want, v)
	}
}

func (f *frame) num(i int, field string) (v float64) {
	f.read(i, field, "a number", &v)
	return
}

func (f *frame) whole(i int, field string) (v int64) {
	f.read(i, field, "a whole number", &v)
	return
}

func (f *frame) text(i int, field string) (v string) {
	f.read(i, field, "text", &v)
	return
}

// absent tells whether an optional value was left out.
func (f *frame) absent(i int) bool {
	return i >= len(f.values) || string(f.values[i]) == "null" || string(f.values[i]) == "0"
}
