package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// The keys of upgrades in the state service.
const (
	upgradePrefix      = "upgrade/"
	clusterKey         = upgradePrefix + "cluster"  // the cluster record
	registrationPrefix = upgradePrefix + "node/"    // each controller's registration
	sessionPrefix      = upgradePrefix + "session/" // under a lease: that its process lives
	waitingKey         = upgradePrefix + "waiting"  // what the leader waits for, for operators
)

const (
	// sessionLeases is the life of a session's lease, in workers' leases. It only tells
	// operators that the process lives, so it is long and costs next to nothing.
	sessionLeases = 8
	// sessionRenewals is how often a session is renewed within its life.
	sessionRenewals = 3
	// registrationCalls is how many calls a registration takes, one after the other.
	registrationCalls = 4
)

// clusterState is the cluster record as it is stored; version 0: it isn't.
type clusterState struct {
	record  upgrade.Record
	version uint64
}

// readCluster reads the cluster record.
func readCluster(ctx context.Context, svc storage.KeyValueStore) (clusterState, error) {
	item, err := svc.Get(ctx, clusterKey)
	if errors.Is(err, storage.ErrNotFound) {
		return clusterState{record: upgrade.Initial()}, nil
	}
	if err != nil {
		return clusterState{}, fmt.Errorf("read cluster record: %w", err)
	}
	record, err := upgrade.DecodeRecord(clusterKey, item.Data)
	return clusterState{record: record, version: item.Version}, err
}

// errUnregistered says that this process may not lead yet.
var errUnregistered = errors.New("not registered yet")

// membership is the actor that registers this process with the versions that it reads and
// writes. The registration outlasts the process: until another one of the same node
// replaces it, the fleet counts this node by it.
type membership struct {
	svc      storage.KeyValueStore
	settings *config.Settings
	session  string
	log      *slog.Logger

	registered atomic.Bool // published for the leadership
	version    uint64      // of our registration in the state service
	lease      uint64      // of our session
	lastLogged string      // the last trouble that was logged
}

// Run registers the process, then keeps its session. It returns an error if this process
// must not serve beside what is in force.
func (m *membership) Run(ctx context.Context) error {
	for ctx.Err() == nil && !m.registered.Load() {
		err := m.register(ctx)
		if upgrade.IsRefusal(err) {
			return err
		}
		if err != nil {
			m.logNotRegistered(err)
			clock.Sleep(ctx, m.settings.Tuning.LeaderLease/renewalsPerLease)
		}
	}
	m.keepSession(ctx)
	return nil
}

// logNotRegistered logs a trouble once.
func (m *membership) logNotRegistered(err error) {
	level := slog.LevelDebug
	var damaged *upgrade.DamagedError
	if errors.As(err, &damaged) {
		level = slog.LevelError
	}
	if err.Error() != m.lastLogged {
		m.lastLogged = err.Error()
		m.log.Log(context.Background(), level, "not registered", "err", err)
	}
}

// register stores what this process is, unless what is in force refuses it. The cluster
// record is guarded: an activation that rests on the earlier registration and this one
// can't both succeed unseen by each other.
func (m *membership) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationCalls*m.settings.CallTimeout())
	defer cancel()
	cluster, err := readCluster(ctx, m.svc)
	if err != nil {
		return err
	}
	own := &m.settings.Tuning.Upgrade
	if err := upgrade.Admit(cluster.record, own.Versions, own.Policy); err != nil {
		return err
	}
	earlier, err := m.svc.Get(ctx, m.registrationKey())
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return fmt.Errorf("read registration: %w", err)
	}
	if m.lease == 0 {
		if m.lease, err = m.svc.Grant(ctx, m.sessionLife()); err != nil {
			return fmt.Errorf("grant session: %w", err)
		}
	}
	registration := upgrade.NewRegistration(m.settings.NodeName, m.session, own.Versions)
	version, err := m.write(ctx, []storage.Guard{
		{Key: clusterKey, Version: cluster.version},
		{Key: m.registrationKey(), Version: earlier.Version},
	}, &registration)
	if errors.Is(err, storage.ErrLeaseExpired) {
		m.lease = 0
	}
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	m.version = version
	m.registered.Store(true)
	m.log.Info("registered", "versions", own.Versions.String(), "active", cluster.record.Active)
	return nil
}

// write sets our session, and our registration if there is one to be set.
func (m *membership) write(ctx context.Context, guards []storage.Guard, registration *upgrade.Registration) (uint64, error) {
	session, err := json.Marshal(m.session)
	if err != nil {
		return 0, fmt.Errorf("encode session: %w", err)
	}
	ops := []storage.Op{{Key: sessionPrefix + m.settings.NodeName, Data: session, Lease: m.lease}}
	if registration != nil {
		data, err := json.Marshal(registration)
		if err != nil {
			return 0, fmt.Errorf("encode registration: %w", err)
		}
		ops = append(ops, storage.Op{Key: m.registrationKey(), Data: data})
	}
	return m.svc.Txn(ctx, guards, ops)
}

func (m *membership) registrationKey() string { return registrationPrefix + m.settings.NodeName }

func (m *membership) sessionLife() time.Duration { return sessionLeases * m.settings.WorkerLease }

// keepSession renews the session, and begins it anew where it ran out, until another
// process of this node has registered.
func (m *membership) keepSession(ctx context.Context) {
	for clock.Sleep(ctx, m.sessionLife()/sessionRenewals) {
		if err := m.renewSession(ctx); err != nil {
			m.log.Debug("session not renewed", "err", err)
		}
	}
}

func (m *membership) renewSession(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout())
	defer cancel()
	err := m.svc.Touch(ctx, m.lease)
	if !errors.Is(err, storage.ErrNotFound) {
		return err
	}
	lease, err := m.svc.Grant(ctx, m.sessionLife())
	if err != nil {
		return err
	}
	m.lease = lease
	_, err = m.write(ctx, []storage.Guard{{Key: m.registrationKey(), Version: m.version}}, nil)
	return err
}
