package storage_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

var limits = storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32}

// lead makes a service with a leadership key and returns its guard.
func lead(t *testing.T) (*storagetest.Client, storage.Guard) {
	t.Helper()
	svc := &storagetest.Client{Service: storagetest.NewService()}
	rev, err := svc.Apply(nil, []storage.Op{{Key: "lead", Data: []byte(`1`)}})
	if err != nil {
		t.Fatal(err)
	}
	return svc, storage.Guard{Key: "lead", Version: rev}
}

// open starts a journal; the returned function appends and waits.
func open(ctx context.Context, t *testing.T, svc *storagetest.Client, guard storage.Guard) (*storage.Journal, func(map[string]any) error) {
	t.Helper()
	return openUnder(ctx, t, svc, storage.NewLimitTracker(limits), guard)
}

func openUnder(ctx context.Context, t *testing.T, svc *storagetest.Client, tracker *storage.LimitTracker, guard storage.Guard) (*storage.Journal, func(map[string]any) error) {
	t.Helper()
	j, err := storage.OpenJournal(ctx, svc, tracker, guard)
	if err != nil {
		t.Fatal(err)
	}
	j.SetEncoding(storage.AnyEncoding) // as where the gate is in use; encoding_test.go tries the others
	go func() { _ = j.Run(ctx) }()
	return j, func(data map[string]any) error {
		var b storage.Batch
		for k, v := range data {
			r, err := storage.NewRecord(k, v)
			if err != nil {
				t.Fatal(err)
			}
			b.Records = append(b.Records, r)
		}
		done := make(chan error, 1)
		b.Ack = func(err error) { done <- err }
		j.Append(ctx, b)
		return <-done
	}
}

// reread returns what a successor finds.
func reread(ctx context.Context, t *testing.T, svc *storagetest.Client, guard storage.Guard) map[string]string {
	t.Helper()
	j, err := storage.OpenJournal(ctx, svc, storage.NewLimitTracker(limits), guard)
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]string)
	for _, r := range j.Records() {
		out[r.Key] = string(r.Data)
	}
	return out
}

func TestALostAnswerIsSettledWithoutWritingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := open(ctx, t, svc, guard)
		for i := range 5 {
			svc.LoseAnswers = i % 2
			if err := write(map[string]any{"ja": i}); err != nil {
				t.Fatal(err)
			}
		}
		if n := len(svc.Keys("log/")); n != 6 {
			t.Errorf("%d chunks of 5 commits and the empty first one", n)
		}
		if got := reread(ctx, t, svc, guard)["ja"]; got != "4" {
			t.Errorf("a successor reads %q", got)
		}
	})
}

// Transactions may be applied late or again, after their chunk was compacted away.
func TestARepeatedTransactionIsWithoutEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := open(ctx, t, svc, guard)
		for i := range 200 {
			if err := write(map[string]any{"ja": i, fmt.Sprint("j", i%3): i}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		want := reread(ctx, t, svc, guard)
		keys := len(svc.Keys("log/"))
		for _, txn := range svc.Sent {
			if _, err := svc.Apply(txn.Guards, txn.Ops); err == nil && string(txn.Ops[0].Data) != "[]" {
				t.Fatalf("a repeat of %v was applied", txn.Ops[0].Key)
			}
		}
		if got := reread(ctx, t, svc, guard); len(got) != len(want) || got["ja"] != want["ja"] || got["ja"] != "199" {
			t.Errorf("a successor reads %v, not %v", got, want)
		}
		if keys > 60 {
			t.Errorf("%d chunks for four records", keys)
		}
	})
}

func TestADeposedLeaderCantWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := open(ctx, t, svc, guard)
		if err := write(map[string]any{"ja": 1}); err != nil {
			t.Fatal(err)
		}
		if _, err := svc.Apply(nil, []storage.Op{{Key: "lead", Data: []byte(`2`)}}); err != nil {
			t.Fatal(err)
		}
		if err := write(map[string]any{"ja": 2}); !errors.Is(err, storage.ErrLeadershipLost) {
			t.Errorf("got %v", err)
		}
		if got := reread(ctx, t, svc, guard)["ja"]; got != "1" {
			t.Errorf("a successor reads %q", got)
		}
	})
}

func TestAHundredThousandTasksFitTheRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := open(ctx, t, svc, guard)
		const tasks = 100_000
		data := map[string]any{storage.JobKey("000001"): storage.JobRecord{Tasks: tasks, Spec: &storage.Spec{Tasks: tasks}}}
		for p := 0; p*storage.PageTasks < tasks; p++ {
			page := storage.PageRecord{}
			for i := range storage.PageTasks {
				// Every second task done and the others booked is the worst case.
				n := p*storage.PageTasks + i
				if i%2 == 0 {
					page.Done = append(page.Done, n, n)
					continue
				}
				page.Attempts = append(page.Attempts, storage.AttemptRecord{Task: n, Number: 1<<40 + uint64(n), Machine: 999999, Incarnation: 99})
			}
			data[storage.PageKey("000001", p)] = page
		}
		if err := write(data); err != nil {
			t.Fatal(err)
		}
		if got := reread(ctx, t, svc, guard); len(got) != len(data) {
			t.Errorf("%d of %d records are read", len(got), len(data))
		}
	})
}

func TestAnOutageOnlyDelaysACommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := open(ctx, t, svc, guard)
		svc.Outage(true)
		time.AfterFunc(30*time.Second, func() { svc.Outage(false) })
		if err := write(map[string]any{"ja": 1}); err != nil {
			t.Fatal(err)
		}
	})
}

// Commits that come as fast as the budget lets them leave no change to clean
// with; the journal grew to two thousand chunks, and a take-over read them all.
func TestAJournalUnderLoadStaysShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := open(ctx, t, svc, guard)
		for i := range 1500 {
			if err := write(map[string]any{fmt.Sprintf("j%d", i%300): i}); err != nil {
				t.Fatal(err)
			}
		}
		chunks, _, _, err := svc.List(ctx, "log/", "", 1000)
		if err != nil {
			t.Fatal(err)
		}
		if len(chunks) > 150 {
			t.Errorf("%d chunks for 300 records", len(chunks))
		}
		if got := reread(ctx, t, svc, guard); len(got) != 300 || got["j299"] != "1499" {
			t.Errorf("%d records, the last is %s", len(got), got["j299"])
		}
	})
}
