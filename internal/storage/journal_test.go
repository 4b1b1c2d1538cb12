package storage_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
)

// If the response to an applied commit is lost, the journal must not write the chunk again.
func TestJournalDoesNotRepeatAppliedCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.open()
		const commits = 5
		for i := range commits {
			f.LoseResponses = i % 2
			j.write(map[string]any{"ja": i})
		}
		if got, want := len(f.Keys(chunkPrefix)), commits+1; got != want { // the first chunk is empty
			t.Errorf("got %d chunks of %d commits, want %d", got, commits, want)
		}
		if got := f.records()["ja"]; got != "4" {
			t.Errorf("the next leader reads %q, want 4", got)
		}
	})
}

// The store may receive a transaction again, even after the chunks of this transaction have been
// compacted away. The repeated transaction must have no effect.
func TestRepeatedTransactionHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.open()
		for i := range 200 {
			j.write(map[string]any{"ja": i, numberedKey("j", i%3): i})
			time.Sleep(200 * time.Millisecond)
		}
		want := f.records()
		chunks := len(f.Keys(chunkPrefix))
		for _, txn := range f.Sent {
			if _, err := f.Apply(txn.Guards, txn.Ops); err == nil && string(txn.Ops[0].Data) != "[]" {
				t.Fatalf("the transaction of %v was applied twice", txn.Ops[0].Key)
			}
		}
		if got := f.records(); len(got) != len(want) || got["ja"] != want["ja"] || got["ja"] != "199" {
			t.Errorf("the next leader reads %v, want %v", got, want)
		}
		if chunks > 60 {
			t.Errorf("got %d chunks of four records, want at most 60", chunks)
		}
	})
}

func TestJournalFailsAfterLeadershipLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.open()
		j.write(map[string]any{"ja": 1})
		f.put(leadershipKey, "2")
		if err := j.append(map[string]any{"ja": 2}); !errors.Is(err, storage.ErrLeadershipLost) {
			t.Errorf("append: got %v, want %v", err, storage.ErrLeadershipLost)
		}
		if got := f.records()["ja"]; got != "1" {
			t.Errorf("the next leader reads %q, want 1", got)
		}
	})
}

func TestJournalCommitsJobOfHundredThousandTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.open()
		const tasks = 100_000
		data := map[string]any{storage.JobKey("000001"): storage.JobRecord{Tasks: tasks, Spec: &storage.Spec{Tasks: tasks}}}
		for p := 0; p*storage.TasksPerPage < tasks; p++ {
			data[storage.TaskPageKey("000001", p)] = largestPage(p * storage.TasksPerPage)
		}
		j.write(data)
		if got := f.records(); len(got) != len(data) {
			t.Errorf("the next leader reads %d records, want %d", len(got), len(data))
		}
	})
}

// largestPage returns a page record of the maximum size: every second task is done, and the others
// have attempts.
func largestPage(firstTask int) storage.TaskPageRecord {
	var page storage.TaskPageRecord
	for i := range storage.TasksPerPage {
		task := firstTask + i
		if i%2 == 0 {
			page.Done = append(page.Done, task, task)
			continue
		}
		page.Attempts = append(page.Attempts, storage.AttemptRecord{Task: task, Number: 1<<40 + uint64(task), Machine: 999999, Incarnation: 99})
	}
	return page
}

func TestJournalRetriesCommitThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.open()
		f.SetOutage(true)
		time.AfterFunc(30*time.Second, func() { f.SetOutage(false) })
		j.write(map[string]any{"ja": 1})
	})
}
