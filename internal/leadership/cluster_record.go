package leadership

import (
	"context"
	"errors"
	"fmt"

	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// The keys of upgrades in the key-value store. Each controller writes its own registration and session.
// The leader's upgrade controller writes the cluster record.
const (
	UpgradePrefix      = "upgrade/"
	ClusterKey         = UpgradePrefix + "cluster"  // the cluster record: active version and gates
	RegistrationPrefix = UpgradePrefix + "node/"    // each controller's registration
	SessionPrefix      = UpgradePrefix + "session/" // each controller's session, attached to a lease that its process renews
)

// ClusterRecord is the cluster record with the version of its key. Version 0 means that no cluster record
// is stored.
type ClusterRecord struct {
	Record  upgrade.Record
	Version uint64
}

// ReadClusterRecord reads the cluster record. If there is no stored record, it returns upgrade.Initial with
// version 0.
func ReadClusterRecord(ctx context.Context, store storage.KeyValueStore) (ClusterRecord, error) {
	item, err := store.Get(ctx, ClusterKey)
	if errors.Is(err, storage.ErrNotFound) {
		return ClusterRecord{Record: upgrade.Initial()}, nil
	}
	if err != nil {
		return ClusterRecord{}, fmt.Errorf("read cluster record: %w", err)
	}
	record, err := upgrade.DecodeRecord(ClusterKey, item.Data)
	return ClusterRecord{Record: record, Version: item.Version}, err
}
