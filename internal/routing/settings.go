package routing

import (
	"errors"
	"fmt"
	"strings"

	"brackenfront/internal/protocol"
)

// ApplySettings puts other settings in force, or returns an error without having changed anything. Searches in flight keep
// the settings that they began with, except where the new ones allow fewer attempts or repeats (balance.Broker.ApplySettings,
// reviewRedeliveries). known is the list of nodes that belongs to the new settings. It is applied if the layout of shards
// differs, and from then on only updates with its ListGeneration are applied. It fails if a setting differs that takes effect
// only after a restart (Deployment.SettingsNeedingRestart), or if the broker refuses the settings. It may be called from any
// goroutine but the router's, and returns once the settings are in force.
func (r *Router) ApplySettings(deployment *protocol.Deployment, known protocol.DiscoveryUpdate) error {
	result := make(chan error, 1)
	if r.post(func() { result <- r.applySettings(deployment, known) }) {
		select {
		case err := <-result:
			return err
		case <-r.ended:
		}
	}
	return errors.New("the router has stopped")
}

// applySettings does what ApplySettings describes; it runs on the router's goroutine.
func (r *Router) applySettings(deployment *protocol.Deployment, known protocol.DiscoveryUpdate) error {
	if fixed := r.deployment.SettingsNeedingRestart(deployment); len(fixed) > 0 {
		return fmt.Errorf("field %s: only a restart changes it", strings.Join(fixed, ", "))
	}
	if err := r.broker.ApplySettings(deployment.Settings); err != nil {
		return err
	}
	r.reviewRedeliveries()
	// The allowance has to be passed to the broker again under the new settings.
	r.allowance = nil
	layoutChanged := !r.deployment.SameLayout(deployment)
	deployment.ZoneOrder = r.deployment.ZoneOrder
	deployment.Settings.ZoneGuard = r.deployment.Settings.ZoneGuard
	r.deployment = deployment
	r.liveDeployment.Store(deployment)
	r.pastSearches.ExtendRetention(r.retentionSeconds(deployment))
	r.counts.SettingsUpdates++
	if layoutChanged {
		r.listGeneration = known.ListGeneration
		if known.Snapshot {
			r.applyNodeUpdate(known)
		}
	}
	return nil
}
