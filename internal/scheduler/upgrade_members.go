package scheduler

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

// upgradeKeysMost is more keys than upgrades ever have.
const upgradeKeysMost = 1000

// registrationState is a registration as it is stored.
type registrationState struct {
	registration *upgrade.Registration // nil: none, or damaged
	damaged      bool
	version      uint64
}

// parseUpgradeKeys sorts the keys of upgrades. A damaged registration is no error, for only
// the node that it names is unknown then.
func parseUpgradeKeys(items []storage.Item) (leadership.ClusterRecord, map[string]registrationState, error) {
	cluster := leadership.ClusterRecord{Record: upgrade.Initial()}
	registrations := make(map[string]registrationState)
	for _, item := range items {
		if item.Key == leadership.ClusterKey {
			record, err := upgrade.DecodeRecord(item.Key, item.Data)
			if err != nil {
				return leadership.ClusterRecord{}, nil, err
			}
			cluster = leadership.ClusterRecord{Record: record, Version: item.Version}
		}
		if node, ok := strings.CutPrefix(item.Key, leadership.RegistrationPrefix); ok {
			registration, err := upgrade.DecodeRegistration(item.Key, node, item.Data)
			state := registrationState{damaged: err != nil, version: item.Version}
			if err == nil {
				state.registration = &registration
			}
			registrations[node] = state
		}
	}
	return cluster, registrations, nil
}

// members lists all controllers with what is known of their versions.
func (c *upgradeController) members() []upgrade.Member {
	members := []upgrade.Member{c.member(c.settings.NodeName)}
	for _, p := range c.settings.Peers {
		m := c.member(p.Name)
		if status, ok := c.peers.Status(p.Name); ok {
			m.Unregistered = unregisteredVersion(status.Version)
		}
		members = append(members, m)
	}
	return members
}

func (c *upgradeController) member(node string) upgrade.Member {
	state := c.registrations[node]
	return upgrade.Member{Node: node, Registered: state.registration, Damaged: state.damaged}
}

// unregisteredVersion is the version of a process that doesn't register, by what it tells
// its peers; 0: it registers.
func unregisteredVersion(told int) upgrade.Version {
	switch {
	case told >= peer.VersionRegistering:
		return 0
	case told == int(upgrade.Version2):
		return upgrade.Version2
	}
	return upgrade.Version1
}

// watchRegistrations tells the actor of each change of a registration.
func (c *upgradeController) watchRegistrations(ctx context.Context) {
	hold := c.settings.WorkerLease
	revision := c.leader.Version
	for ctx.Err() == nil {
		wctx, cancel := context.WithTimeout(ctx, hold+c.settings.Tuning.LeaderLease)
		changes, next, err := c.svc.Watch(wctx, leadership.RegistrationPrefix, revision, hold)
		cancel()
		switch {
		case errors.Is(err, storage.ErrCompacted):
			revision, _ = c.latestRevision(ctx)
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
		case c.changed <- struct{}{}:
		default:
		}
	}
}

func (c *upgradeController) latestRevision(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout())
	defer cancel()
	_, _, revision, err := c.svc.List(ctx, leadership.RegistrationPrefix, "", 1)
	return revision, err
}
