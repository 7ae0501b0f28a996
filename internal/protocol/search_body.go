package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// noShard is the shard index of a part whose shard is missing or not an integer.
const noShard = -1

// The member that holds the text of a search, and what errors say about it.
const (
	// textMember is the path of the text in errors: the member body of the HTTP request's body.
	textMember = "body.body"
	// expectedText describes in errors what a valid text is.
	expectedText = "text of whole Unicode characters"
)

// Members that are not read are allowed, but the decoder remembers the names of an object while it reads it, and takes time for each
// token: a body may have otherTokens tokens in such members, and otherTokensPerPart more for each part that a search may have.
const (
	otherTokens        = 256
	otherTokensPerPart = 16
)

// searchBody is the JSON body of a search as received; its values are not validated yet.
type searchBody struct {
	// parts are the parts as they were read, whose shards and weights have not been checked.
	parts []Part
	// text is the text that nodes search for; nil if it is missing or not a string.
	text *string
}

// Names of the members of JSON objects that are read. The objects may have other members.
var (
	// searchMembers are the names of the members of a search's JSON body that are read: its parts, and its text.
	searchMembers = []string{"buckets", "body"}
	// partMembers are the names of the members of a part's JSON object that are read: "bucket", its shard, and "part", its
	// weight.
	partMembers = []string{"bucket", "part"}
)

// bodyReader reads the JSON body of a search and rejects what other JSON readers could understand differently. The decoder
// rejects duplicate names in one object, at any depth, and invalid Unicode. bodyReader itself rejects names that differ from
// a known one only in case, as readers that ignore case would not distinguish the two.
type bodyReader struct {
	// decoder splits the body into JSON tokens.
	decoder *jsontext.Decoder
	// maxParts is the largest number of parts that a search may have.
	maxParts int
	// maxOtherTokens is the largest number of JSON tokens in the values of members that are not read.
	maxOtherTokens int
	// otherTokens counts these tokens.
	otherTokens int
}

// parseSearchBody reads the body of a search, up to the first error; every error is an *InvalidFieldError. maxParts is the largest
// number of parts that the search may have.
func parseSearchBody(raw []byte, maxParts int) (*searchBody, error) {
	reader := &bodyReader{
		decoder:        jsontext.NewDecoder(bytes.NewBuffer(raw)),
		maxParts:       maxParts,
		maxOtherTokens: otherTokens + otherTokensPerPart*maxParts,
	}
	body := &searchBody{}
	err := reader.readSearch(body)
	if err == nil {
		err = reader.readEnd()
	}
	if err != nil {
		return nil, toInvalidFieldError(err)
	}
	return body, nil
}

// readSearch reads the JSON object that a request's body consists of, and sets the fields of body from its members; other
// members are skipped.
func (r *bodyReader) readSearch(body *searchBody) error {
	if r.decoder.PeekKind() != jsontext.KindBeginObject {
		return r.kindError("an object")
	}
	return r.readObject(searchMembers, func(name string) (err error) {
		switch name {
		case "buckets":
			body.parts, err = r.readParts()
			return err
		case "body":
			body.text, err = r.readText()
			return err
		}
		return r.skipValue()
	})
}

// readObject reads a JSON object, at whose beginning the decoder stands. After the name of each member, known or not, it
// calls readMember, which has to read or skip the value; errors of readMember are returned. A name that differs from one of
// known only in case is rejected with an InvalidFieldError.
func (r *bodyReader) readObject(known []string, readMember func(name string) error) error {
	if _, err := r.decoder.ReadToken(); err != nil {
		return err
	}
	for r.decoder.PeekKind() == jsontext.KindString {
		token, err := r.decoder.ReadToken()
		if err != nil {
			return err
		}
		name := token.String()
		if similar := findInOtherCase(name, known); similar != "" {
			return &InvalidFieldError{memberName(r.decoder.StackPointer()), fmt.Sprintf("%q, or a name that differs from it by more than case", similar)}
		}
		if err := readMember(name); err != nil {
			return err
		}
	}
	_, err := r.decoder.ReadToken()
	return err
}

// findInOtherCase returns the known name that differs from name only in case, or "".
func findInOtherCase(name string, known []string) string {
	for _, candidate := range known {
		if name != candidate && strings.EqualFold(name, candidate) {
			return candidate
		}
	}
	return ""
}

// readParts reads the list of parts. A value that is not a list counts as an empty one.
func (r *bodyReader) readParts() (parts []Part, err error) {
	if r.decoder.PeekKind() != jsontext.KindBeginArray {
		return nil, r.skipValue()
	}
	if _, err := r.decoder.ReadToken(); err != nil {
		return nil, err
	}
	for {
		switch r.decoder.PeekKind() {
		case jsontext.KindEndArray, jsontext.KindInvalid:
			_, err := r.decoder.ReadToken()
			return parts, err
		}
		if len(parts) == r.maxParts {
			return nil, &InvalidFieldError{"buckets", fmt.Sprintf("%d parts at most, one for each shard", r.maxParts)}
		}
		part, err := r.readPart()
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
}

// readPart reads one part. A value that is not an object counts as an object without members.
func (r *bodyReader) readPart() (Part, error) {
	part := Part{Shard: noShard}
	if r.decoder.PeekKind() != jsontext.KindBeginObject {
		return part, r.skipValue()
	}
	err := r.readObject(partMembers, func(name string) (err error) {
		switch name {
		case "bucket":
			part.Shard, err = r.readShard()
			return err
		case "part":
			part.Weight, err = r.readWeight()
			return err
		}
		return r.skipValue()
	})
	return part, err
}

// readShard reads the index of a shard; it returns noShard for a value that is not an integer.
func (r *bodyReader) readShard() (int, error) {
	token, err := r.decoder.ReadToken()
	if err != nil {
		return noShard, err
	}
	if token.Kind() != jsontext.KindNumber {
		return noShard, r.skipRest(token)
	}
	shard, err := strconv.Atoi(token.String())
	if err != nil {
		return noShard, nil
	}
	return shard, nil
}

// readWeight reads the weight of a part; it returns 0 for a value that is not a number, and NaN for a number that does not
// fit a float64, both of which validateParts rejects.
func (r *bodyReader) readWeight() (float64, error) {
	token, err := r.decoder.ReadToken()
	if err != nil {
		return 0, err
	}
	if token.Kind() != jsontext.KindNumber {
		return 0, r.skipRest(token)
	}
	weight, err := strconv.ParseFloat(token.String(), 64)
	if err != nil {
		return math.NaN(), nil
	}
	return weight, nil
}

// readText reads the text of a search; it returns nil for a value that is not a string.
func (r *bodyReader) readText() (*string, error) {
	token, err := r.decoder.ReadToken()
	if err != nil {
		return nil, err
	}
	if token.Kind() != jsontext.KindString {
		return nil, r.skipRest(token)
	}
	text := token.String()
	return &text, nil
}

// skipValue skips a JSON value that is not read.
func (r *bodyReader) skipValue() error {
	token, err := r.decoder.ReadToken()
	if err != nil {
		return err
	}
	return r.skipRest(token)
}

// skipRest skips the rest of a JSON value whose first token, which has been read, is given. It returns an InvalidFieldError once
// more than maxOtherTokens tokens were skipped.
func (r *bodyReader) skipRest(token jsontext.Token) error {
	kind := token.Kind()
	depth := r.decoder.StackDepth()
	if kind != jsontext.KindBeginObject && kind != jsontext.KindBeginArray {
		depth++
	}
	for {
		if r.otherTokens++; r.otherTokens > r.maxOtherTokens {
			return &InvalidFieldError{"body", fmt.Sprintf("%d values and names at most in members that a search does not have", r.maxOtherTokens)}
		}
		if r.decoder.StackDepth() < depth {
			return nil
		}
		if _, err := r.decoder.ReadToken(); err != nil {
			return err
		}
	}
}

// readEnd returns an error if anything but white space follows the body's object.
func (r *bodyReader) readEnd() error {
	switch _, err := r.decoder.ReadToken(); {
	case err == io.EOF:
		return nil
	case err != nil:
		return err
	}
	return errors.New("more stands behind it")
}

// kindError returns the error for a value of another kind than expected, such as "an object": the decoder's error if the
// value is not valid JSON, otherwise one that names the expected kind.
func (r *bodyReader) kindError(expected string) error {
	if _, err := r.decoder.ReadToken(); err != nil {
		return err
	}
	return errors.New("not " + expected)
}

// toInvalidFieldError converts an error of reading the body into one that names the invalid field, or "body" if no single
// member is at fault.
func toInvalidFieldError(err error) *InvalidFieldError {
	var invalid *InvalidFieldError
	if errors.As(err, &invalid) {
		return invalid
	}
	var syntax *jsontext.SyntacticError
	if !errors.As(err, &syntax) {
		return &InvalidFieldError{"body", "a JSON object with buckets and body (" + err.Error() + ")"}
	}
	field := memberName(syntax.JSONPointer)
	switch {
	case errors.Is(err, jsontext.ErrDuplicateName):
		return &InvalidFieldError{field, "a name that stands once in its object"}
	case field == textMember:
		return &InvalidFieldError{field, expectedText}
	}
	return &InvalidFieldError{"body", "a JSON object with buckets and body (" + err.Error() + ")"}
}

// memberName returns the path to a value in the form that errors use, for example buckets[0].part.
func memberName(pointer jsontext.Pointer) string {
	var name strings.Builder
	for token := range pointer.Tokens() {
		if _, err := strconv.ParseUint(token, 10, 32); err == nil {
			name.WriteString("[" + token + "]")
			continue
		}
		if name.Len() > 0 {
			name.WriteByte('.')
		}
		if token == "" {
			token = `""`
		}
		name.WriteString(token)
	}
	if name.String() == "body" {
		return textMember
	}
	return name.String()
}
