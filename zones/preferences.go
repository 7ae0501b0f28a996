package zones

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Preferences states which zones the brokers of each zone prefer, as set by the operator. The zero value, and a nil
// *Preferences, prefer a broker's own zone and rank all others equally.
type Preferences struct {
	// ranks holds the rank of each zone, by the name of a broker's own zone and then by the name of the zone.
	ranks map[string]map[string]int
}

// ParsePreferences reads lines like "east: east > north = south": the brokers of zone east prefer their own zone, then north
// and south equally. The error joins all mistakes in the lines, each with the zone concerned. Error texts say hall for zone,
// as the setting halls.order does.
func ParsePreferences(lines []string) (*Preferences, error) {
	preferences := &Preferences{ranks: map[string]map[string]int{}}
	var problems []error
	for _, line := range lines {
		ownZone, order, ok := strings.Cut(line, ":")
		if ownZone = strings.TrimSpace(ownZone); !ok || ownZone == "" {
			problems = append(problems, fmt.Errorf("got %.60q, expected HALL: HALL > HALL = HALL", line))
			continue
		}
		if preferences.ranks[ownZone] != nil {
			problems = append(problems, fmt.Errorf("hall %q has two orders", ownZone))
			continue
		}
		ranks := map[string]int{}
		for rank, equalZones := range strings.Split(order, ">") {
			for _, zone := range strings.Split(equalZones, "=") {
				zone = strings.TrimSpace(zone)
				if _, duplicate := ranks[zone]; zone == "" {
					problems = append(problems, fmt.Errorf("hall %q: an empty name in %.60q", ownZone, order))
				} else if duplicate {
					problems = append(problems, fmt.Errorf("hall %q: hall %q is named twice", ownZone, zone))
				}
				ranks[zone] = rank
			}
		}
		if _, named := ranks[ownZone]; !named {
			problems = append(problems, fmt.Errorf("hall %q is missing from its own order", ownZone))
		}
		preferences.ranks[ownZone] = ranks
	}
	// An order that leaves out a zone for some brokers only would let the other brokers spill over there.
	for ownZone, ranks := range preferences.ranks {
		for _, zone := range preferences.zoneNames() {
			if _, ok := ranks[zone]; !ok {
				problems = append(problems, fmt.Errorf("hall %q: hall %q is missing, which another order names", ownZone, zone))
			}
		}
	}
	slices.SortFunc(problems, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return preferences, errors.Join(problems...)
}

// zoneNames returns the names of all zones that the preferences mention, sorted.
func (p *Preferences) zoneNames() (names []string) {
	for _, ranks := range p.ranks {
		for zone := range ranks {
			if !slices.Contains(names, zone) {
				names = append(names, zone)
			}
		}
	}
	slices.Sort(names)
	return names
}

// Validate compares the preferences with the names of the zones that a broker knows. It returns an error if any zone has an
// order but the broker's own zone has none, or if an order names a zone that is not known.
func (p *Preferences) Validate(ownZone string, known []string) error {
	if p == nil || len(p.ranks) == 0 {
		return nil
	}
	var problems []error
	if p.ranks[ownZone] == nil {
		problems = append(problems, fmt.Errorf("hall %q, this broker's own, has no order", ownZone))
	}
	for _, zone := range p.zoneNames() {
		if !slices.Contains(known, zone) && zone != ownZone {
			problems = append(problems, fmt.Errorf("hall %q is not known, expected one of %s", zone, strings.Join(known, ", ")))
		}
	}
	return errors.Join(problems...)
}

// Rank returns the rank of a zone for the brokers of ownZone: 0 is the most preferred, and zones of equal rank are equally
// preferred. A zone that the order does not name ranks last.
func (p *Preferences) Rank(ownZone, zone string) int {
	if p != nil && p.ranks[ownZone] != nil {
		if rank, ok := p.ranks[ownZone][zone]; ok {
			return rank
		}
		return len(p.ranks[ownZone])
	}
	if zone == ownZone {
		return 0
	}
	return 1
}

// ZoneCount returns the number of different zones that the preferences name; 0 if the operator has set no preferences.
func (p *Preferences) ZoneCount() int {
	if p == nil {
		return 0
	}
	return len(p.zoneNames())
}
