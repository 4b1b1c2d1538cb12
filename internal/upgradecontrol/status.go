package upgradecontrol

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

// Status is the stored state of a rolling upgrade, for operators.
type Status struct {
	Record      upgrade.Record
	Controllers []ControllerVersions
	Leader      string // "" if there is no leader
	Term        uint64
	Waiting     string // what the upgrade waits for, as the leader last stored it; "" if it waits for nothing
}

// ControllerVersions is the latest registration of one controller.
type ControllerVersions struct {
	Name     string
	Versions upgrade.Range // zero if the controller has never registered or Damaged is set
	Session  string        // the process that registered
	Alive    bool          // a process of the controller still renews its session
	Damaged  bool          // the registration can't be decoded
}

// ReadStatus reads the stored state of a rolling upgrade. It writes nothing.
func ReadStatus(ctx context.Context, store storage.KeyValueStore, s *config.Settings) (Status, error) {
	items, _, _, err := store.List(ctx, leadership.UpgradePrefix, "", maxUpgradeKeys)
	if err != nil {
		return Status{}, fmt.Errorf("list upgrade keys in the state service: %w", err)
	}
	cluster, registrations, err := parseKeys(items)
	if err != nil {
		return Status{}, err
	}
	status := Status{Record: cluster.Record, Controllers: controllerVersions(s, registrations, items)}
	for _, item := range items {
		var waiting waitingRecord
		if item.Key == waitingKey && json.Unmarshal(item.Data, &waiting) == nil {
			status.Waiting = waiting.Waiting
		}
	}
	return status, status.readLeader(ctx, store)
}

// readLeader sets the leader and its term, if there is a leader.
func (s *Status) readLeader(ctx context.Context, store storage.KeyValueStore) error {
	item, err := store.Get(ctx, leadership.LeaderKey)
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read leader key in the state service: %w", err)
	}
	var leader leadership.LeaderRecord
	if err := json.Unmarshal(item.Data, &leader); err != nil {
		return &upgrade.DamagedError{Key: leadership.LeaderKey, Reason: err.Error()}
	}
	s.Leader, s.Term = leader.Node, leader.Term
	return nil
}

// controllerVersions returns the controllers that the settings name and all other controllers that have registered,
// sorted by name.
func controllerVersions(s *config.Settings, registrations map[string]registration, items []storage.Item) []ControllerVersions {
	names := s.ControllerNames()
	for name := range registrations {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	alive := make(map[string]bool)
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, leadership.SessionPrefix); ok {
			alive[name] = true
		}
	}
	controllers := make([]ControllerVersions, 0, len(names))
	for _, name := range names {
		c := ControllerVersions{Name: name, Alive: alive[name], Damaged: registrations[name].damaged}
		if r := registrations[name].value; r != nil {
			c.Versions, c.Session = r.Range, r.Session
		}
		controllers = append(controllers, c)
	}
	return controllers
}
