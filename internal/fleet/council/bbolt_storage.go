package council

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// bboltStorage is a StableStorage in a bbolt file: each batch is one transaction, which is synced before Put returns.
type bboltStorage struct {
	db     *bbolt.DB // the storage's file, which stays open and locked until Close
	disk   uint64    // the member's Raft ID (Member.Disk), drawn at random when the file was created, and never 0
	failed bool      // whether a write has failed, after which all further ones are refused
}

const (
	// storageFileName is the name of the storage's file in its directory.
	storageFileName = "council.db"
	// asideFileName is the name of the file of the last storage that was set aside, in the same directory.
	asideFileName = "council.aside.db"
)

const (
	// openTimeout is the longest time for which opening waits for the lock of a file that another process has open; then it
	// fails.
	openTimeout = time.Second
	// logFillPercent is how full bbolt leaves the pages of the log when it splits them, as a fraction from 0 to 1. Entries come
	// in order, so that no space for later insertions is needed.
	logFillPercent = 0.9
)

// Buckets of the file, and keys in the bucket meta, each with what is stored under it. The bucket log has the entries by index.
var (
	metaBucket          = []byte("meta")     // name of the bucket of all data but the log
	logBucket           = []byte("log")      // name of the bucket of the log's entries, by index
	diskKey             = []byte("disk")     // key in metaBucket under which the member's Raft ID (Member.Disk) is stored
	identityKey         = []byte("self")     // key in metaBucket under which is stored what fileIdentity returned when the file was created: in a copy of the file it differs
	foundingSnapshotKey = []byte("founding") // key in metaBucket under which the encoded Raft snapshot is stored with which the council was founded
	hardStateKey        = []byte("hard")     // key in metaBucket under which Raft's term, vote and commit index are stored, as an encoded raftpb.HardState
	snapshotKey         = []byte("snapshot") // key in metaBucket under which the latest Raft snapshot is stored, encoded
	writeCountKey       = []byte("marks")    // key in metaBucket under which is stored how many writes (calls of Put) there were since the file was created
)

// OpenDirectory opens the storage in a directory, or creates one with a new random Raft ID (Member.Disk). If the file is a
// copy of the one that was created, such as one restored from a backup, it is renamed (SetAside) and a new storage takes its
// place, because it may lack votes and entries that were stored since; aside reports that. While another process has the
// storage open an error is returned.
func OpenDirectory(directory string) (storage StableStorage, aside bool, err error) {
	path := filepath.Join(directory, storageFileName)
	opened, original, err := openFile(path)
	if err != nil || original {
		return opened, false, err
	}
	if err := opened.Close(); err != nil {
		return nil, false, err
	}
	if err := SetAside(directory); err != nil {
		return nil, false, err
	}
	opened, _, err = openFile(path)
	return opened, true, err
}

// SetAside renames the storage's file in a directory to asideFileName, in place of one that was set aside before, so that the
// next start creates a new storage. The storage must not be open.
func SetAside(directory string) error {
	if err := os.Rename(filepath.Join(directory, storageFileName), filepath.Join(directory, asideFileName)); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	return syncDirectory(directory)
}

// syncDirectory makes changes of file names in a directory durable, so that a renamed or new file is found after a power
// failure.
func syncDirectory(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	defer opened.Close()
	if err := opened.Sync(); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

// openFile opens the storage in the file with this path, or creates it. original is whether the file is the one that the
// storage was created as, and not a copy of it.
func openFile(path string) (storage *bboltStorage, original bool, err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, false, fmt.Errorf("council: %s: %w", path, err)
	}
	storage = &bboltStorage{db: db}
	identity, err := fileIdentity(path)
	if err == nil {
		err = db.Update(func(tx *bbolt.Tx) error {
			meta, err := tx.CreateBucketIfNotExists(metaBucket)
			if err != nil {
				return err
			}
			if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
				return err
			}
			if stored := meta.Get(diskKey); stored != nil {
				storage.disk = binary.BigEndian.Uint64(stored)
				original = string(meta.Get(identityKey)) == identity
				return nil
			}
			var number [8]byte
			for storage.disk == 0 {
				rand.Read(number[:])
				storage.disk = binary.BigEndian.Uint64(number[:])
			}
			original = true
			return errors.Join(meta.Put(diskKey, number[:]), meta.Put(identityKey, []byte(identity)))
		})
	}
	if err == nil {
		err = syncDirectory(filepath.Dir(path))
	}
	if err != nil {
		db.Close()
		return nil, false, fmt.Errorf("council: %s: %w", path, err)
	}
	return storage, original, nil
}

// fileIdentity returns a text that differs between a file and copies of it: its inode number, a space, and the time of its
// creation as seconds since 1970 with nine decimals.
func fileIdentity(path string) (string, error) {
	var stat unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, path, 0, unix.STATX_INO|unix.STATX_BTIME, &stat); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d %d.%09d", stat.Ino, stat.Btime.Sec, stat.Btime.Nsec), nil
}

// Load returns everything that the file holds: the member's Raft ID, snapshots, term and vote, log entries and the number of
// writes.
func (s *bboltStorage) Load() (state StoredState, err error) {
	state.Disk = s.disk
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		// bbolt's values are valid only during the transaction.
		copyOf := func(key []byte) []byte { return append([]byte(nil), meta.Get(key)...) }
		state.FoundingSnapshot = copyOf(foundingSnapshotKey)
		state.HardState = copyOf(hardStateKey)
		state.Snapshot = copyOf(snapshotKey)
		if count := meta.Get(writeCountKey); count != nil {
			state.WriteCount = binary.BigEndian.Uint64(count)
		}
		return tx.Bucket(logBucket).ForEach(func(_, encoded []byte) error {
			state.Entries = append(state.Entries, append([]byte(nil), encoded...))
			return nil
		})
	})
	return state, err
}

// Put stores a batch in one transaction. After an error it refuses all further batches, since it is unknown what the file
// holds after a failed sync.
func (s *bboltStorage) Put(batch Batch) error {
	if s.failed {
		return errors.New("council: an earlier write failed")
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		log := tx.Bucket(logBucket)
		for _, item := range []struct{ key, value []byte }{
			{foundingSnapshotKey, batch.FoundingSnapshot},
			{hardStateKey, batch.HardState},
			{snapshotKey, batch.Snapshot},
		} {
			if item.value != nil {
				if err := meta.Put(item.key, item.value); err != nil {
					return err
				}
			}
		}
		var writeCount uint64
		if stored := meta.Get(writeCountKey); stored != nil {
			writeCount = binary.BigEndian.Uint64(stored)
		}
		if err := meta.Put(writeCountKey, encodeNumber(writeCount+1)); err != nil {
			return err
		}
		if batch.ResetLog {
			if err := tx.DeleteBucket(logBucket); err != nil {
				return err
			}
			var err error
			if log, err = tx.CreateBucket(logBucket); err != nil {
				return err
			}
		}
		cursor := log.Cursor()
		for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= batch.DeleteThrough; key, _ = cursor.First() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		if len(batch.Entries) == 0 {
			return nil
		}
		// Entries that the batch overwrites need no deletion; those after its last one do.
		afterLast := encodeNumber(batch.FirstIndex + uint64(len(batch.Entries)))
		for key, _ := cursor.Seek(afterLast); key != nil; key, _ = cursor.Seek(afterLast) {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		log.FillPercent = logFillPercent
		for i, encoded := range batch.Entries {
			if err := log.Put(encodeNumber(batch.FirstIndex+uint64(i)), encoded); err != nil {
				return err
			}
		}
		return nil
	})
	s.failed = err != nil
	return err
}

// encodeNumber encodes a number as a key or value of the file, in 8 bytes, big-endian, so that keys sort by number.
func encodeNumber(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// Close closes the storage's file and releases its lock. The storage must not be used after.
func (s *bboltStorage) Close() error { return s.db.Close() }
