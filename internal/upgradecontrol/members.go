package upgradecontrol

import (
	"context"
	"errors"
	"strings"

	"sagevale/internal/clock"
	"sagevale/internal/leadership"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// maxUpgradeKeys is the limit of a List request that reads all upgrade keys. There are always fewer keys.
const maxUpgradeKeys = 1000

// registration is a controller's registration with the version of its key.
type registration struct {
	value   *upgrade.Registration // nil if there is none or it is damaged
	damaged bool
	version uint64
}

// parseKeys decodes the cluster record and the registrations. A damaged registration is not an error, because it only
// means that the versions of one controller are unknown.
func parseKeys(items []storage.Item) (leadership.ClusterRecord, map[string]registration, error) {
	cluster := leadership.ClusterRecord{Record: upgrade.Initial()}
	registrations := make(map[string]registration)
	for _, item := range items {
		if item.Key == leadership.ClusterKey {
			record, err := upgrade.DecodeRecord(item.Key, item.Data)
			if err != nil {
				return leadership.ClusterRecord{}, nil, err
			}
			cluster = leadership.ClusterRecord{Record: record, Version: item.Version}
		}
		if name, ok := strings.CutPrefix(item.Key, leadership.RegistrationPrefix); ok {
			registrations[name] = parseRegistration(name, item)
		}
	}
	return cluster, registrations, nil
}

// parseRegistration decodes the registration of the named controller.
func parseRegistration(name string, item storage.Item) registration {
	value, err := upgrade.DecodeRegistration(item.Key, name, item.Data)
	if err != nil {
		return registration{damaged: true, version: item.Version}
	}
	return registration{value: &value, version: item.Version}
}

// members returns all controllers that the settings name, with what is known about their versions.
func (c *Controller) members() []upgrade.Member {
	members := []upgrade.Member{c.member(c.settings.NodeName)}
	for _, p := range c.settings.Peers {
		m := c.member(p.Name)
		if status, ok := c.peers.Status(p.Name); ok {
			m.UnregisteredVersion = unregisteredVersion(status.Version)
		}
		members = append(members, m)
	}
	return members
}

// member returns the named controller with its registration. It leaves UnregisteredVersion at 0.
func (c *Controller) member(name string) upgrade.Member {
	r := c.registrations[name]
	return upgrade.Member{Node: name, Registration: r.value, Damaged: r.damaged}
}

// unregisteredVersion returns the version of a process that doesn't register, derived from the version that it
// reports to its peers. It returns 0 if the process registers.
func unregisteredVersion(reported int) upgrade.Version {
	switch {
	case reported >= peer.VersionRegistering:
		return 0
	case reported == int(upgrade.Version2):
		return upgrade.Version2
	}
	return upgrade.Version1
}

// watchRegistrations notifies the controller of each change of a registration, until ctx ends.
func (c *Controller) watchRegistrations(ctx context.Context) {
	maxWait := c.settings.WorkerLease
	revision := c.leader.Version
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, maxWait+c.settings.Tuning.LeaderLease)
		changes, next, err := c.store.Watch(watchCtx, leadership.RegistrationPrefix, revision, maxWait)
		cancel()
		switch {
		case errors.Is(err, storage.ErrCompacted):
			revision = c.latestRevision(ctx)
		case err != nil:
			clock.Sleep(ctx, c.settings.Tuning.LeaderLease/leadership.RenewalsPerLease)
			continue
		case len(changes) == 0:
			revision = next
			continue
		default:
			revision = next
		}
		select {
		case c.registrationChanged <- struct{}{}:
		default: // a check is pending already
		}
	}
}

// latestRevision returns the store's current revision, or 0 if the store doesn't answer. A watch after revision 0
// returns all changes or fails with storage.ErrCompacted, and then the revision is read again.
func (c *Controller) latestRevision(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, c.settings.StoreCallTimeout())
	defer cancel()
	_, _, revision, err := c.store.List(ctx, leadership.RegistrationPrefix, "", 1)
	if err != nil {
		return 0
	}
	return revision
}
