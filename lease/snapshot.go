package lease

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// snapshot is the form in which a State is stored and sent. Each field has the content of the State field of that name.
type snapshot struct {
	Config     Config           `cbor:"1,keyasint"`            // council's configuration: durations and limits of sessions and leases
	Now        float64          `cbor:"2,keyasint"`            // council's time in seconds since its founding
	GrantsFrom float64          `cbor:"3,keyasint"`            // council's time in seconds before which nothing is granted
	LastToken  uint64           `cbor:"4,keyasint"`            // token (number) of the last grant of any lease
	NextExpiry float64          `cbor:"5,keyasint"`            // council's time in seconds before which nothing expires
	Sessions   []*sessionRecord `cbor:"6,keyasint"`            // open sessions, in the order in which they were opened
	Leases     []*leaseRecord   `cbor:"7,keyasint"`            // leases that are held or waited for, sorted by name
	Notes      []*Note          `cbor:"8,keyasint,omitempty"`  // notes of leases, sorted by the lease's name
	Pools      []*poolRecord    `cbor:"9,keyasint,omitempty"`  // budgets, sorted by name
	LastNumber uint64           `cbor:"10,keyasint,omitempty"` // highest number given so far to a share (Share.Number) or a session (Answer.Incarnation)
}

var (
	// encMode is the CBOR encoding with which equal values have equal bytes.
	encMode, _ = cbor.CoreDetEncOptions().EncMode()

	// decMode is the CBOR decoding that refuses unknown fields, duplicate map keys, and too large or too deeply nested values.
	decMode, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 20, MaxNestedLevels: 16,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

// Encode returns the CBOR encoding of a value, which is the same for equal values. It panics for a type that cannot be encoded.
func Encode(value any) []byte {
	data, err := encMode.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Decode decodes what Encode returned into the variable that value points to. It returns an error if the data is malformed or
// has unknown fields.
func Decode(data []byte, value any) error {
	if err := decMode.Unmarshal(data, value); err != nil {
		return fmt.Errorf("lease: %w", err)
	}
	return nil
}

// Snapshot returns the whole state as bytes, the same on every member that has applied the same commands.
func (s *State) Snapshot() []byte {
	content := snapshot{s.config, s.now, s.grantsFrom, s.lastToken, s.nextExpiry, s.sessions, make([]*leaseRecord, 0, len(s.leases)), nil, nil, s.lastNumber}
	for _, name := range s.leaseNames() {
		content.Leases = append(content.Leases, s.leases[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.notes)) {
		content.Notes = append(content.Notes, s.notes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		content.Pools = append(content.Pools, s.pools[name])
	}
	return Encode(content)
}

// RestoreState returns the state that Snapshot encoded as data. It returns an error if data cannot be decoded.
func RestoreState(data []byte) (*State, error) {
	var content snapshot
	if err := Decode(data, &content); err != nil {
		return nil, err
	}
	s := &State{
		config:      content.Config,
		now:         content.Now,
		grantsFrom:  content.GrantsFrom,
		lastToken:   content.LastToken,
		lastNumber:  content.LastNumber,
		nextExpiry:  content.NextExpiry,
		sessions:    content.Sessions,
		sessionByID: map[ID]*sessionRecord{},
		leases:      map[string]*leaseRecord{},
		notes:       map[string]*Note{},
		pools:       map[string]*poolRecord{},
	}
	for _, session := range s.sessions {
		s.sessionByID[session.ID] = session
	}
	for _, lease := range content.Leases {
		s.leases[lease.Name] = lease
	}
	for _, note := range content.Notes {
		s.notes[note.Name] = note
	}
	for _, pool := range content.Pools {
		s.pools[pool.Name] = pool
	}
	return s, nil
}
