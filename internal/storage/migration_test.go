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

// While only plain chunks are allowed, the journal writes nothing that the first versions can't
// read. The commit of a record that is too large for a plain chunk waits until other encodings are
// allowed.
func TestPlainOnlyJournalWaitsForEncoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openUnderLoweredLimits(t.Context())
		j.SetEncoding(storage.PlainOnly)
		needed := make(chan struct{}, 1000)
		j.OnEncodingNeeded(func() { needed <- struct{}{} })
		for i := range 20 {
			j.write(map[string]any{numberedKey("p", i): text(i, 900)})
		}
		written := make(chan error, 1)
		go func() { written <- j.append(map[string]any{"plarge": text(1, 4000)}) }()
		time.Sleep(10 * time.Second)
		if keys := f.encodedChunkKeys(); len(keys) > 0 {
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

// The migration to plain chunks may stop after any step. The transaction of the last step, or the
// response to it, may be lost. The next leader must resume the migration, and no record may be lost.
func TestNextLeaderResumesMigration(t *testing.T) {
	// The faults of the last step: none, a lost transaction, a lost response.
	failures := []func(s *storagetest.Service){
		func(*storagetest.Service) {},
		func(s *storagetest.Service) { s.DropTxn = func(storagetest.Txn) bool { return true } },
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

// resumeMigration stops a migration after the given number of steps and one step with a fault, and
// resumes it under the next leader.
func resumeMigration(t *testing.T, steps int, fail func(s *storagetest.Service)) {
	t.Helper()
	const records = 30
	f := newFixture(t)
	stopMigration(t, f, records, steps, fail)
	f.Update(func(s *storagetest.Service) { s.DropTxn, s.LoseResponses = nil, 0 })

	next := f.openUnderLoweredLimits(t.Context())
	next.SetEncoding(storage.PlainWherePossible)
	left := next.migrateToPlain()
	if keys := f.encodedChunkKeys(); left != 0 || len(keys) > 0 {
		t.Errorf("%d encoded chunks are left, %v", left, keys)
	}
	got := f.records()
	for i := range records {
		if n := len(got[numberedKey("p", i)]); n < minRecordBytes(i) {
			t.Errorf("record %d is read as %d bytes, want %d", i, n, minRecordBytes(i))
		}
	}
}

// stopMigration writes records in encoded chunks, and ends the term after the given number of
// migration steps and one step with a fault.
func stopMigration(t *testing.T, f *fixture, records, steps int, fail func(s *storagetest.Service)) {
	t.Helper()
	term, endTerm := context.WithCancel(t.Context())
	defer endTerm()
	j := f.openUnderLoweredLimits(term)
	j.writeGrowingRecords(records)
	if len(f.encodedChunkKeys()) == 0 {
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

// A migration can't be completed while some record is too large for a plain chunk. During this time
// the journal must not rewrite chunks to no effect, and must still accept writes of the large record.
func TestMigrationWaitsForRecordTooLargeForPlainChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openUnderLoweredLimits(t.Context())
		j.writeGrowingRecords(10)
		j.write(map[string]any{"plarge": text(1, 4000)})
		j.SetEncoding(storage.PlainWherePossible)
		before := len(f.Sent)
		if left := j.migrateToPlain(); left == 0 {
			t.Error("no encoded chunk is left although a record needs fragments")
		}
		if sent := len(f.Sent) - before; sent > 0 {
			t.Errorf("%d transactions were sent without effect", sent)
		}
		j.write(map[string]any{"plarge": text(2, 5000)})
		j.write(map[string]any{"plarge": nil})
		if left := j.migrateToPlain(); left != 0 {
			t.Errorf("%d encoded chunks are left, want none", left)
		}
	})
}
