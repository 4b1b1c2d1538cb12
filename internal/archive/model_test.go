package archive

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sagevale/internal/storage/storagetest"
)

// historyModel runs a random history of leaders that archive jobs, and records the expected state of each
// job.
type historyModel struct {
	*fixture
	t           *rapid.T
	finalStates map[JobNumber]FinalState // the final state of each job that has finished
	journal     map[JobNumber]FinalState // the final state of each finished job that is still in the journal
	leader      *Archiver
	leadership  Leadership
	follower    *Archiver
}

// In a random history, jobs finish and are archived, leaders fail over, and writes arrive late, are repeated
// or lose their responses. The result of every lookup must agree with the model. At the end every job that
// isn't in the journal any more must be found in the archive.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inSimulatedTime(t, func() { runHistory(rt) })
	})
}

// inSimulatedTime runs a property in simulated time. rapid may end a property with a panic, which it expects
// in the goroutine that called inSimulatedTime. inSimulatedTime therefore recovers the panic, and panics with
// the same value in that goroutine.
func inSimulatedTime(t *testing.T, property func()) {
	var panicked any
	synctest.Test(t, func(*testing.T) {
		defer func() { panicked = recover() }()
		property()
	})
	if panicked != nil {
		panic(panicked)
	}
}

func runHistory(t *rapid.T) {
	m := &historyModel{fixture: newFixture(t), t: t,
		finalStates: make(map[JobNumber]FinalState), journal: make(map[JobNumber]FinalState)}
	defer m.close()
	m.follower = m.startFollower()
	m.memoryBytes = rapid.SampledFrom([]int{1 << 20, 300}).Draw(t, "memory")
	m.failOver()
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			m.finishJobs()
		case 2, 3, 4:
			m.archiveJobs()
		case 5:
			m.failOver()
		case 6:
			m.injectFault()
		default:
			m.lookUp()
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	}
	time.Sleep(loadTime)
	m.failOver()
	for number, final := range m.finalStates {
		if _, inJournal := m.journal[number]; !inJournal {
			m.checkFound(m.leader, Entry{number, final})
		}
	}
}

// jobNumbers generates job numbers from small ranges, so that they repeat. Some are far apart.
func (m *historyModel) jobNumbers() *rapid.Generator[JobNumber] {
	return rapid.Custom(func(t *rapid.T) JobNumber {
		number, _ := ParseJobNumber(fmt.Sprintf("%06d", rapid.IntRange(0, 400).Draw(t, "id")))
		if rapid.Bool().Draw(t, "far") {
			number, _ = ParseJobNumber(fmt.Sprintf("9%017d", rapid.IntRange(0, 400).Draw(t, "id")*777_777_777))
		}
		return number
	})
}

func (m *historyModel) finishJobs() {
	for _, number := range rapid.SliceOfN(m.jobNumbers(), 1, 60).Draw(m.t, "finished") {
		if _, finished := m.finalStates[number]; !finished {
			m.finalStates[number] = FinalState{
				Cancelled: rapid.Bool().Draw(m.t, "cancelled"), Done: rapid.IntRange(0, 1000).Draw(m.t, "done")}
			m.journal[number] = m.finalStates[number]
		}
	}
}

// archiveJobs archives the jobs in the journal. Some archived jobs stay in the journal, as if the leader
// had failed before it removed them.
func (m *historyModel) archiveJobs() {
	var entries []Entry
	for number, final := range m.journal {
		entries = append(entries, Entry{number, final})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	archived, err := archiveOnce(m.leader, entries, shortTimeout)
	if err != nil {
		return
	}
	for _, number := range archived {
		if rapid.IntRange(0, 9).Draw(m.t, "removal lost") > 0 {
			delete(m.journal, number)
		}
	}
}

func (m *historyModel) failOver() {
	m.leader = m.start(rapid.Bool().Draw(m.t, "follows"))
	m.leadership = m.beginTerm(m.leader)
}

// injectFault drops the response to the next write, delays the next write, or repeats an earlier write.
func (m *historyModel) injectFault() {
	fault := rapid.IntRange(0, 2).Draw(m.t, "fault")
	late := time.Duration(rapid.IntRange(1, 20_000).Draw(m.t, "late")) * time.Millisecond
	m.store.Update(func(s *storagetest.Service) {
		switch fault {
		case 0:
			s.LoseResponses = 1
		case 1:
			s.Delay = delayOnce(late)
		default:
			if n := len(s.Sent); n > 0 {
				repeated := s.Sent[rapid.IntRange(0, n-1).Draw(m.t, "repeated")]
				time.AfterFunc(late, func() { _, _ = s.Apply(repeated.Guards, repeated.Ops) }) // may conflict
			}
		}
	})
}

// lookUp looks up a job at the leader and at a follower. Every answer must agree with the model.
func (m *historyModel) lookUp() {
	number := m.jobNumbers().Draw(m.t, "looked up")
	want, finished := m.finalStates[number]
	if r := m.follower.Index.Lookup(number); r.Status == Found && (!finished || r.FinalState != want) {
		m.t.Fatalf("a follower finds %s as %+v, want %+v (finished: %v)", number.ID(), r.FinalState, want, finished)
	}
	_, inJournal := m.journal[number]
	r, err := read(m.leader, number)
	switch {
	case err != nil:
	case r.Status == Found && (!finished || r.FinalState != want):
		m.t.Fatalf("the leader finds %s as %+v, want %+v (finished: %v)", number.ID(), r.FinalState, want, finished)
	case r.Status == Absent && r.Term == m.leadership.Term && finished && !inJournal:
		m.t.Fatalf("the leader doesn't find %s, want %+v", number.ID(), want)
	case r.Status == Damaged:
		m.t.Fatalf("key %s of %s is damaged", r.Key, number.ID())
	}
}
