package options

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// walkObject visits a JSON object and all objects nested in it. It calls visit for every value that is not an object, with
// the keys on the way to it joined by dots as its name, and duplicate for every name that occurs twice. Numbers are of type
// json.Number. The error says where the JSON cannot be read.
func walkObject(encoded []byte, visit func(name string, value any), duplicate func(name string)) error {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber()
	seen := map[string]bool{}
	// walk visits the object at which the decoder stands. prefix is the keys on the way to it, with a dot after each.
	var walk func(prefix string) error
	walk = func(prefix string) error {
		if opening, err := decoder.Token(); err != nil {
			return err
		} else if opening != json.Delim('{') {
			return fmt.Errorf("expected an object")
		}
		for decoder.More() {
			key, err := decoder.Token()
			if err != nil {
				return err
			}
			name := prefix + key.(string)
			if seen[name] {
				duplicate(name)
			}
			seen[name] = true
			var raw json.RawMessage
			if err := decoder.Decode(&raw); err != nil {
				return err
			}
			if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) {
				outer := decoder
				decoder = json.NewDecoder(bytes.NewReader(raw))
				decoder.UseNumber()
				if err := walk(name + "."); err != nil {
					return err
				}
				decoder = outer
				continue
			}
			var value any
			inner := json.NewDecoder(bytes.NewReader(raw))
			inner.UseNumber()
			if err := inner.Decode(&value); err != nil {
				return err
			}
			visit(name, value)
		}
		_, err := decoder.Token()
		return err
	}
	return walk("")
}
