package storage_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// fallingLimits are limits that fall at some moment, and with which figures.
func fallingLimits() *storage.LimitTracker { return fallingLimitsWith(0) }

// fallingLimitsWith are the same, with how long an answer is waited for; 0: for ever.
func fallingLimitsWith(patience time.Duration) *storage.LimitTracker {
	l := limits
	l.RequestTimeout = patience
	l.Next = &storage.Limits{ChangesPerS: 15, ValueBytes: 2048, TxnOps: 4}
	return storage.NewLimitTracker(l)
}

// big is a record's data of so many bytes, with its number in it: of every other
// number such as doesn't shrink.
func big(i, bytes int) string {
	if i%2 == 0 {
		return fmt.Sprintf("%d:%s", i, strings.Repeat(`"`, bytes/2)) // a quote takes two bytes
	}
	r := rand.New(rand.NewPCG(7, uint64(i)))
	raw := make([]byte, bytes*3/4)
	for k := range raw {
		raw[k] = byte(r.Uint32())
	}
	return fmt.Sprintf("%d:%s", i, base64.StdEncoding.EncodeToString(raw))
}

// Limits that fall without notice once ended every term: each new leader began
// with a value that the service called malformed. What is stored stays readable,
// is written smaller when it is written again, and the old chunks are compacted away.
func TestLimitsMayFallAtAnyMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		tracker := fallingLimits()
		_, write := openUnder(ctx, t, svc, tracker, guard)
		const records = 40
		for i := range records {
			if err := write(map[string]any{fmt.Sprintf("p%d", i): big(i, 100*(i%8)*(i%8))}); err != nil {
				t.Fatal(err)
			}
		}
		for _, tx := range svc.Sent {
			for _, op := range tx.Ops {
				if op.Data != nil && op.Data[0] != '[' {
					t.Errorf("compressed before the limits fell: %.60s", op.Data)
				}
				var pairs [][]json.RawMessage
				if op.Data != nil && json.Unmarshal(op.Data, &pairs) == nil {
					for _, p := range pairs {
						if len(p) > 2 {
							t.Errorf("in fragments before the limits fell: %.60s", op.Data)
						}
					}
				}
			}
		}
		svc.Trouble(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 2048, 4 })
		for round := range 30 {
			for i := range records {
				if round == 0 && i%2 == 1 {
					continue // stays as it was stored
				}
				if err := write(map[string]any{fmt.Sprintf("p%d", i): big(i, 100*(i%8)*(i%8)), "f": round}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if l := tracker.Limits(); l.ValueBytes != 2048 || l.TxnOps != 4 || l.ChangesPerS != 15 {
			t.Errorf("limits are %+v", l)
		}
		got := reread(ctx, t, svc, guard)
		for i := range records {
			if want, _ := json.Marshal(big(i, 100*(i%8)*(i%8))); got[fmt.Sprintf("p%d", i)] != string(want) {
				t.Errorf("record %d of %d bytes reads back as %d", i, len(want), len(got[fmt.Sprintf("p%d", i)]))
			}
		}
		chunks, _, _, err := svc.List(ctx, "log/", "", 1000)
		if err != nil {
			t.Fatal(err)
		}
		if len(chunks) > 500 {
			t.Errorf("%d chunks are left", len(chunks))
		}
		for _, c := range chunks {
			if len(c.Data) > 2048 {
				t.Errorf("a chunk of %d bytes is left", len(c.Data))
			}
		}
	})
}

// A leader that ends between the fragments of a record leaves the one before in force.
func TestAnUnfinishedRecordCountsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		svc, guard := lead(t)
		svc.ValueBytes, svc.TxnOps = 2048, 3
		tracker := fallingLimits()
		tracker.Learn(storage.ErrMalformed)
		_, write := openUnder(ctx, t, svc, tracker, guard)
		if err := write(map[string]any{"p1": big(1, 6000)}); err != nil {
			t.Fatal(err)
		}
		n := 0
		svc.Trouble(func(s *storagetest.Service) { s.Drop = func(storagetest.Txn) bool { n++; return n > 2 } })
		go func() { _ = write(map[string]any{"p1": big(5, 7000)}) }()
		synctest.Wait()
		for range 200 {
			clock.Sleep(ctx, 100_000_000)
		}
		cancel()
		svc.Trouble(func(s *storagetest.Service) { s.Drop = nil })
		if n < 3 {
			t.Fatalf("%d transactions", n)
		}
		ctx, cancel = context.WithCancel(context.Background())
		defer cancel()
		want, _ := json.Marshal(big(1, 6000))
		if got := reread(ctx, t, svc, guard); got["p1"] != string(want) {
			t.Errorf("reads back as %.20s", got["p1"])
		}
		_, write = openUnder(ctx, t, svc, tracker, guard)
		if err := write(map[string]any{"p1": big(3, 5000)}); err != nil {
			t.Fatal(err)
		}
		want, _ = json.Marshal(big(3, 5000))
		if got := reread(ctx, t, svc, guard); got["p1"] != string(want) {
			t.Errorf("reads back as %.20s", got["p1"])
		}
	})
}

func TestTheCeilingFallsOnTheFirstSign(t *testing.T) {
	c := fallingLimits()
	if c.Learn(storage.ErrRefused) || c.Learn(nil) || c.Learn(storage.ErrOutcomeUnknown) {
		t.Error("taken for a sign")
	}
	if !c.Learn(fmt.Errorf("status: %w", storage.ErrRateLimited)) {
		t.Error("too many requests are no sign")
	}
	if l := c.Limits(); l.ChangesPerS != 15 || l.ValueBytes != 8192 || l.RequestsPerS != 100 {
		t.Errorf("after too many: %+v", l)
	}
	if !c.Learn(storage.ErrMalformed) || c.Learn(storage.ErrMalformed) {
		t.Error("learnt not once")
	}
	if l := c.Limits(); l.ValueBytes != 2048 || l.TxnOps != 4 {
		t.Errorf("after a malformed one: %+v", l)
	}
	if storage.NewLimitTracker(limits).Learn(storage.ErrMalformed) {
		t.Error("learnt what isn't known")
	}
}

// Under the lower limits commits took seconds: the pages of a few arrays filled
// the budget. They are alike, and shrink.
func TestUnderLowerLimitsChunksShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		svc.ValueBytes, svc.TxnOps = 2048, 4
		tracker := fallingLimits()
		tracker.Learn(storage.ErrMalformed)
		_, write := openUnder(ctx, t, svc, tracker, guard)
		const rounds, pages = 20, 8
		plain := 0
		for round := range rounds {
			batch := make(map[string]any)
			for p := range pages {
				var rec storage.PageRecord
				for i := range storage.PageTasks / 2 {
					rec.Attempts = append(rec.Attempts, storage.AttemptRecord{Task: i, Number: uint64(5<<24 + 1000*round + 40*p + i), Machine: 100 + (i*7+p)%90, Incarnation: 1})
				}
				batch[storage.PageKey(fmt.Sprint(p), 0)] = rec
				raw, _ := json.Marshal(rec)
				plain += len(raw)
			}
			if err := write(batch); err != nil {
				t.Fatal(err)
			}
		}
		changes := 0
		for _, tx := range svc.Sent {
			changes += len(tx.Ops)
		}
		if least := plain / (2048 * 9 / 10); changes > least*6/10 {
			t.Errorf("%d changes for what took %d whole", changes, least)
		}
		if got := reread(ctx, t, svc, guard); len(got) != pages {
			t.Errorf("%d of %d pages read back", len(got), pages)
		}
	})
}

// Compaction counts on how far chunks shrink. Where what it moves shrinks less, it
// must leave all as it was: records were once noted as moved that weren't, and lost
// with their old chunk.
func TestCompactionLosesNothingThatShrinksLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := openUnder(ctx, t, svc, fallingLimits(), guard)
		want := make(map[string]string)
		put := func(batch map[string]any) {
			if err := write(batch); err != nil {
				t.Fatal(err)
			}
			for key, data := range batch {
				raw, _ := json.Marshal(data)
				want[key] = string(raw)
			}
		}
		for i := range 80 {
			put(map[string]any{fmt.Sprintf("j%d", i): big(2*i+1, 300+10*i)})
		}
		svc.Trouble(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 2048, 4 })
		for i := range 300 {
			batch := make(map[string]any)
			for k := range 6 {
				batch[fmt.Sprintf("p%d", k)] = strings.Repeat(fmt.Sprint(i), 600)
			}
			put(batch)
		}
		got := reread(ctx, t, svc, guard)
		for k, v := range want {
			if got[k] != v {
				t.Errorf("record %s of %d bytes reads back as %d", k, len(v), len(got[k]))
			}
		}
		if n := len(svc.Keys("log/")); n > 250 {
			t.Errorf("%d chunks are left", n)
		}
	})
}

// Fragments of two writings of a record are never joined.
func TestFragmentsOfTwoWritingsStayApart(t *testing.T) {
	ctx := context.Background()
	svc, guard := lead(t)
	for i, value := range []string{`[["p1","MQ==",0,2,7]]`, `[["p1","Mg==",1,2,8]]`, `[["p2","MQ==",0,2,9]]`, `[["p2","Mg==",1,2,9]]`} {
		if _, err := svc.Apply(nil, []storage.Op{{Key: fmt.Sprintf("log/%012d", i+1), Data: json.RawMessage(value)}}); err != nil {
			t.Fatal(err)
		}
	}
	if got := reread(ctx, t, svc, guard); len(got) != 1 || got["p2"] != "12" {
		t.Errorf("read back %v", got)
	}
}

// A transaction without an answer, whose repeat is called malformed, may stand: what is
// cut again must not be written over it. The successor reads what there is.
func TestLimitsThatFallBehindALostAnswerEndTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := openUnder(ctx, t, svc, fallingLimits(), guard)
		if err := write(map[string]any{"a": 1}); err != nil {
			t.Fatal(err)
		}
		svc.Trouble(func(s *storagetest.Service) {
			s.LoseAnswers = 1
			time.AfterFunc(10_000_000, func() { svc.Trouble(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 2048, 4 }) })
		})
		if err := write(map[string]any{"b": big(1, 3000), "c": big(2, 3000)}); err == nil || errors.Is(err, storage.ErrMalformed) {
			t.Errorf("committed with %v", err)
		}
		if got := reread(ctx, t, svc, guard); len(got) != 3 {
			t.Errorf("the successor reads %d of 3 records", len(got))
		}
	})
}

// If it doesn't stand, the term goes on with what is cut again, and the first may not
// be carried out after that.
func TestLimitsThatFallBehindALostTransactionAreTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc, guard := lead(t)
		_, write := openUnder(ctx, t, svc, fallingLimitsWith(time.Second), guard)
		if err := write(map[string]any{"a": 1}); err != nil {
			t.Fatal(err)
		}
		sent := len(svc.Sent)
		svc.Trouble(func(s *storagetest.Service) {
			s.Drop = func(storagetest.Txn) bool { return len(s.Sent) == sent+1 }
			time.AfterFunc(10*time.Millisecond, func() { svc.Trouble(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 2048, 4 }) })
		})
		if err := write(map[string]any{"b": big(1, 3000), "c": big(2, 3000)}); err != nil {
			t.Errorf("committed with %v", err)
		}
		svc.Trouble(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 8192, 32 }) // it came before they fell
		if _, err := svc.Txn(ctx, svc.Sent[sent].Guards, svc.Sent[sent].Ops); err == nil {
			t.Error("the first one is carried out late")
		}
		if got := reread(ctx, t, svc, guard); len(got) != 3 {
			t.Errorf("the successor reads %d of 3 records", len(got))
		}
	})
}
