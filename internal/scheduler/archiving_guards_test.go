package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/archive"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/upgrade"
)

// A page that was read in another term, or not at all, is no proof that a job isn't archived: the term of whoever asks may
// be over.
func TestArchiveReadOfAnotherTermIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		for _, c := range []struct {
			result archive.Result
			want   api.Code
		}{
			{archive.Result{Knowledge: archive.Absent, Term: d.term + 1}, api.CodeUnavailable},
			{archive.Result{Knowledge: archive.Absent}, api.CodeUnavailable},
			{archive.Result{}, api.CodeUnavailable},
			{archive.Result{Knowledge: archive.Absent, Term: d.term}, api.CodeNotFound},
			{archive.Result{Knowledge: archive.Found, Final: archive.FinalState{Done: 1}}, api.CodeOK},
		} {
			reply := make(chan api.Response, 1)
			d.handleArchiveRead(archiveReadMessage{user: userMessage{req: api.Request{Op: api.OpPoll, ID: "000001"}, reply: reply}, result: c.result})
			if a := <-reply; a.Code != c.want {
				t.Errorf("%+v is answered %+v", c.result, a)
			}
		}
	})
}

// While an offer to the archive is under way its answer may still remove jobs from the journal: nothing is brought back
// then, and the gate counts as used though no page holds anything yet.
func TestArchivingInProgressCountsAsGateUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		rank, _ := archive.ParseJobNumber("000001")
		restore := func() error {
			reply := make(chan error, 1)
			d.restoreArchived(restoreMessage{[]archive.Entry{{Number: rank}}, reply})
			d.commitPending(nil)
			return <-reply
		}
		uses := func() int {
			go func() { (<-d.mailbox).handle(d) }()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			go func() { _ = d.journal.Run(ctx) }()
			usage, err := termGates{d, d.journal}.CountGateUses(ctx, d.gates)
			if err != nil {
				t.Fatal(err)
			}
			return usage[upgrade.JobArchive]
		}
		if uses() != 0 {
			t.Error("an idle leader uses the gate")
		}
		d.archiving = true
		if err := restore(); !errors.Is(err, errArchivingInProgress) || d.state.Jobs.Get("000001") != nil {
			t.Errorf("brought back: %v", err)
		}
		if uses() == 0 {
			t.Error("an offer under way is no use")
		}
		d.archiving = false
		if err := restore(); err != nil || d.state.Jobs.Get("000001") == nil {
			t.Errorf("not brought back: %v", err)
		}
	})
}

// What was archived in a term stays to be looked for in it, though the gate's release is on its way and may be taken back.
func TestArchiveStaysInUseUntilTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		if d.archiveUsed {
			t.Error("used from the start")
		}
		used := upgrade.Initial()
		used.Gates = map[upgrade.GateName]upgrade.GateState{upgrade.JobArchive: {Since: upgrade.Version4, Phase: upgrade.GateOpen, Used: true}}
		d.setGates(used)
		d.setGates(upgrade.Initial())
		if !d.archiveUsed {
			t.Error("no longer used")
		}
	})
}
