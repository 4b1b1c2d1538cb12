package failures

import "testing"

func TestMachineIsAtFaultAfterFailuresOfSeveralJobs(t *testing.T) {
	var m Machine
	for range 5 {
		m.RecordFailure("a")
	}
	if !m.Suspected() || m.AtFault() {
		t.Errorf("after failures of one job: got suspected %v, at fault %v, want suspected only", m.Suspected(), m.AtFault())
	}
	m.RecordFailure("b")
	if !m.AtFault() {
		t.Error("after failures of two jobs: got not at fault")
	}
	m.Clear("a")
	if !m.Suspected() || m.AtFault() {
		t.Errorf("after one of two jobs is cleared: got suspected %v, at fault %v, want suspected only", m.Suspected(), m.AtFault())
	}
	if m.RecordSuccess(); m.Suspected() {
		t.Error("after a success: got suspected")
	}
}

func TestJobsRememberedOfMachineAreBounded(t *testing.T) {
	var m Machine
	for i := range 100 {
		m.RecordFailure(string(rune('A' + i)))
	}
	if len(m.jobs) > maxRemembered {
		t.Errorf("after 100 jobs: got %d remembered, want at most %d", len(m.jobs), maxRemembered)
	}
	if m.RecordSuccess(); m.Suspected() {
		t.Error("after a success: got suspected")
	}
}
