package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// UpgradeStatus is what the state service tells of an upgrade, for operators.
type UpgradeStatus struct {
	Record upgrade.Record
	Nodes  []NodeVersions
	Leader string // "": nobody leads
	Term   uint64
	// Waiting is what the latest leader to say so waits for; "": nothing.
	Waiting string
}

// NodeVersions is what one controller registered last.
type NodeVersions struct {
	Node     string
	Versions upgrade.Range // zero: it never registered
	Session  string
	Alive    bool // the process that registered still keeps its session
	Damaged  bool // its registration can't be understood
}

// ReadUpgradeStatus reads where an upgrade stands. It writes nothing.
func ReadUpgradeStatus(ctx context.Context, svc storage.KeyValueStore, s *config.Settings) (UpgradeStatus, error) {
	items, _, _, err := svc.List(ctx, leadership.UpgradePrefix, "", upgradeKeysMost)
	if err != nil {
		return UpgradeStatus{}, fmt.Errorf("state service: %w", err)
	}
	cluster, registrations, err := parseUpgradeKeys(items)
	if err != nil {
		return UpgradeStatus{}, err
	}
	status := UpgradeStatus{Record: cluster.Record, Nodes: nodeVersions(s, registrations, items)}
	for _, item := range items {
		var waiting waitingRecord
		if item.Key == waitingKey && json.Unmarshal(item.Data, &waiting) == nil {
			status.Waiting = waiting.Waiting
		}
	}
	return status, status.readLeader(ctx, svc)
}

func (u *UpgradeStatus) readLeader(ctx context.Context, svc storage.KeyValueStore) error {
	item, err := svc.Get(ctx, leadership.LeaderKey)
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	var lead leadership.LeaderRecord
	if err := json.Unmarshal(item.Data, &lead); err != nil {
		return &upgrade.DamagedError{Key: leadership.LeaderKey, Reason: err.Error()}
	}
	u.Leader, u.Term = lead.Node, lead.Term
	return nil
}

// nodeVersions lists the nodes of the settings, and any other that has registered.
func nodeVersions(s *config.Settings, registrations map[string]registrationState, items []storage.Item) []NodeVersions {
	names := []string{s.NodeName}
	for _, p := range s.Peers {
		names = append(names, p.Name)
	}
	for name := range registrations {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	alive := make(map[string]bool)
	for _, item := range items {
		if node, ok := strings.CutPrefix(item.Key, leadership.SessionPrefix); ok {
			alive[node] = true
		}
	}
	var nodes []NodeVersions
	for _, name := range names {
		node := NodeVersions{Node: name, Alive: alive[name], Damaged: registrations[name].damaged}
		if r := registrations[name].registration; r != nil {
			node.Versions, node.Session = r.Range, r.Session
		}
		nodes = append(nodes, node)
	}
	return nodes
}
