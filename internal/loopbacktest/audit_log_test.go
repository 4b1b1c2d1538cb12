package loopbacktest

import (
	"testing"
	"time"
)

// auditFixture is an audit log with two machines and a job.
type auditFixture struct {
	*auditLog
	a, b *machine
	job  Job
	now  time.Time
}

func newAuditFixture(cpuLimit float64) *auditFixture {
	now := time.Now()
	return &auditFixture{
		auditLog: newAuditLog([]Team{{Name: "team", CPULimit: cpuLimit}}),
		a:        &machine{name: "host-a", leaseRenewedAt: now},
		b:        &machine{name: "host-b", leaseRenewedAt: now},
		job:      Job{ID: "job-000001", Team: "team", CPUs: 2, Tasks: 2},
		now:      now,
	}
}

// start starts an attempt of a task on a machine.
func (f *auditFixture) start(m *machine, task string, number uint64) *attempt {
	a := &attempt{id: attemptID{task, number}, job: f.job.ID, running: true}
	f.addAttempt(m, a)
	f.recordStart(m, a, f.job, time.Minute, f.now)
	return a
}

// expectViolations checks the number of violations of a rule so far, and that no other rule was broken.
func (f *auditFixture) expectViolations(t *testing.T, rule Rule, want int) {
	t.Helper()
	got := 0
	for _, v := range f.violations {
		if v.Rule == rule {
			got++
		}
	}
	if got != want || len(f.violations) != want {
		t.Errorf("got violations %v, want %d of rule %s", f.violations, want, rule)
	}
}

func TestAuditLogFindsTaskRunningTwice(t *testing.T) {
	f := newAuditFixture(0)
	first := f.start(f.a, "job-000001/0", 1)
	f.recordEnd(first)
	f.start(f.b, "job-000001/0", 2)
	f.start(f.b, "job-000001/1", 3)
	f.expectViolations(t, RanTwice, 0)
	f.start(f.a, "job-000001/1", 4)
	f.expectViolations(t, RanTwice, 1)
	f.b.leaseRenewedAt = f.now.Add(-2 * time.Minute) // the lease has expired, so no attempt runs on this machine
	f.start(f.a, "job-000001/0", 5)
	f.expectViolations(t, RanTwice, 1)
}

func TestAuditLogFindsTeamOverQuota(t *testing.T) {
	f := newAuditFixture(4)
	f.start(f.a, "job-000001/0", 1)
	second := f.start(f.b, "job-000001/1", 2)
	f.expectViolations(t, OverQuota, 0)
	f.start(f.b, "job-000002/0", 3)
	f.expectViolations(t, OverQuota, 1)
	f.recordEnd(second)
	f.recordEnd(second) // a second call has no effect
	if got := f.cpusInUse["team"]; got != 4 {
		t.Errorf("got %v processors in use, want 4", got)
	}
}

func TestAuditLogFindsTaskOfCancelledJob(t *testing.T) {
	timing := Timing{CancelLimit: time.Second, Lease: time.Minute}
	for _, tt := range []struct {
		name    string
		running bool
		after   time.Duration
		want    int
	}{
		{name: "within the limit", running: true, after: time.Second, want: 0},
		{name: "ended", running: false, after: 2 * time.Second, want: 0},
		{name: "beyond the limit", running: true, after: 2 * time.Second, want: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newAuditFixture(0)
			f.start(f.a, "job-000001/0", 1).running = tt.running
			f.cancelledAt[f.job.ID] = f.now
			f.checkCancelled(timing, f.now.Add(tt.after))
			f.expectViolations(t, RanCancelled, tt.want)
		})
	}
}
