package protocol

import (
	"encoding/json"
	"fmt"

	"brackenfront/balance"
)

// Listing is one update of discovery: the whole list, or the entries that changed.
type Listing struct {
	Seq   int64
	Whole bool
	Hosts []Host
	Of    int // which list it is a version of, counted by who moves from one to another; the wire does not say
}

// Host is one entry. Born is in seconds of Unix time, 0 for long ago.
type Host struct {
	Name, Dial, Zone string
	Cell             int
	Standing         balance.Standing
	Flight           bool // it speaks Arrow Flight; else frames
	Born             float64
}

var standings = map[string]balance.Standing{
	"active": balance.Active, "leaving": balance.Draining, "left": balance.Gone}

// ParseListing reads one JSON object of discovery. An update with any unusable entry is refused
// as a whole: half a list would pass for nodes that are gone.
func ParseListing(raw []byte) (l Listing, err error) {
	var v struct {
		Seq   *int64
		Whole *bool
		Hosts []struct {
			Host, Dial, Site, Health, Speaks string
			Block                            *int
			Born                             float64 `json:"born_ms"`
		}
	}
	if err = json.Unmarshal(raw, &v); err != nil {
		return l, err
	}
	if v.Seq == nil || v.Whole == nil || v.Hosts == nil {
		return l, fmt.Errorf("seq, whole or hosts is missing")
	}
	l.Seq, l.Whole = *v.Seq, *v.Whole
	for _, h := range v.Hosts {
		s, ok := standings[h.Health]
		if !ok {
			return l, fmt.Errorf("hosts: health: expected active, leaving or left, got %q", h.Health)
		}
		if h.Host == "" || h.Dial == "" || h.Block == nil || *h.Block < 0 {
			return l, fmt.Errorf("hosts: host, dial or block is missing or unusable")
		}
		if h.Speaks != "" && h.Speaks != "frames" && h.Speaks != "flight" {
			return l, fmt.Errorf("hosts: speaks: expected frames or flight, got %q", h.Speaks)
		}
		l.Hosts = append(l.Hosts, Host{Name: h.Host, Dial: h.Dial, Zone: h.Site, Cell: *h.Block, Standing: s,
			Born: h.Born * ms, Flight: h.Speaks == "flight"})
	}
	return l, nil
}
