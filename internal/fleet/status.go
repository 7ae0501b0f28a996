package fleet

import (
	"github.com/sirupsen/logrus"

	"brackenfront/internal/fleet/council"
)

// Status is the state of the fleet as one broker knows it at a moment.
type Status struct {
	// Broker is the name in the fleet of the broker whose status this is.
	Broker string `cbor:"1,keyasint" json:"broker"`
	// Member is the status of the broker's membership of the council; nil if it is not a member.
	Member *MemberStatus `cbor:"2,keyasint,omitempty" json:"seat,omitempty"`
	// Counts is how often each event has occurred since the process started, by the event's name, such as "lease lost".
	Counts map[string]int64 `cbor:"3,keyasint,omitempty" json:"counts,omitempty"`
}

// MemberStatus is the status of a broker's membership of the council.
type MemberStatus struct {
	// Disk is the storage id of the member's disk.
	Disk uint64 `cbor:"1,keyasint" json:"disk"`
	// Blank says that the disk holds no council's state yet: the member waits for a founding snapshot, or to be
	// admitted to a council.
	Blank bool `cbor:"2,keyasint,omitempty" json:"blank,omitempty"`
	// Failed says why the membership has ended while the process runs on; empty if it has not ended.
	Failed string `cbor:"3,keyasint,omitempty" json:"failed,omitempty"`
	// Leader is the name of the broker that leads the council; empty while none is known.
	Leader string `cbor:"4,keyasint,omitempty" json:"lead,omitempty"`
	// IsLeader says that this member itself leads the council and can take requests.
	IsLeader bool `cbor:"5,keyasint,omitempty" json:"leading,omitempty"`
	// Term is Raft's current term (the number of the election period) as this member knows it.
	Term uint64 `cbor:"6,keyasint" json:"term"`
	// Commit is the index of the last entry of the Raft log that this member knows to be committed.
	Commit uint64 `cbor:"7,keyasint" json:"commit"`
	// Applied is the index of the last entry of the Raft log that was applied to the member's state.
	Applied uint64 `cbor:"8,keyasint" json:"applied"`
	// WriteCount is the number of durable writes that the disk has counted since it was created.
	WriteCount uint64 `cbor:"9,keyasint" json:"marks"`
	// Sessions is the number of lease sessions that are open at the council.
	Sessions int `cbor:"10,keyasint" json:"sessions"`
	// HeldLeases is the number of the council's leases that are held or waited for.
	HeldLeases int `cbor:"11,keyasint" json:"leases"`
	// LastToken is the last fencing token that the council issued.
	LastToken uint64 `cbor:"12,keyasint" json:"token"`
	// CouncilTime is the present time of the council's own clock, by which leases expire, in seconds since its founding.
	CouncilTime float64 `cbor:"13,keyasint" json:"now"`
	// Members has an entry for each of the council's members; it is set only in replies to a request for the status.
	Members []MemberView `cbor:"14,keyasint,omitempty" json:"seats,omitempty"`
	// ChangeInProgress says that a voter is being replaced, and that this member still needs the replaced one for elections.
	ChangeInProgress bool `cbor:"15,keyasint,omitempty" json:"change_in_progress,omitempty"`
}

// MemberView is one member of the council as this broker sees it. Only on the leader are Active and MatchIndex known.
type MemberView struct {
	// Member has the member's broker, address and disk, and whether it has a vote.
	council.Member
	// Active says that the member has sent the leader a message within the last two election time-outs, or is the leader.
	Active bool `cbor:"6,keyasint,omitempty" json:"active,omitempty"`
	// MatchIndex is the index of the last Raft log entry that the leader knows the member to have.
	MatchIndex uint64 `cbor:"7,keyasint,omitempty" json:"match,omitempty"`
}

// publish computes the member's status and stores it in the field status, where other goroutines read it. Only the
// member's goroutine may call it.
func (m *member) publish() {
	replica := m.replica
	status := &MemberStatus{Disk: m.store.Disk(), Blank: m.store.Blank(), WriteCount: m.store.WriteCount()}
	status.Term, status.Commit, status.Applied = replica.Progress()
	status.Leader, _ = m.leader()
	_, status.IsLeader = replica.Leader()
	status.ChangeInProgress = replica.ChangeInProgress()
	if replica.State() != nil {
		status.Sessions, status.HeldLeases, status.LastToken = replica.State().Counts()
		status.CouncilTime = replica.State().Now()
	}
	m.mu.Lock()
	m.status = status
	m.mu.Unlock()
}

// memberViews returns an entry for each member of the council. Active and MatchIndex are set only if this member is the
// leader.
func (m *member) memberViews() (views []MemberView) {
	progress := m.replica.MembersProgress()
	for _, entry := range m.replica.Members() {
		p := progress[entry.Disk]
		views = append(views, MemberView{entry, p.Active, p.MatchIndex})
	}
	return views
}

// Status returns this broker's status in the fleet, without the list of the council's members.
func (n *Node) Status() *Status {
	status := &Status{Broker: n.config.Broker, Counts: n.Counts()}
	if n.member == nil {
		return status
	}
	n.member.mu.Lock()
	defer n.member.mu.Unlock()
	if n.member.status != nil {
		copied := *n.member.status
		status.Member = &copied
		if n.member.failed != nil {
			copied.Failed = n.member.failed.Error()
		}
	}
	return status
}

// LogCounters logs how often each event has occurred (Counts) and, on a member of the council, the leader, the term, the commit
// index, and the numbers of sessions and leases.
func (n *Node) LogCounters() {
	status := n.Status()
	fields := logrus.Fields{}
	for event, number := range status.Counts {
		fields[event] = number
	}
	if s := status.Member; s != nil {
		fields["lead"] = s.Leader
		fields["term"] = s.Term
		fields["commit"] = s.Commit
		fields["sessions"] = s.Sessions
		fields["leases"] = s.HeldLeases
	}
	n.log.WithFields(fields).Info("counters: fleet")
}
