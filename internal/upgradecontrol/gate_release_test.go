package upgradecontrol

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// releaseAfter is how long a gate must have no dependents in these tests before it is released, that is marked as unused.
const releaseAfter = 20 * time.Second

// gangJobsInUse returns a cluster record with the gate for gang jobs in use. While this record is stored, a process of
// version 1 must not lead.
func gangJobsInUse() upgrade.Record {
	record := upgrade.Initial()
	record.Active, record.Phase = upgrade.Version2, upgrade.Soaking
	record.Gates = map[upgrade.GateName]upgrade.GateState{upgrade.GangJobs: {Since: upgrade.Version2, Phase: upgrade.GateOpen, Used: true}}
	return record
}

// fakeGateUsers is a fake of the leader's other actors. It keeps the cluster records that the controller publishes, and
// takes the number of gang jobs from a function.
type fakeGateUsers struct {
	published     []upgrade.Record
	countGangJobs func(count int) int // returns the number of gang jobs; count is 1 in the first call
	counts        int                 // number of calls of countGangJobs so far
}

func (u *fakeGateUsers) PublishGates(_ context.Context, record upgrade.Record) error {
	u.published = append(u.published, record)
	return nil
}

func (u *fakeGateUsers) CountGateUses(_ context.Context, record upgrade.Record) (upgrade.Usage, error) {
	u.published = append(u.published, record)
	u.counts++
	return upgrade.Usage{upgrade.GangJobs: u.countGangJobs(u.counts), upgrade.CompressedChunks: 0}, nil
}

// usableAgain reports whether gang jobs were published as usable after they had been published as not usable.
func (u *fakeGateUsers) usableAgain() bool {
	unusable := false
	for _, record := range u.published {
		unusable = unusable || !record.Gate(upgrade.GangJobs).Usable()
		if unusable && record.Gate(upgrade.GangJobs).Usable() {
			return true
		}
	}
	return false
}

// newReleasingController returns the only controller of a fleet, and the client of its key-value store. The gate for gang
// jobs has been unused for longer than releaseAfter.
func newReleasingController(t *testing.T, users GateUsers) (*Controller, *storagetest.Client) {
	t.Helper()
	client := &storagetest.Client{Service: storagetest.NewService()}
	settings := clustertest.Settings()
	settings.NodeName, settings.Peers = "n0", nil
	settings.Tuning.Upgrade.Policy = upgrade.Policy{Hold: true, ReleaseAfter: releaseAfter}
	record := gangJobsInUse()
	registration, err := json.Marshal(upgrade.NewRegistration("n0", "run", upgrade.Supported))
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := client.Apply(nil, []storage.Op{
		{Key: leadership.LeaderKey, Data: []byte(`{}`)}, {Key: leadership.ClusterKey, Data: data}, {Key: leadership.RegistrationPrefix + "n0", Data: registration},
	})
	if err != nil {
		t.Fatal(err)
	}
	role := leadership.Role{Term: 1, Guard: storage.Guard{Key: leadership.LeaderKey, Version: revision}, Cluster: leadership.ClusterRecord{Record: record, Version: revision}}
	c := New(Config{Store: client, Settings: &settings, Role: role, GateUsers: users, Log: slog.New(slog.DiscardHandler)})
	c.unusedSince[upgrade.GangJobs] = time.Now().Add(-2 * releaseAfter)
	return c, client
}

// The transaction that releases a gate is delayed: the store applies it an hour later, and the controller receives no
// response. While the release may still be committed, the other actors must not use the gate.
func TestGateIsNotUsableWhileReleaseIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		users := &fakeGateUsers{countGangJobs: func(int) int { return 0 }}
		c, client := newReleasingController(t, users)
		defer client.Close()
		client.DelayTxn = func(tx storagetest.Txn) time.Duration {
			if strings.Contains(string(tx.Ops[0].Data), `"used":true`) {
				return 0
			}
			return time.Hour
		}
		for range 5 {
			if err := c.advanceUpgrade(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
		if c.tentative == nil || users.usableAgain() {
			t.Errorf("tentative record %v, published %+v; want gang jobs not usable again", c.tentative, users.published)
		}
	})
}

// A gate gets a new dependent after the count that starts the release of the gate, and before the release is written. The
// gate must stay in use.
func TestUseAfterCountPreventsRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		users := &fakeGateUsers{countGangJobs: func(count int) int { return max(0, count-2) }}
		c, client := newReleasingController(t, users)
		defer client.Close()
		for range 2 { // the first step opens the other gates of the active version, which aren't in the record yet
			if err := c.advanceUpgrade(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
		last := users.published[len(users.published)-1]
		if users.counts < 3 || !c.cluster.Record.Gate(upgrade.GangJobs).Used || !last.Gate(upgrade.GangJobs).Usable() {
			t.Errorf("%d counts, stored %+v, published %+v; want at least 3 and gang jobs in use", users.counts, c.cluster.Record, last)
		}
	})
}
