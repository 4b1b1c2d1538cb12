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
	// sessionLeases is the time to live of a session, in workers' leases. It only tells operators that
	// the process lives, so it is long and costs next to nothing.
	sessionLeases = 8
	// renewalsPerSession is how often a session is renewed within its time to live.
	renewalsPerSession = 3
	// registrationCalls is how many calls a registration takes, one after the other.
	registrationCalls = 4
)

// Registrar is the actor that registers this process with the versions that it reads and writes. The
// registration outlasts the process: until another one of the same controller replaces it, the fleet
// counts this controller by it.
type Registrar struct {
	store    storage.KeyValueStore
	settings *config.Settings
	process  string
	log      *slog.Logger

	registered atomic.Bool
	version    uint64 // of our registration in the key-value store
	session    uint64 // the lease of our session
	lastLogged string
}

// NewRegistrar makes a registrar; Run starts it. process identifies this process among all processes of
// its controller.
func NewRegistrar(store storage.KeyValueStore, settings *config.Settings, process string, log *slog.Logger) *Registrar {
	return &Registrar{store: store, settings: settings, process: process, log: log}
}

// Registered reports whether this process has registered. It may be called from any goroutine.
func (r *Registrar) Registered() bool { return r.registered.Load() }

// Run registers the process, then keeps its session until ctx ends. It returns an error if this process
// must not serve beside what is in force.
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

// logFailure logs a failed registration, the same error only once.
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

// register stores which versions this process supports, unless what is in force refuses it. The cluster
// record is guarded: an activation that rests on the earlier registration and this one can't both
// succeed unseen by each other.
func (r *Registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationCalls*r.settings.CallTimeout())
	defer cancel()
	cluster, err := ReadClusterRecord(ctx, r.store)
	if err != nil {
		return err
	}
	own := &r.settings.Tuning.Upgrade
	if err := upgrade.Admit(cluster.Record, own.Versions, own.Policy); err != nil {
		return err
	}
	earlier, err := r.store.Get(ctx, r.registrationKey())
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return fmt.Errorf("read registration: %w", err)
	}
	if r.session == 0 {
		if r.session, err = r.store.Grant(ctx, r.sessionTimeToLive()); err != nil {
			return fmt.Errorf("grant session: %w", err)
		}
	}
	registration := upgrade.NewRegistration(r.settings.NodeName, r.process, own.Versions)
	version, err := r.write(ctx, []storage.Guard{
		{Key: ClusterKey, Version: cluster.Version},
		{Key: r.registrationKey(), Version: earlier.Version},
	}, &registration)
	if errors.Is(err, storage.ErrLeaseExpired) {
		r.session = 0
	}
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.version = version
	r.registered.Store(true)
	r.log.Info("controller registered", "versions", own.Versions.String(), "active", cluster.Record.Active)
	return nil
}

// write sets our session, and our registration if there is one to be set.
func (r *Registrar) write(ctx context.Context, guards []storage.Guard, registration *upgrade.Registration) (uint64, error) {
	session, err := json.Marshal(r.process)
	if err != nil {
		return 0, fmt.Errorf("encode session: %w", err)
	}
	ops := []storage.Op{{Key: SessionPrefix + r.settings.NodeName, Data: session, Lease: r.session}}
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

// keepSession renews the session, and starts it anew where it has expired, until another process of
// this controller has registered.
func (r *Registrar) keepSession(ctx context.Context) {
	for clock.Sleep(ctx, r.sessionTimeToLive()/renewalsPerSession) {
		if err := r.renewSession(ctx); err != nil {
			r.log.Debug("session renewal failed", "error", err)
		}
	}
}

func (r *Registrar) renewSession(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout())
	defer cancel()
	err := r.store.Renew(ctx, r.session)
	if !errors.Is(err, storage.ErrNotFound) {
		return err
	}
	session, err := r.store.Grant(ctx, r.sessionTimeToLive())
	if err != nil {
		return err
	}
	r.session = session
	_, err = r.write(ctx, []storage.Guard{{Key: r.registrationKey(), Version: r.version}}, nil)
	return err
}
