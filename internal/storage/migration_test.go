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

// lowered are limits that the state service may fall to.
var lowered = storage.Limits{ChangesPerS: 30, ValueBytes: 2048, TxnOps: 4}

// encodedKeys lists the chunks that the first versions can't read.
func encodedKeys(t *testing.T, svc *storagetest.Client) (encoded []string) {
	t.Helper()
	chunks, _, _, err := svc.List(context.Background(), "log/", "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range chunks {
		if storage.IsEncoded(c.Data) {
			encoded = append(encoded, c.Key)
		}
	}
	return encoded
}

// openLowered opens a journal on a service whose limits have fallen, and knows of it.
func openLowered(ctx context.Context, t *testing.T, svc *storagetest.Client, guard storage.Guard) (*storage.Journal, func(map[string]any) error) {
	t.Helper()
	l := limits
	l.Next = &lowered
	svc.Trouble(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = lowered.ValueBytes, lowered.TxnOps })
	tracker := storage.NewLimitTracker(l)
	tracker.Learn(storage.ErrMalformed)
	return openUnder(ctx, t, svc, tracker, guard)
}

// While the gate is closed nothing is written that the first versions can't read: a record
// that is too large waits, and is written once the gate is in use.
func TestPlainOnlyUntilTheGateIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		j, write := openLowered(ctx, t, svc, guard)
		j.SetEncoding(storage.PlainOnly)
		needed := make(chan struct{}, 1000)
		j.OnEncodingNeeded(func() { needed <- struct{}{} })
		for i := range 20 {
			if err := write(map[string]any{fmt.Sprintf("p%d", i): big(i, 900)}); err != nil {
				t.Fatal(err)
			}
		}
		written := make(chan error, 1)
		go func() { written <- write(map[string]any{"plarge": big(1, 4000)}) }()
		time.Sleep(10 * time.Second)
		if keys := encodedKeys(t, svc); len(keys) > 0 {
			t.Errorf("written while the gate is closed: %v", keys)
		}
		if len(needed) == 0 {
			t.Error("the gate was not asked for")
		}
		select {
		case err := <-written:
			t.Errorf("a record that needs the gate was written without it: %v", err)
		default:
		}
		j.SetEncoding(storage.AnyEncoding)
		if err := <-written; err != nil {
			t.Fatal(err)
		}
		if got := reread(ctx, t, svc, guard); len(got["plarge"]) < 4000 || len(got) != 21 {
			t.Errorf("%d records, the large one of %d bytes", len(got), len(got["plarge"]))
		}
	})
}

// fillEncoded writes records that stay in encoded chunks.
func fillEncoded(t *testing.T, write func(map[string]any) error, records int) {
	t.Helper()
	for i := range records {
		if err := write(map[string]any{fmt.Sprintf("p%d", i): big(i, 300+40*i)}); err != nil {
			t.Fatal(err)
		}
	}
}

// The migration to plain chunks may stop at any chunk, with its answer lost, carried out or
// not: the next leader goes on, and no record is lost or half read on the way.
func TestMigrationStopsAtEachChunk(t *testing.T) {
	const records = 30
	for stopAt := range 12 {
		t.Run(fmt.Sprint(stopAt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc, guard := lead(t)
				first, end := context.WithCancel(context.Background())
				j, write := openLowered(first, t, svc, guard)
				fillEncoded(t, write, records)
				if len(encodedKeys(t, svc)) == 0 {
					t.Fatal("nothing is encoded")
				}
				j.SetEncoding(storage.PlainWherePossible)
				for range stopAt {
					if _, err := j.MigrateStep(first); err != nil {
						t.Fatal(err)
					}
				}
				switch stopAt % 3 { // the last step is lost before or behind the state service
				case 1:
					svc.Trouble(func(s *storagetest.Service) { s.Drop = func(storagetest.Txn) bool { return true } })
				case 2:
					svc.Trouble(func(s *storagetest.Service) { s.LoseAnswers = 1 })
				}
				sctx, stop := context.WithTimeout(first, 50*time.Millisecond)
				_, _ = j.MigrateStep(sctx)
				stop()
				end()
				time.Sleep(time.Second)
				svc.Trouble(func(s *storagetest.Service) { s.Drop, s.LoseAnswers = nil, 0 })

				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				next, _ := openLowered(ctx, t, svc, guard)
				next.SetEncoding(storage.PlainWherePossible)
				left := migrateAll(ctx, t, next)
				if keys := encodedKeys(t, svc); left != 0 || len(keys) > 0 {
					t.Errorf("%d encoded chunks are left, %v", left, keys)
				}
				got := reread(ctx, t, svc, guard)
				for i := range records {
					if len(got[fmt.Sprintf("p%d", i)]) < 300+40*i {
						t.Errorf("record %d reads back as %d bytes", i, len(got[fmt.Sprintf("p%d", i)]))
					}
				}
			})
		})
	}
}

// migrationSteps is more than thirty encoded chunks take.
const migrationSteps = 25

// migrateAll takes steps until nothing is encoded, or nothing moves any longer.
func migrateAll(ctx context.Context, t *testing.T, j *storage.Journal) (left int) {
	t.Helper()
	for range migrationSteps {
		var err error
		if left, err = j.MigrateStep(ctx); err != nil {
			t.Fatal(err)
		}
		if left == 0 {
			return 0
		}
		time.Sleep(100 * time.Millisecond)
	}
	return left
}

// A record that fits no plain chunk under the lowered limits keeps the migration from
// ending; it must not be rewritten again and again for that, and it must stay writable.
func TestMigrationWaitsForWhatFitsNoPlainChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		j, write := openLowered(ctx, t, svc, guard)
		fillEncoded(t, write, 10)
		if err := write(map[string]any{"plarge": big(1, 4000)}); err != nil {
			t.Fatal(err)
		}
		j.SetEncoding(storage.PlainWherePossible)
		before := len(svc.Sent)
		if left := migrateAll(ctx, t, j); left == 0 {
			t.Error("nothing is left, though a record needs fragments")
		}
		if sent := len(svc.Sent) - before; sent > 0 {
			t.Errorf("%d transactions for nothing", sent)
		}
		if err := write(map[string]any{"plarge": big(2, 5000)}); err != nil {
			t.Fatal(err)
		}
		if err := write(map[string]any{"plarge": nil}); err != nil {
			t.Fatal(err)
		}
		if left := migrateAll(ctx, t, j); left != 0 {
			t.Errorf("%d encoded chunks are left", left)
		}
	})
}

// What was written whole under higher limits isn't cut in fragments by compaction while the
// gate is closed: its chunk stays.
func TestCompactionWritesNoFragmentsWhileTheGateIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, first := openUnder(ctx, t, svc, storage.NewLimitTracker(limits), guard)
		if err := first(map[string]any{"plarge": big(1, 2200)}); err != nil {
			t.Fatal(err)
		}
		j, write := openLowered(ctx, t, svc, guard)
		j.SetEncoding(storage.PlainOnly)
		for i := range 300 {
			if err := write(map[string]any{"f": i}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if keys := encodedKeys(t, svc); len(keys) > 0 {
			t.Errorf("written while the gate is closed: %v", keys)
		}
		if got := reread(ctx, t, svc, guard); len(got["plarge"]) < 2200 {
			t.Errorf("the large record reads back as %d bytes", len(got["plarge"]))
		}
	})
}
