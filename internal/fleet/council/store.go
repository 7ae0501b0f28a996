package council

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// StableStorage keeps a member's log, term, vote and snapshots beyond the end of the process.
type StableStorage interface {
	// Load returns the whole state as the batches stored so far have left it.
	Load() (StoredState, error)
	// Put stores a batch. The batch is durable when Put returns without an error, and is stored whole or not at all
	// whatever happens. After an error Put is not called again.
	Put(Batch) error
	// Close releases the storage, for example its file and the lock of that. No other method may be called after it.
	Close() error
}

// StoredState is the content of a StableStorage. All bytes are Raft messages in their Protocol Buffers encoding.
type StoredState struct {
	Disk             uint64   // Raft ID of the member that owns this storage, drawn at random when the storage was created
	FoundingSnapshot []byte   // encoded Raft snapshot with which the council was founded: its configuration and first members; empty for none
	HardState        []byte   // encoded raftpb.HardState: Raft's term, vote and commit index; empty if there is none
	Snapshot         []byte   // latest Raft snapshot of the council's state, encoded; empty if there is none
	Entries          [][]byte // Raft's log entries after the snapshot, each encoded, in the order of their indices, without gaps
	WriteCount       uint64   // number of writes (calls of Put) since the storage was created
}

// Batch is one atomic, durable write to a StableStorage.
type Batch struct {
	FoundingSnapshot []byte // encoded Raft snapshot with which the council was founded: its configuration and first members; nil to keep the stored one
	HardState        []byte // encoded raftpb.HardState: Raft's term, vote and commit index; nil to keep the stored ones
	Snapshot         []byte // latest Raft snapshot of the council's state, encoded; nil to keep the stored one
	ResetLog         bool   // whether all stored log entries are deleted first, because the snapshot replaces them
	DeleteThrough    uint64 // deletes the log entries up to and including this index; 0 for none
	// FirstIndex is the index of the first of Entries. Stored entries from there on are deleted first.
	FirstIndex uint64
	Entries    [][]byte // encoded log entries to store, in the order of their indices
}

// Store is a member's log, term and vote: in memory for Raft to read, and written to a StableStorage.
type Store struct {
	*raft.MemoryStorage               // copy in memory of log, term, vote and snapshot, which Raft reads
	storage             StableStorage // where log, term, vote and snapshots are written, so that they outlive the process
	disk                uint64        // the member's Raft ID (Member.Disk)
	foundingSnapshot    []byte        // encoded Raft snapshot with which the council was founded; empty if the storage has none
	writeCount          uint64        // number of writes (calls of Put) to the storage since it was created
	failure             error         // error that every further write returns once one has failed, as it is unknown what the storage holds then; nil before
}

// OpenStore reads what a storage holds. An error comes from the storage, or says that its content cannot be decoded.
func OpenStore(storage StableStorage) (*Store, error) {
	stored, err := storage.Load()
	if err != nil {
		return nil, err
	}
	s := &Store{raft.NewMemoryStorage(), storage, stored.Disk, stored.FoundingSnapshot, stored.WriteCount, nil}
	if len(stored.Snapshot) > 0 {
		snapshot := &pb.Snapshot{}
		if err := proto.Unmarshal(stored.Snapshot, snapshot); err != nil {
			return nil, fmt.Errorf("council: snapshot: %w", err)
		}
		if err := s.ApplySnapshot(snapshot); err != nil {
			return nil, fmt.Errorf("council: snapshot: %w", err)
		}
	}
	if len(stored.HardState) > 0 {
		hardState := &pb.HardState{}
		if err := proto.Unmarshal(stored.HardState, hardState); err != nil {
			return nil, fmt.Errorf("council: term and vote: %w", err)
		}
		s.SetHardState(hardState)
	}
	var entries []*pb.Entry
	first, _ := s.FirstIndex()
	for i, encoded := range stored.Entries {
		decoded := &pb.Entry{}
		if err := proto.Unmarshal(encoded, decoded); err != nil {
			return nil, fmt.Errorf("council: entry: %w", err)
		}
		if want := first + uint64(i); decoded.GetIndex() != want {
			return nil, fmt.Errorf("council: found entry %d where %d was expected", decoded.GetIndex(), want)
		}
		entries = append(entries, decoded)
	}
	if err := s.Append(entries); err != nil {
		return nil, err
	}
	// A new commit index alone is not synced, so the stored one may be older than the snapshot. All entries in the
	// snapshot are committed.
	hardState, _, _ := s.InitialState()
	if hardState != nil && hardState.GetCommit() < first-1 {
		hardState = proto.Clone(hardState).(*pb.HardState)
		hardState.Commit = proto.Uint64(first - 1)
		s.SetHardState(hardState)
	}
	return s, nil
}

// Disk returns the member's Raft ID (Member.Disk).
func (s *Store) Disk() uint64 { return s.disk }

// WriteCount returns the number of writes (calls of Put) to the storage since it was created, also by
// earlier processes.
func (s *Store) WriteCount() uint64 { return s.writeCount }

// Unused reports whether nothing was ever written to the storage: its member has neither belonged to a council nor recorded that
// there is one (RecordCouncil).
func (s *Store) Unused() bool { return s.writeCount == 0 }

// RecordCouncil records durably, by a write that changes nothing but the write count, that the member has learned of an existing
// council: afterwards the storage is no longer Unused, though it may be Blank. An error comes from the storage.
func (s *Store) RecordCouncil() error { return s.put(Batch{}) }

// FoundingSnapshot returns the snapshot with which the council was founded, a Raft snapshot in its Protocol Buffers encoding.
// It is empty if the storage holds none.
func (s *Store) FoundingSnapshot() []byte { return s.foundingSnapshot }

// Blank reports whether the storage holds no snapshot yet: its member was not in the founding of a council, and has received no
// snapshot from one so far.
func (s *Store) Blank() bool {
	snapshot, err := s.Snapshot()
	return err == nil && raft.IsEmptySnap(snapshot)
}

// InstallFoundingSnapshot writes the first snapshot of a council to a storage that holds none. An error says that it holds one
// already, or comes from the storage.
func (s *Store) InstallFoundingSnapshot(snapshot *pb.Snapshot) error {
	if !s.Blank() {
		return fmt.Errorf("council: the disk belongs to a council")
	}
	encoded := marshal(snapshot)
	hardState := &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
	if current, _, _ := s.InitialState(); !raft.IsEmptyHardState(current) {
		// The member has already voted in the council that it belongs to: it keeps its term and vote.
		hardState = proto.Clone(current).(*pb.HardState)
		hardState.Commit = proto.Uint64(1)
	}
	if err := s.put(Batch{FoundingSnapshot: encoded, Snapshot: encoded, ResetLog: true, HardState: marshal(hardState)}); err != nil {
		return err
	}
	s.foundingSnapshot = encoded
	s.SetHardState(hardState)
	return s.ApplySnapshot(snapshot)
}

// put writes a batch to the storage. After a failed write it returns that error again and writes nothing.
func (s *Store) put(batch Batch) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.storage.Put(batch); err != nil {
		s.failure = fmt.Errorf("council: the disk failed, nothing of it is trusted until a new start: %w", err)
		return s.failure
	}
	s.writeCount++
	return nil
}

// Save stores what Raft requires to be durable before its messages are sent: new entries, a changed term or vote, and a snapshot
// that was received, which replaces the log. An error comes from the storage.
func (s *Store) Save(ready *raft.Ready) error {
	var batch Batch
	if !raft.IsEmptySnap(ready.Snapshot) {
		batch.Snapshot = marshal(ready.Snapshot)
		batch.ResetLog = true
	}
	if ready.MustSync && !raft.IsEmptyHardState(ready.HardState) || batch.ResetLog {
		if hardState := ready.HardState; !raft.IsEmptyHardState(hardState) {
			batch.HardState = marshal(hardState)
		}
	}
	for _, saved := range ready.Entries {
		batch.Entries = append(batch.Entries, marshal(saved))
	}
	if len(ready.Entries) > 0 {
		batch.FirstIndex = ready.Entries[0].GetIndex()
	}
	if batch.Snapshot != nil || batch.HardState != nil || len(batch.Entries) > 0 {
		if err := s.put(batch); err != nil {
			return err
		}
	}
	if batch.ResetLog {
		if err := s.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		s.SetHardState(ready.HardState)
	}
	return s.Append(ready.Entries)
}

// Compact replaces the log's entries up to and including the one at index by a snapshot of the state after it. data is the
// snapshot's content, an encoded snapshotData, and conf the membership in the Raft library's form. The last kept of these
// entries remain in memory, for members whose logs lack them. An error comes from the storage.
func (s *Store) Compact(index uint64, conf *pb.ConfState, data []byte, kept uint64) error {
	snapshot, err := s.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	if err := s.put(Batch{Snapshot: marshal(snapshot), DeleteThrough: index}); err != nil {
		return err
	}
	first, _ := s.FirstIndex()
	if index > kept && index-kept >= first {
		return s.MemoryStorage.Compact(index - kept)
	}
	return nil
}

// Close closes the storage. The store must not be used after.
func (s *Store) Close() error { return s.storage.Close() }

// marshal encodes a message. Equal messages have equal encodings.
func marshal(message proto.Message) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Marshal fails only for a message that cannot be encoded at all, which is a programming error.
		panic(err)
	}
	return encoded
}
