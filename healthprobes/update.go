package healthprobes

const (
	// maxNodeBytes is the longest address of a node in an update, in bytes; an update with a longer one is not valid.
	maxNodeBytes = 256
	// maxBrokerBytes is the longest name of a broker in an update, in bytes; an update with a longer one is not valid.
	maxBrokerBytes = 128
)

// Decision says what is to be done about one node: probe it, treat it as up or down without a probe, or wait. It is made when
// the balancing module wants the node probed, or when another broker sends an update about the node.
type Decision uint8

const (
	// ProbeNow asks the caller to probe the node itself.
	ProbeNow Decision = iota
	// AssumeUp tells the caller to treat the node as up without a probe, because updates of other brokers say so.
	AssumeUp
	// AssumeDown tells the caller to treat the node as down without a probe, because updates of other brokers say so.
	AssumeDown
	// AwaitUpdate tells the caller to do nothing now. If it has requested a probe, the zone's prober is asked for it, and the
	// decision comes from a later HandleUpdate or NextOverdue.
	AwaitUpdate
)

// UpdateKind is what an update says of a node: that a probe of it is wanted or has started, or that it was found up or down.
type UpdateKind uint8

const (
	// ProbeWanted means that the sender asks the zone's prober to probe the node.
	ProbeWanted UpdateKind = iota + 1
	// ProbeStarted means that the sender, as the zone's prober, has started to probe the node.
	ProbeStarted
	// NodeUp means that the sender's probe of the node succeeded.
	NodeUp
	// NodeDown means that the sender's probe of the node failed.
	NodeDown
)

// Update is a message between the brokers of a zone about one node.
type Update struct {
	// Node is the address of the node that the update is about.
	Node string `cbor:"1,keyasint"`
	// Broker is the name of the broker that made the update.
	Broker string `cbor:"2,keyasint"`
	// Kind is what the update says of the node, such as NodeUp.
	Kind UpdateKind `cbor:"3,keyasint"`
	// RequestingBrokers is the number of brokers that requested probes in the last requestWindowSeconds, as counted by the
	// zone's prober; 0 in updates of other brokers, which do not know it.
	RequestingBrokers int `cbor:"4,keyasint,omitempty"`
}

// Valid returns true if all fields of an update that another process sent are within their bounds: the node's address and the
// broker's name are neither empty nor too long, the kind is known, and RequestingBrokers is not negative.
func (u Update) Valid() bool {
	return len(u.Node) > 0 && len(u.Node) <= maxNodeBytes && len(u.Broker) > 0 && len(u.Broker) <= maxBrokerBytes &&
		u.Kind >= ProbeWanted && u.Kind <= NodeDown && u.RequestingBrokers >= 0
}
