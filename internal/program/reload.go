package program

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"brackenfront/internal/options"
	"brackenfront/internal/protocol"
	"brackenfront/internal/transport/parts"
)

// reload reads the configuration and the options again, and applies what can change while the program runs. It returns an
// error if they could not be read or applied, or one that names what only a restart changes.
func (d *daemon) reload() error {
	var newConfig *protocol.Config
	var newOptions *options.Options
	// A reload must not fail because clients hold all file descriptors.
	err := parts.RetryWithoutDescriptors(context.Background(), d.closeUnused, d.tick, d.config.DialTimeout, func() (err error) {
		newConfig, newOptions, err = d.command.read(d.features)
		return err
	})
	if err != nil {
		d.log.WithError(err).Error("the configuration could not be read again, the running one stays")
		return err
	}
	applyRuntimeLimits(newConfig)
	d.setTurnSlots()
	applyLogOptions(d.log, newOptions)
	if d.fleetMember != nil {
		if err := d.fleetMember.ReloadKeys(); err != nil {
			d.log.WithError(err).Error("fleet: the keys could not be read again, the running ones stay")
		}
	}
	// If any of these changed, none of the settings is applied.
	fixedChanges := d.config.ChangesNeedingRestart(newConfig)
	if d.flightNodes != nil && !d.config.SameConnectionLimits(newConfig.Deployment) {
		fixedChanges = append(fixedChanges, "settings.policyLimits (with flight.leaves)")
	}
	needRestart := append(slices.Clone(fixedChanges), d.operatorOptions.FieldsNeedingRestart(newOptions)...)
	applied, err := d.applySettings(newConfig, fixedChanges)
	if err != nil {
		d.log.WithError(err).Error("the configuration could not be put in force, the running one stays")
		return err
	}
	d.log.WithField("discovery", newConfig.DiscoveryAddress).WithField("switched", applied).WithField("restart", needRestart).
		Info("configuration read again")
	if len(needRestart) > 0 {
		return fmt.Errorf("only a restart puts in force: %s", strings.Join(needRestart, ", "))
	}
	return nil
}

// applySettings applies other settings, unless fixedChanges names a change that needs a restart, and goes on watching
// discovery at its new address. applied says whether other settings are in force now; an error means that the router has
// refused them.
func (d *daemon) applySettings(newConfig *protocol.Config, fixedChanges []string) (applied bool, err error) {
	layoutChanged := !d.config.SameLayout(newConfig.Deployment)
	if layoutChanged {
		newConfig.InitialNodes.ListGeneration = d.config.InitialNodes.ListGeneration + 1
	}
	if len(fixedChanges) == 0 && !d.config.SameSettings(newConfig.Deployment) {
		if err := d.router.ApplySettings(newConfig.Deployment, newConfig.InitialNodes); err != nil {
			return false, err
		}
		if d.fleetMember != nil && d.fleetMember.SharesBudgets() {
			d.fleetMember.ConfigureBudgets(newConfig.Deployment)
		}
		d.nodePool.SetLimits(nodeLimits(newConfig, d.tick, d.peerTurns))
		d.server.SetRequestTimeout(newConfig.MaxDeadline)
		d.maxDeadline = max(d.maxDeadline, newConfig.MaxDeadline)
		d.config.Deployment = newConfig.Deployment
		d.config.InitialNodes.ListGeneration = newConfig.InitialNodes.ListGeneration
		applied = true
	}
	// With nil the watcher continues from the version of the list that it has.
	var restartFrom *protocol.DiscoveryUpdate
	if applied && layoutChanged {
		restartFrom = &newConfig.InitialNodes
	}
	d.watcher.SwitchDiscovery(newConfig.DiscoveryAddress, restartFrom)
	return applied, nil
}
