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

// Only a page that was read in the scheduler's own term proves that a job isn't archived: a later leader may have archived it.
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
				t.Errorf("%+v is answered %+v, want code %v", c.result, a, c.want)
			}
		}
	})
}

// Until a request to the archive is answered, its response may still remove jobs from the journal: no job is restored then, and the
// gate counts as used though no page is stored yet.
func TestArchivingInProgressCountsAsGateUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		number := jobNumber(t, "000001")
		restore := func() error {
			reply := make(chan error, 1)
			d.restoreArchived(restoreMessage{[]archive.Entry{{Number: number}}, reply})
			d.commitPending(nil)
			return <-reply
		}
		uses := func() int {
			go func() { (<-d.mailbox).handle(d) }()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			go func() { _ = d.journal.Run(ctx) }()
			usage, err := termGates{d, d.journal}.CountGateUses(ctx, d.gates)
			if err != nil {
				t.Fatal(err)
			}
			return usage[upgrade.JobArchive]
		}
		if uses() != 0 {
			t.Error("an idle leader counts as a use of the gate")
		}
		d.archiving = true
		if err := restore(); !errors.Is(err, errArchivingInProgress) || d.state.Jobs.Get("000001") != nil {
			t.Errorf("restore during archiving = %v, want %v and no job", err, errArchivingInProgress)
		}
		if uses() == 0 {
			t.Error("archiving in progress doesn't count as a use of the gate")
		}
		d.archiving = false
		if err := restore(); err != nil || d.state.Jobs.Get("000001") == nil {
			t.Errorf("restore after archiving = %v, want the job", err)
		}
	})
}

// Jobs archived in a term are looked up until its end, because a release of the gate may still be undone.
func TestArchiveStaysInUseUntilTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		if d.archiveInUse {
			t.Error("the archive is in use before the gate is")
		}
		used := upgrade.Initial()
		used.Gates = map[upgrade.GateName]upgrade.GateState{upgrade.JobArchive: {Since: upgrade.Version4, Phase: upgrade.GateOpen, Used: true}}
		d.setGates(used)
		d.setGates(upgrade.Initial())
		if !d.archiveInUse {
			t.Error("the archive is out of use within the term")
		}
	})
}
