package leadership

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

const (
	// sessionLeases is the time to live of a session, as a multiple of a worker's lease. A session only
	// shows operators that the process is alive. A long time to live is enough for that, and makes the
	// cost of renewals negligible.
	sessionLeases = 8
	// renewalsPerSession is the number of times that a session is renewed within its time to live.
	renewalsPerSession = 3
	// registrationCalls is the number of consecutive calls to the key-value store that register makes.
	registrationCalls = 4
)

// Registrar is the actor that registers in the key-value store which versions of stored data this process
// reads and writes. The registration remains valid for the controller after the process has ended, until
// another process of the same controller replaces it.
type Registrar struct {
	store    storage.KeyValueStore
	settings *config.Settings
	process  string
	log      *slog.Logger

	registered          atomic.Bool
	registrationVersion uint64 // version of this controller's registration key
	sessionLease        uint64 // the lease of the session; 0: none is granted
	lastLogged          string
}

// NewRegistrar returns a registrar. Run starts it. process identifies this process among all processes
// of its controller.
func NewRegistrar(store storage.KeyValueStore, settings *config.Settings, process string, log *slog.Logger) *Registrar {
	return &Registrar{store: store, settings: settings, process: process, log: log}
}

// Registered reports whether Run has stored the registration of this process. It may be called from any
// goroutine.
func (r *Registrar) Registered() bool { return r.registered.Load() }

// Run registers the process and then renews its session until ctx ends. It returns an error if the
// cluster record refuses this process: see upgrade.Admit.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil && !r.registered.Load() {
		err := r.register(ctx)
		if upgrade.IsRefusal(err) {
			return err
		}
		if err != nil {
			r.logFailure(err)
			clock.Sleep(ctx, r.settings.Tuning.LeaderLease/RenewalsPerLease)
		}
	}
	r.keepSession(ctx)
	return nil
}

// logFailure logs a failed registration. If the same error repeats, it is logged only once.
func (r *Registrar) logFailure(err error) {
	level := slog.LevelDebug
	if _, ok := errors.AsType[*upgrade.DamagedError](err); ok {
		level = slog.LevelError
	}
	if err.Error() != r.lastLogged {
		r.lastLogged = err.Error()
		r.log.Log(context.Background(), level, "registration failed", "error", err)
	}
}

// register stores which versions this process supports, unless the cluster record refuses the process.
//
// A registration must not succeed together with the activation of a version that relies on the
// controller's earlier registration. The registration is therefore guarded by the version of the cluster
// record, and the activation by the registrations that it relies on. The second of the two transactions
// fails, and its sender reads the keys again.
func (r *Registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationCalls*r.settings.StoreCallTimeout())
	defer cancel()
	cluster, err := ReadClusterRecord(ctx, r.store)
	if err != nil {
		return err
	}
	upgradeSettings := &r.settings.Tuning.Upgrade
	if err := upgrade.Admit(cluster.Record, upgradeSettings.Versions, upgradeSettings.Policy); err != nil {
		return err
	}
	earlier, err := r.store.Get(ctx, r.registrationKey())
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return fmt.Errorf("read registration: %w", err)
	}
	if r.sessionLease == 0 {
		if r.sessionLease, err = r.store.Grant(ctx, r.sessionTimeToLive()); err != nil {
			return fmt.Errorf("grant session: %w", err)
		}
	}
	registration := upgrade.NewRegistration(r.settings.NodeName, r.process, upgradeSettings.Versions)
	version, err := r.writeSession(ctx, []storage.Guard{
		{Key: ClusterKey, Version: cluster.Version},
		{Key: r.registrationKey(), Version: earlier.Version},
	}, &registration)
	if errors.Is(err, storage.ErrLeaseExpired) {
		r.sessionLease = 0
	}
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.registrationVersion = version
	r.registered.Store(true)
	r.log.Info("controller registered", "versions", upgradeSettings.Versions.String(), "active", cluster.Record.Active)
	return nil
}

// writeSession stores the session, and also the registration unless registration is nil. It returns the
// revision of the transaction.
func (r *Registrar) writeSession(ctx context.Context, guards []storage.Guard, registration *upgrade.Registration) (uint64, error) {
	session, err := json.Marshal(r.process)
	if err != nil {
		return 0, fmt.Errorf("encode session: %w", err)
	}
	ops := []storage.Op{{Key: SessionPrefix + r.settings.NodeName, Data: session, Lease: r.sessionLease}}
	if registration != nil {
		data, err := json.Marshal(registration)
		if err != nil {
			return 0, fmt.Errorf("encode registration: %w", err)
		}
		ops = append(ops, storage.Op{Key: r.registrationKey(), Data: data})
	}
	return r.store.Txn(ctx, guards, ops)
}

func (r *Registrar) registrationKey() string { return RegistrationPrefix + r.settings.NodeName }

func (r *Registrar) sessionTimeToLive() time.Duration { return sessionLeases * r.settings.WorkerLease }

// keepSession renews the session until ctx ends. A session that has expired is created again, unless
// another process of this controller has registered.
func (r *Registrar) keepSession(ctx context.Context) {
	for clock.Sleep(ctx, r.sessionTimeToLive()/renewalsPerSession) {
		if err := r.renewSession(ctx); err != nil {
			r.log.Debug("session renewal failed", "error", err)
		}
	}
}

// renewSession renews the session's lease. If the lease has expired, it writes the session under a new
// lease; the guard on the registration fails if another process of this controller has registered.
func (r *Registrar) renewSession(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.StoreCallTimeout())
	defer cancel()
	err := r.store.Renew(ctx, r.sessionLease)
	if !errors.Is(err, storage.ErrNotFound) {
		return err
	}
	lease, err := r.store.Grant(ctx, r.sessionTimeToLive())
	if err != nil {
		return err
	}
	r.sessionLease = lease
	_, err = r.writeSession(ctx, []storage.Guard{{Key: r.registrationKey(), Version: r.registrationVersion}}, nil)
	return err
}
