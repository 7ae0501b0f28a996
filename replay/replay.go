// Package replay remembers for a limited time which requests may have taken effect, so that a request that is delivered a
// second time is recognised. It does no I/O, has no clock and no goroutine, and is not safe for concurrent use.
//
// Memory is bounded by a number of records, and no record is dropped before it expires: a request that could not be remembered
// must be rejected before any of it runs. A caller therefore reserves a record when it accepts a request (Reserve), releases
// the reservation when the request has ended (ReleaseReservation) and then stores the request if it has to be remembered
// (Store).
package replay

import "strings"

// RecordBytes is the approximate memory of one record, in bytes: an id of 64 bytes, its entry in the map with a value of 32
// bytes, including the entries that stay free while the map grows, and its entry in the expiry queue. A caller divides the
// memory that records may take by it to get a Cache's capacity.
const RecordBytes = 320

// Cache maps the ids of requests to values of type T until these expire, to recognise requests that are delivered again. All
// times are in seconds of the caller's clock.
type Cache[T any] struct {
	// capacity is the largest number of records and reservations together that Reserve allows; SetCapacity changes it.
	capacity int
	// reserved is the number of records that Reserve has set aside and ReleaseReservation has not given back.
	reserved int
	// retentionSeconds is how many seconds a record that is stored now is kept; only ExtendRetention changes it.
	retentionSeconds float64
	// records holds the stored records by request id. Lookup ignores expired ones; the next Reserve or Store drops them.
	records map[string]record[T]
	// expiries is the expiry queue: an entry for each call of Store, in order of expiry time. The entries before the index
	// firstExpiry are no longer in use.
	expiries []expiry
	// firstExpiry is the index in expiries of the first entry in use.
	firstExpiry int
}

// record is the value stored for one request and the time, in seconds, at which it expires.
type record[T any] struct {
	// value is what the caller stored for the request.
	value T
	// expiresAt is the time, in seconds of the caller's clock, from which the record is no longer found.
	expiresAt float64
}

// expiry is an entry of the queue Cache.expiries: the request id of a record and the time, in seconds, at which the record
// expires.
type expiry struct {
	// id is the id of the request whose record may be dropped at expiresAt. A record of the same id that was stored later is
	// kept.
	id string
	// expiresAt is the time, in seconds of the caller's clock, at which the record expires that was stored with this entry.
	expiresAt float64
}

// New returns an empty cache for up to capacity records, each kept for retentionSeconds (seconds).
func New[T any](capacity int, retentionSeconds float64) *Cache[T] {
	return &Cache[T]{capacity: capacity, retentionSeconds: retentionSeconds, records: map[string]record[T]{}}
}

// ExtendRetention raises the time for which records are kept to at least retentionSeconds, for records that are stored from now
// on. A shorter time changes nothing, because records must expire in the order in which they were stored.
func (c *Cache[T]) ExtendRetention(retentionSeconds float64) {
	c.retentionSeconds = max(c.retentionSeconds, retentionSeconds)
}

// SetCapacity changes the bound on the number of records. Records already stored are kept until they expire, even if there
// are more of them; Reserve then returns false until enough have expired.
func (c *Cache[T]) SetCapacity(capacity int) { c.capacity = capacity }

// Reserve sets room for one record aside for a request that is about to be accepted, so that its outcome can be stored later.
// It returns false if stored records and reservations fill the cache; the request must then be rejected. now is in seconds.
func (c *Cache[T]) Reserve(now float64) bool {
	c.expire(now)
	if c.reserved+c.stored() >= c.capacity {
		return false
	}
	c.reserved++
	return true
}

// ReleaseReservation gives back one record that Reserve set aside. Each successful Reserve must be released once.
func (c *Cache[T]) ReleaseReservation() { c.reserved-- }

// Store remembers value for the request with this id, from now (seconds) on for the cache's retention time. It replaces a
// value stored under the same id; the replaced record takes up room until its expiry all the same. It stores the record
// even if none was reserved for it and the cache is full.
func (c *Cache[T]) Store(now float64, id string, value T) {
	c.expire(now)
	// The id may be a slice of the text of a whole request, which the record must not keep in memory.
	id = strings.Clone(id)
	expiresAt := now + c.retentionSeconds
	c.records[id] = record[T]{value, expiresAt}
	c.expiries = append(c.expiries, expiry{id, expiresAt})
}

// Lookup returns the value stored for the request with this id; ok is false, and the value zero, if there is none or it has
// expired. now is in seconds.
func (c *Cache[T]) Lookup(now float64, id string) (value T, ok bool) {
	found, ok := c.records[id]
	if !ok || found.expiresAt <= now {
		return value, false
	}
	return found.value, true
}

// Occupied returns the number of records that are stored or reserved. Expired ones count until the next Reserve or Store
// drops them.
func (c *Cache[T]) Occupied() int { return c.reserved + c.stored() }

// stored returns the number of entries of the expiry queue that are in use; each counts as a stored record. An id that was
// stored again has several until the older ones expire.
func (c *Cache[T]) stored() int { return len(c.expiries) - c.firstExpiry }

// expire drops the records that have expired by now (seconds). Once more than half of the expiry queue is no longer in use, it
// moves the rest to the front, so that the space is used again.
func (c *Cache[T]) expire(now float64) {
	for c.firstExpiry < len(c.expiries) && c.expiries[c.firstExpiry].expiresAt <= now {
		id := c.expiries[c.firstExpiry].id
		if found, ok := c.records[id]; ok && found.expiresAt <= now {
			delete(c.records, id)
		}
		c.expiries[c.firstExpiry] = expiry{}
		c.firstExpiry++
	}
	if c.firstExpiry*2 > len(c.expiries) {
		remaining := copy(c.expiries, c.expiries[c.firstExpiry:])
		clear(c.expiries[remaining:])
		c.expiries = c.expiries[:remaining]
		c.firstExpiry = 0
	}
}
