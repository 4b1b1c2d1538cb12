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

// If an archive page doesn't contain a job, this proves that the job isn't archived only if the page was read in the
// scheduler's own term. A page that was read in another term proves nothing, because the leader of another term may have
// archived the job.
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

// When the archiving of a batch of jobs completes, the leader removes these jobs from the journal. Until then no archived job
// is moved back to the journal, because the completion could then remove this job from the journal. The archive's feature gate
// meanwhile counts as used, even if no archive page is stored yet.
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

// Once the archive's feature gate has been marked as used, the scheduler looks jobs up in the archive until its term ends. It
// does so even after the gate is closed, because the closing may still be undone.
func TestArchiveStaysInUseUntilTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		if sched.archiveInUse {
			t.Error("the archive is in use before its gate is marked as used")
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
