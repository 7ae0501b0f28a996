package routing

import (
	"slices"
	"strings"

	"brackenfront/zones"
)

// ZoneStatus is the status of one zone in the failover between zones, as this broker judges it.
type ZoneStatus struct {
	// Name is the name of the zone.
	Name string
	// PreviousStage is the stage that was last reported for the zone to Router.ZoneChanges before this status; Healthy if none
	// was.
	PreviousStage zones.Stage
	// Status is the zone's present stage, with the counts of its nodes and its loads.
	zones.Status
}

// reportZoneChanges sends the status of each zone whose stage has changed since the last report to the channel ZoneChanges,
// from which the changes are logged.
func (r *Router) reportZoneChanges() {
	guard := r.broker.ZoneGuard()
	if guard == nil || guard.Counts().StageChanges == r.reportedStageChanges {
		return
	}
	r.reportedStageChanges = guard.Counts().StageChanges
	for name, zone := range r.zoneIndexes {
		status := ZoneStatus{name, r.zoneStages[zone], guard.Status(zone)}
		r.zoneStages[zone] = status.Stage
		if status.PreviousStage == status.Stage {
			continue
		}
		select {
		case r.ZoneChanges <- status:
		default:
			// Nobody reads the changes in time; the counters still include them.
		}
	}
}

// ZoneStatuses returns the status of each zone, sorted by name, and the counts over all zones. Both are empty if failover
// between zones is off or the router has stopped. It may be called from any goroutine but the router's.
func (r *Router) ZoneStatuses() (statuses []ZoneStatus, counts zones.Counts) {
	done := make(chan struct{})
	if !r.post(func() {
		defer close(done)
		guard := r.broker.ZoneGuard()
		if guard == nil {
			return
		}
		counts = guard.Counts()
		for name, zone := range r.zoneIndexes {
			statuses = append(statuses, ZoneStatus{name, r.zoneStages[zone], guard.Status(zone)})
		}
	}) {
		return nil, counts
	}
	select {
	case <-done:
	case <-r.ended:
		return nil, zones.Counts{}
	}
	slices.SortFunc(statuses, func(a, b ZoneStatus) int { return strings.Compare(a.Name, b.Name) })
	return statuses, counts
}
