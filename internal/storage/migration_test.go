package storage_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// Until another encoding is allowed nothing is written that the first versions can't read: a
// record that is too large waits.
func TestPlainOnlyJournalWaitsForEncoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openLowered(t.Context())
		j.SetEncoding(storage.PlainOnly)
		needed := make(chan struct{}, 1000)
		j.OnEncodingNeeded(func() { needed <- struct{}{} })
		for i := range 20 {
			j.write(map[string]any{numbered("p", i): text(i, 900)})
		}
		written := make(chan error, 1)
		go func() { written <- j.append(map[string]any{"plarge": text(1, 4000)}) }()
		time.Sleep(10 * time.Second)
		if keys := f.encodedKeys(); len(keys) > 0 {
			t.Errorf("encoded chunks were written: %v", keys)
		}
		if len(needed) == 0 {
			t.Error("the journal didn't call OnEncodingNeeded's function")
		}
		select {
		case err := <-written:
			t.Errorf("a record that needs another encoding was written: %v", err)
		default:
		}
		j.SetEncoding(storage.AnyEncoding)
		if err := <-written; err != nil {
			t.Fatalf("append: %v", err)
		}
		if got := f.records(); len(got["plarge"]) < 4000 || len(got) != 21 {
			t.Errorf("got %d records, the large one of %d bytes; want 21 and 4000", len(got), len(got["plarge"]))
		}
	})
}

// The migration to plain chunks may stop after any step, with the last one's answer lost and
// the step applied or not. The next leader continues, and no record is lost.
func TestNextLeaderResumesMigration(t *testing.T) {
	// How the last step fails.
	failures := []func(s *storagetest.Service){
		func(*storagetest.Service) {},
		func(s *storagetest.Service) { s.Drop = func(storagetest.Txn) bool { return true } },
		func(s *storagetest.Service) { s.LoseResponses = 1 },
	}
	for steps := range 12 {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				resumeMigration(t, steps, failures[steps%len(failures)])
			})
		})
	}
}

// resumeMigration stops a migration after some steps and one that fails, and resumes it.
func resumeMigration(t *testing.T, steps int, fail func(s *storagetest.Service)) {
	t.Helper()
	const records = 30
	f := newFixture(t)
	stopMigration(t, f, records, steps, fail)
	f.Update(func(s *storagetest.Service) { s.Drop, s.LoseResponses = nil, 0 })

	next := f.openLowered(t.Context())
	next.SetEncoding(storage.PlainWherePossible)
	left := next.migrate()
	if keys := f.encodedKeys(); left != 0 || len(keys) > 0 {
		t.Errorf("%d encoded chunks are left, %v", left, keys)
	}
	got := f.records()
	for i := range records {
		if n := len(got[numbered("p", i)]); n < manyBytes(i) {
			t.Errorf("record %d is read as %d bytes, want %d", i, n, manyBytes(i))
		}
	}
}

// stopMigration writes records in encoded chunks, and ends the term after some steps of a
// migration and one that fails.
func stopMigration(t *testing.T, f *fixture, records, steps int, fail func(s *storagetest.Service)) {
	t.Helper()
	term, endTerm := context.WithCancel(t.Context())
	defer endTerm()
	j := f.openLowered(term)
	j.writeMany(records)
	if len(f.encodedKeys()) == 0 {
		t.Fatal("no chunk is encoded")
	}
	j.SetEncoding(storage.PlainWherePossible)
	for range steps {
		if _, err := j.MigrateStep(term); err != nil {
			t.Fatalf("migration step: %v", err)
		}
	}
	f.Update(fail)
	lastStep, endLastStep := context.WithTimeout(term, 50*time.Millisecond)
	defer endLastStep()
	_, _ = j.MigrateStep(lastStep) // may fail
	endTerm()
	time.Sleep(time.Second)
}

// A record that fits into no plain chunk keeps the migration from ending. Nothing may be
// rewritten in vain meanwhile, and the record must stay writable.
func TestMigrationWaitsForRecordTooLargeForPlainChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openLowered(t.Context())
		j.writeMany(10)
		j.write(map[string]any{"plarge": text(1, 4000)})
		j.SetEncoding(storage.PlainWherePossible)
		before := len(f.Sent)
		if left := j.migrate(); left == 0 {
			t.Error("no encoded chunk is left, though a record needs fragments")
		}
		if sent := len(f.Sent) - before; sent > 0 {
			t.Errorf("%d transactions were sent in vain", sent)
		}
		j.write(map[string]any{"plarge": text(2, 5000)})
		j.write(map[string]any{"plarge": nil})
		if left := j.migrate(); left != 0 {
			t.Errorf("%d encoded chunks are left, want none", left)
		}
	})
}
