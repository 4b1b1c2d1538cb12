package leadership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// scriptedPeers are peers that always report the same status.
type scriptedPeers map[string]peer.Status

func (s scriptedPeers) Ping(_ context.Context, name string) (peer.Status, error) { return s[name], nil }

func (s scriptedPeers) KnownLeader() (string, uint64) { return "", 0 }

// testSettings returns the settings of a controller with two peers.
func testSettings() *config.Settings {
	s := &config.Settings{
		NodeName:          "n0",
		Peers:             []config.Peer{{Name: "n1"}, {Name: "n2"}},
		HeartbeatInterval: 4 * time.Second,
		WorkerLease:       22 * time.Second,
		CancelTimeout:     52 * time.Second,
		MemoryMB:          98,
		Sockets:           1000,
	}
	s.Tuning = s.DefaultTuning()
	return s
}

// newTestElection returns the election of a registered process.
func newTestElection(store storage.KeyValueStore, peers Peers) *Election {
	return New(Config{
		Store: store, Settings: testSettings(), Peers: peers, Process: "p",
		Registered: func() bool { return true }, Log: slog.New(slog.DiscardHandler),
	})
}

// newTestStore returns a client of a new key-value store.
func newTestStore(t *testing.T) *storagetest.Client {
	t.Helper()
	service := storagetest.NewService()
	t.Cleanup(service.Close)
	return &storagetest.Client{Service: service, Disconnected: new(atomic.Bool)}
}

// From the moment at which this controller's lease may have expired, a peer may lead. The peer confirms that it hasn't
// led since then only if its process was already running before, and has had no contact to the key-value store since.
// Otherwise the peer may have led and resigned.
func TestPeersConfirmNoLeader(t *testing.T) {
	const sinceExpiry = 10 * time.Second
	for _, c := range []struct {
		name          string
		uptime, since time.Duration
		term          uint64
		want          bool
	}{
		{"running, and without contact to the store, since before the expiry", 20 * time.Second, 15 * time.Second, 2, true},
		{"answered by the store after the expiry: may have led and resigned", 20 * time.Second, 5 * time.Second, 0, false},
		{"restarted after the expiry", 5 * time.Second, 5 * time.Second, 0, false},
		{"restarted after the expiry, though it reports no contact for longer", 5 * time.Second, 15 * time.Second, 0, false},
		{"answered by the store at the moment of expiry", 20 * time.Second, 10 * time.Second, 0, false},
		{"has observed a later term", 20 * time.Second, 15 * time.Second, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestElection(nil, scriptedPeers{
					"n1": {Uptime: time.Hour, SinceStoreContact: time.Hour},
					"n2": {Uptime: c.uptime, SinceStoreContact: c.since, Term: c.term},
				})
				if got := e.PeersConfirmNoLeader(t.Context(), 2, time.Now().Add(-sinceExpiry)); got != c.want {
					t.Errorf("PeersConfirmNoLeader() = %v, want %v", got, c.want)
				}
			})
		})
	}
}

// A term record counts as damaged if no tokens and attempt numbers are left for a term after the recorded one.
func TestAcquireFailsAfterLastTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newTestStore(t)
		last := fmt.Appendf(nil, "%d", uint64(fencing.LastTerm))
		if _, err := client.Txn(t.Context(), nil, []storage.Op{{Key: TermKey, Data: last}}); err != nil {
			t.Fatal(err)
		}
		e := newTestElection(client, scriptedPeers{})
		var damaged *upgrade.DamagedError
		if err := e.acquireLeadership(t.Context()); !errors.As(err, &damaged) || damaged.Key != TermKey {
			t.Errorf("acquireLeadership() = %v, want a DamagedError of %s", err, TermKey)
		}
	})
}

// runElection runs an election until the test ends, and returns a channel of the roles that the election publishes.
func runElection(t *testing.T, e *Election) <-chan Role {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	roles := make(chan Role, 1024)
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx, func(r Role) { roles <- r }) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run() = %v", err)
		}
	})
	return roles
}

// awaitRole returns the first role that matches. It fails the test after a minute without such a role.
func awaitRole(t *testing.T, roles <-chan Role, matches func(Role) bool) Role {
	t.Helper()
	timeout := time.After(time.Minute)
	for {
		select {
		case r := <-roles:
			if matches(r) {
				return r
			}
		case <-timeout:
			t.Fatal("no matching role was published within a minute")
		}
	}
}

func leading(r Role) bool { return r.Leading }

func notLeading(r Role) bool { return !r.Leading }

func TestElectionRenewsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestElection(newTestStore(t), scriptedPeers{})
		roles := runElection(t, e)
		first := awaitRole(t, roles, leading)
		if first.Term == 0 || first.Guard.Key != LeaderKey || first.Guard.Version == 0 {
			t.Errorf("first role %+v, want a term and a guard of %s", first, LeaderKey)
		}
		time.Sleep(10 * e.settings.Tuning.LeaderLease)
		var last Role
		for len(roles) > 0 {
			last = <-roles
		}
		if !last.Leading || last.Term != first.Term || !last.LeaseValidUntil.After(time.Now()) {
			t.Errorf("role after ten leases: %+v, want a valid lease of term %d", last, first.Term)
		}
		if grace := last.RenewWorkersUntil.Sub(last.LeaseValidUntil); grace != e.settings.RenewalGrace() {
			t.Errorf("workers' leases are renewed for %v after the leader's lease, want %v", grace, e.settings.RenewalGrace())
		}
	})
}

func TestResignationEndsTheTerm(t *testing.T) {
	for _, standDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("stand down %v", standDown), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestElection(newTestStore(t), scriptedPeers{})
				roles := runElection(t, e)
				term := awaitRole(t, roles, leading).Term
				e.Resign(Resignation{Term: term - 1}) // from an earlier term: has no effect
				e.Resign(Resignation{Term: term, StandDown: standDown})
				resigned := time.Now()
				awaitRole(t, roles, notLeading)
				next := awaitRole(t, roles, leading)
				if next.Term <= term {
					t.Errorf("next term is %d, want one after %d", next.Term, term)
				}
				pause := standDownLeases * e.settings.Tuning.LeaderLease
				if waited := time.Since(resigned); (waited >= pause) != standDown {
					t.Errorf("leads again after %v; want that to be at least %v: %v", waited, pause, standDown)
				}
			})
		})
	}
}

func TestElectionRevokesLeaseOfEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newTestStore(t)
		lease, err := client.Grant(t.Context(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		record := fmt.Appendf(nil, `{"n":%q,"r":"earlier","t":1}`, "n0")
		if _, err := client.Txn(t.Context(), nil, []storage.Op{{Key: LeaderKey, Data: record, Lease: lease}}); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		roles := runElection(t, newTestElection(client, scriptedPeers{}))
		awaitRole(t, roles, leading)
		if waited := time.Since(started); waited > time.Second {
			t.Errorf("leads after %v, want at once", waited)
		}
	})
}

// If the key-value store is unreachable, a leader keeps its role until it may no longer renew workers' leases.
func TestLeaderWithoutStoreStopsAfterRenewalGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newTestStore(t)
		e := newTestElection(client, scriptedPeers{}) // peers that confirm nothing
		roles := runElection(t, e)
		role := awaitRole(t, roles, leading)
		client.Disconnected.Store(true)
		awaitRole(t, roles, notLeading)
		if ended := time.Now(); ended.Before(role.RenewWorkersUntil) {
			t.Errorf("leadership ended %v before the end of the renewal grace, want after it", role.RenewWorkersUntil.Sub(ended))
		}
		client.Disconnected.Store(false)
		awaitRole(t, roles, leading)
	})
}
