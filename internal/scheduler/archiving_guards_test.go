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

// Only a page that was read in the scheduler's own term proves that a job isn't archived, because the leader of another term
// may have archived the job.
func TestArchiveReadOfAnotherTermIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		for _, c := range []struct {
			result archive.Result
			want   api.Code
		}{
			{archive.Result{Status: archive.Absent, Term: sched.term + 1}, api.CodeUnavailable},
			{archive.Result{Status: archive.Absent}, api.CodeUnavailable},
			{archive.Result{}, api.CodeUnavailable},
			{archive.Result{Status: archive.Absent, Term: sched.term}, api.CodeNotFound},
			{archive.Result{Status: archive.Found, FinalState: archive.FinalState{Done: 1}}, api.CodeOK},
		} {
			reply := make(chan api.Response, 1)
			sched.handleArchiveRead(archiveReadMessage{user: userMessage{req: api.Request{Op: api.OpPoll, ID: "000001"}, reply: reply}, result: c.result})
			if response := <-reply; response.Code != c.want {
				t.Errorf("archive read %+v: got %+v, want code %v", c.result, response, c.want)
			}
		}
	})
}

// While a batch of jobs is being archived, its completion may still remove jobs from the journal. Therefore no job is
// restored, and the gate counts as used even if no page is stored yet.
func TestArchivingInProgressCountsAsGateUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		number := jobNumber(t, "000001")
		restore := func() error {
			reply := make(chan error, 1)
			sched.restoreArchived(restoreMessage{[]archive.Entry{{Number: number}}, reply})
			sched.commitPending(nil)
			return <-reply
		}
		countGateUses := func() int {
			go func() { (<-sched.mailbox).handle(sched) }()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			go func() { _ = sched.journal.Run(ctx) }()
			usage, err := termGates{sched, sched.journal}.CountGateUses(ctx, sched.gates)
			if err != nil {
				t.Fatal(err)
			}
			return usage[upgrade.JobArchive]
		}
		if countGateUses() != 0 {
			t.Error("an idle leader counts as a use of the gate")
		}
		sched.archiving = true
		if err := restore(); !errors.Is(err, errArchivingInProgress) || sched.state.Jobs.Get("000001") != nil {
			t.Errorf("restore during archiving = %v, want %v and no job", err, errArchivingInProgress)
		}
		if countGateUses() == 0 {
			t.Error("archiving in progress doesn't count as a use of the gate")
		}
		sched.archiving = false
		if err := restore(); err != nil || sched.state.Jobs.Get("000001") == nil {
			t.Errorf("restore after archiving = %v, want the job", err)
		}
	})
}

// Jobs archived in a term are looked up until the end of the term, because a release of the gate may still be undone.
func TestArchiveStaysInUseUntilTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		if sched.archiveInUse {
			t.Error("the archive is in use before its gate")
		}
		used := upgrade.Initial()
		used.Gates = map[upgrade.GateName]upgrade.GateState{upgrade.JobArchive: {Since: upgrade.Version4, Phase: upgrade.GateOpen, Used: true}}
		sched.setGates(used)
		sched.setGates(upgrade.Initial())
		if !sched.archiveInUse {
			t.Error("the archive is no longer in use within the term")
		}
	})
}
