package fleetrig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Checker is the server that processes send their operations to, and records the claims that they print. It finds out whether two of them
// held the same lease at once, or used more than a budget. It uses the machine's clock only and no code of the fleet. All methods may be
// called from any goroutine.
type Checker struct {
	// RejectsOldTokens makes the checker refuse operations with a token below the highest seen, as the targets of leased
	// operations must. It is set before the first operation.
	RejectsOldTokens bool

	// listener accepts the connections of the processes.
	listener net.Listener
	// now returns the time of the machine's clock, in seconds since a moment that is the same for all processes of the machine.
	now func() float64
	// goroutines are those that accept and serve connections.
	goroutines sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// connections is the set of open connections.
	connections map[net.Conn]bool
	// operations are the accepted operations under leases, in the order of their arrival.
	operations []AcceptedOperation
	// budgetUses are the messages about units taken of budgets, one for each unit, in the order of their arrival.
	budgetUses []AcceptedOperation
	// highestTokens is the highest token of any accepted operation so far; the key is made by placeKey from the operation's lease and place.
	highestTokens map[string]uint64
	// rejected counts the operations that were refused because their token was below the highest seen for their lease and place; 0 unless
	// RejectsOldTokens is set.
	rejected int
	// tenures are the time spans in which brokers claimed to hold a lease. The outer key is made by placeKey from the lease and the place,
	// the inner key is the token of the grant.
	tenures map[string]map[uint64]*tenure
	// tokenOwners holds the name of the broker that sent the last accepted operation with a token. The outer key is made by placeKey from
	// the lease and the place, the inner key is the token. All operations with one token should come from one broker.
	tokenOwners map[string]map[uint64]string
	// violations describe each case in which two brokers used or claimed the same token of a lease, as found when operations and claims
	// arrived.
	violations []string
}

// AcceptedOperation is an operation under a lease, or a message about a unit taken of a budget, that the checker accepted.
type AcceptedOperation struct {
	// Operation is the operation as it was sent.
	Operation
	// At is when it arrived, in seconds of the machine's clock.
	At float64
}

// tenure is the time span within which a broker believed that it held a lease under one token.
type tenure struct {
	// broker is the name of the broker that held the lease.
	broker string
	// from is when the time span begins, in seconds of the machine's clock.
	from float64
	// to is when the time span ends, in seconds of the machine's clock: the latest time until which the broker has claimed the lease
	// so far. It is final once ended is set.
	to float64
	// ended says that the broker has reported the end of the tenure, so that to does not change any more.
	ended bool
}

// NewChecker starts a checker on a loopback port of its own. now returns the time of the machine's clock in seconds; rejectsOldTokens is
// the value of Checker.RejectsOldTokens. NewChecker returns an error if it cannot listen. The caller has to call Close.
func NewChecker(now func() float64, rejectsOldTokens bool) (*Checker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Checker{
		RejectsOldTokens: rejectsOldTokens,
		listener:         listener,
		now:              now,
		connections:      map[net.Conn]bool{},
		highestTokens:    map[string]uint64{},
		tenures:          map[string]map[uint64]*tenure{},
		tokenOwners:      map[string]map[uint64]string{},
	}
	c.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.connections[conn] = true
			c.mu.Unlock()
			c.goroutines.Go(func() { c.serve(conn) })
		}
	})
	return c, nil
}

// Addr is the host:port that operations are sent to.
func (c *Checker) Addr() string { return c.listener.Addr().String() }

// Close closes the listener and all connections and waits for their goroutines. What was recorded stays.
func (c *Checker) Close() {
	c.listener.Close()
	c.mu.Lock()
	for conn := range c.connections {
		conn.Close()
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}

// placeKey returns the key in the checker's maps for a lease, by name, and a place, which is the index of one of its concurrent holders:
// "NAME/INDEX".
func placeKey(lease string, place int) string { return fmt.Sprintf("%s/%d", lease, place) }

// serve answers the operations of one connection with the results of record, until it closes or is idle for a minute.
func (c *Checker) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.connections, conn)
		c.mu.Unlock()
	}()
	in := json.NewDecoder(conn)
	out := json.NewEncoder(conn)
	for {
		conn.SetDeadline(time.Now().Add(time.Minute))
		var operation Operation
		if in.Decode(&operation) != nil {
			return
		}
		if out.Encode(c.record(operation)) != nil {
			return
		}
	}
}

// record records an operation and returns "done". If RejectsOldTokens is set and the operation's token is below the highest seen for its
// lease and place, it refuses the operation and returns "low".
func (c *Checker) record(operation Operation) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if operation.RateBudget != "" || operation.StockBudget != "" {
		c.budgetUses = append(c.budgetUses, AcceptedOperation{operation, c.now()})
		return "done"
	}
	place := placeKey(operation.Lease, operation.Place)
	if operation.Token < c.highestTokens[place] && c.RejectsOldTokens {
		c.rejected++
		return "low"
	}
	c.highestTokens[place] = max(c.highestTokens[place], operation.Token)
	c.operations = append(c.operations, AcceptedOperation{operation, c.now()})
	if c.tokenOwners[place] == nil {
		c.tokenOwners[place] = map[uint64]string{}
	}
	if owner, ok := c.tokenOwners[place][operation.Token]; ok && owner != operation.Broker {
		c.violations = append(c.violations, fmt.Sprintf("%s: token %d was used by %s and by %s", place, operation.Token, owner, operation.Broker))
	}
	c.tokenOwners[place][operation.Token] = operation.Broker
	return "done"
}

// ReadClaims reads r, the output of the process of the broker with the given name, as JSON values of type Claim. A Claim either says
// until when the process believes that it holds a lease, which ReadClaims records, or is a message to the rig, with whose
// text (Claim.Note) ReadClaims calls note. It returns when r ends; after a value that is not a Claim it reads and drops the rest.
func (c *Checker) ReadClaims(broker string, r io.Reader, note func(string)) {
	in := json.NewDecoder(r)
	for {
		var claim Claim
		if in.Decode(&claim) != nil {
			io.Copy(io.Discard, r)
			return
		}
		if claim.Note != "" {
			note(claim.Note)
			continue
		}
		c.recordClaim(broker, claim)
	}
}

// recordClaim records a broker's claim to hold a lease: it begins the tenure of the claim's lease, place and token if there is none yet, and
// extends it to claim.Until. If claim.End is set, the tenure ends at the latest at claim.At. A token that another broker has claimed
// before is a violation.
func (c *Checker) recordClaim(broker string, claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place := placeKey(claim.Lease, claim.Place)
	if c.tenures[place] == nil {
		c.tenures[place] = map[uint64]*tenure{}
	}
	held := c.tenures[place][claim.Token]
	if held == nil {
		held = &tenure{broker: broker, from: claim.At}
		c.tenures[place][claim.Token] = held
	}
	if held.broker != broker {
		c.violations = append(c.violations, fmt.Sprintf("%s: token %d was held by %s and by %s", place, claim.Token, held.broker, broker))
	}
	if claim.End {
		held.to = min(max(held.to, claim.Until), claim.At)
		held.ended = true
	} else if !held.ended {
		held.to = max(held.to, claim.Until)
	}
}

// OperationCounts returns the number of accepted operations so far; the key is the name of the lease under which they were sent.
func (c *Checker) OperationCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, operation := range c.operations {
		counts[operation.Lease]++
	}
	return counts
}

// Findings are the violations that the checker found, and the numbers of the operations and grants that it checked. The field tags are
// the names in the logs of failed runs.
type Findings struct {
	// OverlappingTenures describe pairs of tenures (time spans in which a broker believed that it held a lease) of the same lease and place
	// that overlap by the machine's clock.
	OverlappingTenures []string `json:"Rights"`
	// BadOperations describe the accepted operations whose token is lower than that of the operation accepted before for the same lease
	// and place, and the tokens that two brokers used or claimed.
	BadOperations []string `json:"Acts"`
	// Operations is the number of operations under leases that were accepted.
	Operations int `json:"Count"`
	// Rejected is the number of operations that were refused because their token was below the highest seen.
	Rejected int `json:"Low"`
	// Grants is the number of grants of leases that processes have claimed; each grant has a token of its own.
	Grants int
}

// Findings checks all operations and tenures that were recorded so far, and returns the rules found broken and how much was
// checked. It may be called repeatedly, also while operations still arrive.
func (c *Checker) Findings() (findings Findings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	findings.BadOperations = append(findings.BadOperations, c.violations...)
	findings.Operations = len(c.operations)
	findings.Rejected = c.rejected
	for place, tenures := range c.tenures {
		findings.Grants += len(tenures)
		tokens := make([]uint64, 0, len(tenures))
		for token := range tenures {
			tokens = append(tokens, token)
		}
		slices.Sort(tokens)
		// latest is, of the tokens before the present one in the order of tokens, the one whose tenure ends last; 0 before the first.
		latest := uint64(0)
		for _, token := range tokens {
			if earlier, later := tenures[latest], tenures[token]; earlier != nil && earlier.to > later.from {
				findings.OverlappingTenures = append(findings.OverlappingTenures, fmt.Sprintf("%s: %s held the lease under %d until %.6f, %s under %d from %.6f: %.1f ms at once",
					place, earlier.broker, latest, earlier.to, later.broker, token, later.from, 1e3*(earlier.to-later.from)))
			}
			if latest == 0 || tenures[token].to > tenures[latest].to {
				latest = token
			}
		}
	}
	last := map[string]Operation{}
	for _, operation := range c.operations {
		place := placeKey(operation.Lease, operation.Place)
		if previous, ok := last[place]; ok && operation.Token < previous.Token {
			findings.BadOperations = append(findings.BadOperations, fmt.Sprintf("%s: %s operated under %d after %s under %d",
				place, operation.Broker, operation.Token, previous.Broker, previous.Token))
		}
		last[place] = operation.Operation
	}
	slices.Sort(findings.OverlappingTenures)
	return findings
}
