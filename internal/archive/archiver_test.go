package archive

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// leaderKey is the leadership key of these tests.
const leadKey = "lead"

// fixture is a state service with controllers' keepers, in simulated time.
type fixture struct {
	tb      failer
	store   *storagetest.Service
	limits  *storage.LimitTracker
	cut     atomic.Bool
	term    uint64
	memory  int
	stopped []context.CancelFunc
}

// failer is what fails a test or one of its random histories.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

var testLimits = storage.Limits{RequestsPerS: 400, ChangesPerS: 400, ValueBytes: 1024, TxnOps: 12}

func newFixture(tb failer) *fixture {
	f := &fixture{tb: tb, store: storagetest.NewService(), limits: storage.NewLimitTracker(testLimits), memory: 1 << 20}
	f.store.ValueBytes, f.store.TxnOps = testLimits.ValueBytes, testLimits.TxnOps
	return f
}

// keeper starts a controller's keeper.
func (f *fixture) keeper(follow bool) *Archiver {
	k := NewArchiver(&storagetest.Client{Service: f.store, Cut: &f.cut}, f.limits,
		Settings{Refresh: 10 * time.Second, CallTime: time.Second, MemoryBytes: f.memory, Follow: follow}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	f.stopped = append(f.stopped, cancel)
	go k.Run(ctx)
	return k
}

// lead makes a keeper the leader's: no other's writes are carried out from now on.
func (f *fixture) lead(k *Archiver) Leadership {
	f.term++
	revision, err := f.store.Apply(nil, []storage.Op{{Key: leadKey, Data: []byte(fmt.Sprint(f.term))}})
	if err != nil {
		f.tb.Fatalf("%v", err)
	}
	lead := Leadership{f.term, storage.Guard{Key: leadKey, Version: revision}}
	k.BeginTerm(context.Background(), lead)
	return lead
}

func (f *fixture) end() {
	for _, cancel := range f.stopped {
		cancel()
	}
	f.store.Close()
	time.Sleep(time.Hour)
}

// offer offers jobs until all are archived.
func (f *fixture) offer(k *Archiver, entries []Entry) {
	f.tb.Helper()
	entries = slices.Clone(entries)
	for range 2000 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		ranks, _ := k.Archive(ctx, entries)
		cancel()
		entries = slices.DeleteFunc(entries, func(e Entry) bool { return slices.Contains(ranks, e.Number) })
		if len(entries) == 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.tb.Fatalf("%d jobs aren't archived", len(entries))
}

// archived starts a leader's keeper and archives so many jobs.
func (f *fixture) archived(n int) (*Archiver, []Entry) {
	f.tb.Helper()
	k, all := f.keeper(false), jobs(n)
	f.lead(k)
	f.offer(k, all)
	return k, all
}

func (f *fixture) read(k *Archiver, rank JobNumber) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return k.Read(ctx, rank)
}

// wants reads a job's page, until it can be read, and compares.
func (f *fixture) wants(k *Archiver, rank JobNumber, want Knowledge, final FinalState) {
	f.tb.Helper()
	var r Result
	var err error
	for range 100 {
		if r, err = f.read(k, rank); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil || r.Knowledge != want || want == Found && r.Final != final {
		f.tb.Errorf("%s: %+v, %v; want %v %+v", rank.ID(), r, err, want, final)
	}
}

// jobs makes so many finished jobs whose ids lie far apart.
func jobs(n int) []Entry {
	var entries []Entry
	for i := range n {
		rank, _ := ParseJobNumber(fmt.Sprintf("%018d", i*999_999_999_937))
		entries = append(entries, Entry{rank, FinalState{i%3 == 0, i % 200}})
	}
	return entries
}

func inFixture(t *testing.T, story func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.end()
		story(f)
	})
}

func TestArchivedJobsAreFoundByAll(t *testing.T) {
	inFixture(t, func(f *fixture) {
		leader, follower := f.keeper(false), f.keeper(true)
		f.lead(leader)
		all := jobs(600)
		f.offer(leader, all)
		if pages := f.store.Keys(prefix); len(pages) < 5 {
			t.Errorf("%d pages", len(pages))
		}
		time.Sleep(30 * time.Second)
		later := f.keeper(false)
		f.lead(later)
		for _, e := range all {
			for name, k := range map[string]*Archiver{"leader": leader, "follower": follower} {
				if r := k.Index.Lookup(e.Number); r.Knowledge != Found || r.Final != e.FinalState {
					t.Fatalf("%s at the %s: %+v", e.Number.ID(), name, r)
				}
			}
			f.wants(later, e.Number, Found, e.FinalState)
		}
		for _, id := range edgeIDs[2:] {
			rank, _ := ParseJobNumber(id)
			if _, there := slices.BinarySearchFunc(all, rank, func(e Entry, r JobNumber) int { return cmp.Compare(e.Number, r) }); !there {
				f.wants(later, rank, Absent, FinalState{})
			}
		}
	})
}

// Only pages that were read after the take-over prove that a job isn't archived: an index that is older than
// the pages doesn't.
func TestAnOldIndexProvesNothing(t *testing.T) {
	inFixture(t, func(f *fixture) {
		first, second := f.keeper(false), f.keeper(true)
		f.lead(first)
		f.offer(first, jobs(100)[:50])
		time.Sleep(time.Minute)
		late := jobs(100)[70]
		if r := second.Index.Lookup(late.Number); r.Knowledge != Absent || r.Term != 0 {
			t.Errorf("a follower knows %+v", r)
		}
		f.offer(first, []Entry{late})
		f.cut.Store(true)
		lead := f.lead(second)
		if r := second.Index.Lookup(late.Number); r.Knowledge == Absent && r.Term == lead.Term {
			t.Error("its old index proves that the job isn't archived")
		}
		if r, err := f.read(second, late.Number); err == nil && r.Knowledge == Absent && r.Term == lead.Term {
			t.Errorf("cut off, it reads %+v", r)
		}
		f.cut.Store(false)
		f.wants(second, late.Number, Found, late.FinalState)
		f.wants(second, late.Number-1, Absent, FinalState{})
	})
}

// Two leaders in turn archive the same jobs, and the first one's writes come late, twice, or unanswered.
func TestTwoLeadersArchiveTheSameJobs(t *testing.T) {
	for name, trouble := range map[string]func(s *storagetest.Service){
		"answers lost": func(s *storagetest.Service) { s.LoseAnswers = 3 },
		"late":         func(s *storagetest.Service) { s.Delay = onceLate(2 * time.Second) },
		"very late":    func(s *storagetest.Service) { s.Delay = onceLate(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			inFixture(t, func(f *fixture) {
				all := jobs(300)
				first := f.keeper(false)
				f.lead(first)
				f.offer(first, all[:100])
				f.store.Trouble(trouble)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				_, _ = first.Archive(ctx, all[100:200])
				cancel()
				second := f.keeper(false)
				f.lead(second)
				f.offer(second, all[50:])
				if _, err := first.Archive(context.Background(), all[200:]); err == nil {
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					if ranks, _ := first.Archive(ctx, all[200:]); len(ranks) > 0 {
						t.Error("a deposed leader archives")
					}
					cancel()
				}
				time.Sleep(2 * time.Minute)
				third := f.keeper(false)
				f.lead(third)
				for _, e := range all {
					f.wants(third, e.Number, Found, e.FinalState)
				}
				time.Sleep(time.Minute) // until all pages are read
				if n, err := third.Count(context.Background()); err != nil || n != len(all) {
					t.Errorf("%d jobs archived, of %d: %v", n, len(all), err)
				}
			})
		})
	}
}

// onceLate has the next transaction be carried out so much later, without an answer.
func onceLate(by time.Duration) func() time.Duration {
	done := false
	return func() time.Duration {
		if done {
			return 0
		}
		done = true
		return by
	}
}

// A late copy of a write after a newer one of the same page is without effect.
func TestALateCopyUndoesNoWrite(t *testing.T) {
	inFixture(t, func(f *fixture) {
		k := f.keeper(false)
		f.lead(k)
		all := jobs(400)
		for i := 0; i < len(all); i += 40 {
			f.offer(k, all[i:i+40])
		}
		f.store.Trouble(func(s *storagetest.Service) {
			if len(s.Sent) < 8 {
				t.Fatalf("%d writes", len(s.Sent))
			}
		})
		before := k.Index.Stats()
		for _, txn := range f.store.Sent {
			var conflict *storage.ConflictError
			if _, err := f.store.Apply(txn.Guards, txn.Ops); !errors.As(err, &conflict) {
				t.Errorf("a late copy is carried out: %v", err)
			}
		}
		later := f.keeper(false)
		f.lead(later)
		for _, e := range all {
			f.wants(later, e.Number, Found, e.FinalState)
		}
		if after := later.Index.Stats(); after.Jobs != before.Jobs {
			t.Errorf("%+v, then %+v", before, after)
		}
	})
}

// What is archived once stays as it is: the record that was there first wins.
func TestTheFirstFinalStateStays(t *testing.T) {
	inFixture(t, func(f *fixture) {
		k := f.keeper(false)
		f.lead(k)
		e := jobs(5)[4]
		f.offer(k, []Entry{e})
		f.offer(k, []Entry{{e.Number, FinalState{!e.Cancelled, 7}}})
		f.wants(k, e.Number, Found, e.FinalState)
	})
}

// A damaged page is told as such for its range alone, and nothing is put into it.
func TestADamagedPageHarmsNoOther(t *testing.T) {
	inFixture(t, func(f *fixture) {
		_, all := f.archived(600)
		pages := f.store.Keys(prefix)
		broken := pages[len(pages)/2]
		if _, err := f.store.Apply(nil, []storage.Op{{Key: broken, Data: []byte(`"AAAA"`)}, {Key: prefix + "stray", Data: []byte(`{}`)}}); err != nil {
			t.Fatal(err)
		}
		upper, _ := upperOf(broken)
		lower, _ := upperOf(pages[len(pages)/2-1])
		for _, name := range []string{"read singly", "loaded"} {
			later := f.keeper(false)
			f.lead(later)
			if name == "loaded" {
				time.Sleep(time.Minute)
			}
			harmed := 0
			for _, e := range all {
				if e.Number <= lower || e.Number > upper {
					f.wants(later, e.Number, Found, e.FinalState)
					continue
				}
				harmed++
				if r, err := f.read(later, e.Number); err != nil || r.Knowledge != Damaged || r.Key != broken {
					t.Errorf("%s: %s is %+v, %v", name, e.Number.ID(), r, err)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if harmed == 0 {
				t.Error("no job is in the damaged page")
			}
			time.Sleep(time.Minute)
			if ranks, err := later.Archive(context.Background(), []Entry{{upper, FinalState{Done: 1}}}); len(ranks) > 0 {
				t.Errorf("a job goes into the damaged page: %v", err)
			}
			if _, err := later.FirstPage(context.Background()); err != nil {
				t.Error(err)
			}
		}
		stored, err := ReadStored(context.Background(), &storagetest.Client{Service: f.store})
		if err != nil || len(stored.Damaged) < 2 || !strings.Contains(strings.Join(stored.Damaged, "\n"), broken) {
			t.Errorf("%+v %v", stored, err)
		}
	})
}

// A page that is missing is not a range without jobs.
func TestAMissingPageIsNoProof(t *testing.T) {
	inFixture(t, func(f *fixture) {
		_, all := f.archived(600)
		pages := f.store.Keys(prefix)
		for _, missing := range []string{pages[2], pages[len(pages)-1]} {
			if _, err := f.store.Apply(nil, []storage.Op{{Key: missing, Delete: true}}); err != nil {
				t.Fatal(err)
			}
		}
		later := f.keeper(false)
		f.lead(later)
		for _, wait := range []time.Duration{0, time.Minute} {
			time.Sleep(wait)
			found := 0
			for _, e := range all {
				r, err := f.read(later, e.Number)
				if err == nil && r.Knowledge == Absent {
					t.Fatalf("%s is called absent", e.Number.ID())
				}
				if r.Knowledge == Found {
					found++
				}
				time.Sleep(60 * time.Millisecond)
			}
			if found < len(all)/2 {
				t.Errorf("only %d of %d are found", found, len(all))
			}
		}
	})
}

// Questions beyond the archive's share are refused at once, and take nothing from others.
func TestABurstOfQuestionsIsBounded(t *testing.T) {
	inFixture(t, func(f *fixture) {
		k := f.keeper(false)
		f.memory = 1 // so that no page is held
		small := f.keeper(false)
		f.lead(k)
		f.offer(k, jobs(600))
		f.lead(small)
		time.Sleep(time.Minute)
		began := time.Now()
		busy, answered := 0, 0
		replies := make(chan error, 1000)
		for i := range 1000 {
			go func() {
				_, err := f.read(small, JobNumber(i*1_000_003+1))
				replies <- err
			}()
		}
		for range 1000 {
			if err := <-replies; errors.Is(err, ErrBusy) {
				busy++
			} else if err == nil {
				answered++
			}
		}
		took := time.Since(began)
		if most := int(testLimits.RequestsPerS*readShare*took.Seconds()) + int(testLimits.RequestsPerS*readShare) + 1; answered > most || busy < 800 || took > time.Second {
			t.Errorf("%d answered of at most %d, %d refused, after %v", answered, most, busy, took)
		}
	})
}

// Pages may be stored larger than they now may be: they are split where that can be done, and read in any case.
func TestLimitsFallBelowThePages(t *testing.T) {
	for _, c := range []struct {
		value, ops int
		moves      bool
	}{{512, 12, true}, {256, 3, false}} {
		t.Run(fmt.Sprint(c.value), func(t *testing.T) {
			inFixture(t, func(f *fixture) {
				limits := testLimits
				limits.Next = &storage.Limits{ValueBytes: c.value, TxnOps: c.ops}
				f.limits = storage.NewLimitTracker(limits)
				all := jobs(300)
				k := f.keeper(false)
				f.lead(k)
				var early, late []Entry
				for i, e := range all {
					if i%10 == 0 {
						late = append(late, e)
					} else {
						early = append(early, e)
					}
				}
				f.offer(k, early)
				f.store.Trouble(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = c.value, c.ops })
				if c.moves {
					f.offer(k, late)
				} else {
					for range 50 {
						_, _ = k.Archive(context.Background(), late)
						time.Sleep(200 * time.Millisecond)
					}
				}
				later := f.keeper(false)
				f.lead(later)
				for _, e := range early {
					f.wants(later, e.Number, Found, e.FinalState)
				}
				for _, e := range late {
					if r, err := f.read(later, e.Number); c.moves && (err != nil || r.Knowledge != Found) {
						t.Errorf("%s: %+v %v", e.Number.ID(), r, err)
					}
				}
			})
		})
	}
}

// The archive is brought back page by page, by leaders in turn, and nothing is stored of it at the end.
func TestWithdrawal(t *testing.T) {
	inFixture(t, func(f *fixture) {
		all := jobs(500)
		k := f.keeper(false)
		f.lead(k)
		f.offer(k, all)
		back := make(map[JobNumber]FinalState)
		for steps := 0; ; steps++ {
			if steps%3 == 2 {
				k = f.keeper(false) // another leader goes on
				f.lead(k)
				time.Sleep(5 * time.Second)
			}
			page, err := k.FirstPage(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if page.Upper == 0 {
				break
			}
			for _, e := range page.Entries {
				back[e.Number] = e.FinalState
			}
			for _, e := range all { // each is somewhere at every moment
				if _, there := back[e.Number]; !there {
					f.wants(k, e.Number, Found, e.FinalState)
				} else if e.Number <= page.Lower {
					f.wants(k, e.Number, Absent, FinalState{})
				}
			}
			if err := k.DropFirstPage(context.Background(), page.Upper-1); err != nil || len(f.store.Keys(prefix)) == 0 {
				t.Errorf("another page is dropped: %v", err)
			}
			f.store.Trouble(func(s *storagetest.Service) { s.LoseAnswers = steps % 2 })
			_ = k.DropFirstPage(context.Background(), page.Upper)
			time.Sleep(5 * time.Second)
			if steps > 200 {
				t.Fatal("it doesn't end")
			}
		}
		if len(back) != len(all) || len(f.store.Keys(prefix)) != 0 {
			t.Errorf("%d of %d jobs are back, and %d pages are left", len(back), len(all), len(f.store.Keys(prefix)))
		}
		f.wants(k, all[0].Number, Absent, FinalState{})
		f.offer(k, all[:10])
		f.wants(k, all[0].Number, Found, all[0].FinalState)
	})
}

// A leader that can't read the pages counts none, and brings none back.
func TestAnUnreadArchiveIsNotCounted(t *testing.T) {
	inFixture(t, func(f *fixture) {
		first, second := f.keeper(false), f.keeper(true)
		f.lead(first)
		time.Sleep(time.Minute)
		f.offer(first, jobs(20))
		f.cut.Store(true)
		f.lead(second)
		if n, err := second.Count(context.Background()); err == nil {
			t.Errorf("%d jobs are counted", n)
		}
		if page, err := second.FirstPage(context.Background()); err == nil {
			t.Errorf("page %+v is the first", page)
		}
		f.cut.Store(false)
		time.Sleep(10 * time.Second)
		if n, err := second.Count(context.Background()); err != nil || n != 20 {
			t.Errorf("%d jobs are counted: %v", n, err)
		}
	})
}

// A page that has changed since it was read isn't dropped.
func TestAChangedPageIsNotDropped(t *testing.T) {
	inFixture(t, func(f *fixture) {
		k := f.keeper(false)
		f.lead(k)
		f.offer(k, jobs(300))
		page, err := k.FirstPage(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		data, err := encode(pack(&page))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.Apply(nil, []storage.Op{{Key: pageKey(page.Upper), Data: data}}); err != nil {
			t.Fatal(err)
		}
		if err := k.DropFirstPage(context.Background(), page.Upper); err == nil || len(f.store.Keys(prefix)) == 0 {
			t.Errorf("it is dropped: %v", err)
		}
	})
}

// A follower takes in pages that were removed and made again, also where the changes are no longer kept.
func TestAFollowerTakesInWhatChanged(t *testing.T) {
	for _, others := range []int{0, 25_000} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			inFixture(t, func(f *fixture) {
				k, follower := f.keeper(false), f.keeper(true)
				f.lead(k)
				f.offer(k, jobs(300))
				time.Sleep(time.Minute)
				f.cut.Store(true)
				time.Sleep(30 * time.Second)
				f.cut.Store(false)
				for page, err := k.FirstPage(context.Background()); page.Upper != 0; page, err = k.FirstPage(context.Background()) {
					if err != nil {
						t.Fatal(err)
					}
					if err := k.DropFirstPage(context.Background(), page.Upper); err != nil {
						t.Fatal(err)
					}
				}
				f.offer(k, jobs(301)[300:])
				for i := range others {
					if _, err := f.store.Apply(nil, []storage.Op{{Key: "other", Data: []byte(fmt.Sprint(i))}}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Minute)
				if stats := follower.Index.Stats(); stats.Jobs != 1 || stats.Pages != 1 {
					t.Errorf("%+v", stats)
				}
				last := jobs(301)[300]
				if r := follower.Index.Lookup(last.Number); r.Knowledge != Found || r.Final != last.FinalState {
					t.Errorf("%+v", r)
				}
			})
		})
	}
}

// The end of an earlier term doesn't end the present one; after that one's end the keeper follows again.
func TestTermsEnd(t *testing.T) {
	inFixture(t, func(f *fixture) {
		k, other := f.keeper(true), f.keeper(false)
		first := f.lead(k)
		second := f.lead(k)
		k.EndTerm(context.Background(), first.Term)
		all := jobs(30)
		f.offer(k, all[:10])
		time.Sleep(time.Minute)
		k.EndTerm(context.Background(), second.Term)
		f.lead(other)
		f.offer(other, all[10:])
		time.Sleep(time.Minute)
		if r := k.Index.Lookup(all[29].Number); r.Knowledge != Found {
			t.Errorf("it doesn't follow: %+v", r)
		}
		if ranks, err := k.Archive(context.Background(), all[:1]); err == nil {
			t.Errorf("it archives %v", ranks)
		}
	})
}

// Who hasn't heard of changes for long loads all pages again: the changes may be more than they.
func TestAStaleKeeperLoadsAgain(t *testing.T) {
	inFixture(t, func(f *fixture) {
		_, all := f.archived(100)
		k := NewArchiver(&storagetest.Client{Service: f.store}, f.limits, Settings{Refresh: 10 * time.Second, CallTime: time.Second, MemoryBytes: 1 << 20}, slog.New(slog.DiscardHandler))
		k.refresh(context.Background())
		first := k.loadedFrom
		time.Sleep(30 * time.Second)
		k.refresh(context.Background())
		if k.loadedFrom != first || !k.Index.Stats().Complete {
			t.Error("it loads again at once")
		}
		if _, err := f.store.Apply(nil, []storage.Op{{Key: "other", Data: []byte("1")}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Minute)
		k.refresh(context.Background())
		if k.loadedFrom == first {
			t.Error("it asks for the changes of ten minutes")
		}
		if r := k.Index.Lookup(all[50].Number); r.Knowledge != Found {
			t.Errorf("%+v", r)
		}
	})
}

// What nobody waits for any longer isn't read.
func TestAForgottenQuestionIsNotRead(t *testing.T) {
	inFixture(t, func(f *fixture) {
		f.memory = 1
		k, all := f.archived(100)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		q := question{ctx, all[50].Number, make(chan answer, 1)}
		k.in <- q
		time.Sleep(time.Second)
		if len(q.reply) > 0 {
			t.Error("it was read")
		}
	})
}

// Without a lead a keeper that doesn't follow asks the state service nothing.
func TestAnIdleKeeperAsksNothing(t *testing.T) {
	inFixture(t, func(f *fixture) {
		k := f.keeper(false)
		f.cut.Store(true)
		time.Sleep(10 * time.Minute)
		if k.Index.Stats().Complete || len(f.store.Sent) > 0 {
			t.Error("it asks")
		}
		f.cut.Store(false)
		time.Sleep(10 * time.Minute)
		if k.Index.Stats().Complete {
			t.Error("it asks")
		}
	})
}

// history is a random history of leaders that archive jobs, against a plain map of what is final.
type history struct {
	*fixture
	t       *rapid.T
	final   map[JobNumber]FinalState // all that ever became final
	table   map[JobNumber]FinalState // what the journal holds
	leader  *Archiver
	present Leadership
	watcher *Archiver // a follower's
}

func (h *history) ranks() *rapid.Generator[JobNumber] {
	// Few ids, so that histories meet, some far apart.
	return rapid.Custom(func(t *rapid.T) JobNumber {
		rank, _ := ParseJobNumber(fmt.Sprintf("%06d", rapid.IntRange(0, 400).Draw(t, "id")))
		if rapid.Bool().Draw(t, "far") {
			rank, _ = ParseJobNumber(fmt.Sprintf("9%017d", rapid.IntRange(0, 400).Draw(t, "id")*777_777_777))
		}
		return rank
	})
}

func (h *history) finishJobs() {
	for _, rank := range rapid.SliceOfN(h.ranks(), 1, 60).Draw(h.t, "finished") {
		if _, there := h.final[rank]; !there {
			h.final[rank] = FinalState{rapid.Bool().Draw(h.t, "cancelled"), rapid.IntRange(0, 1000).Draw(h.t, "done")}
			h.table[rank] = h.final[rank]
		}
	}
}

// move offers what the journal holds. The removal of the records may be lost with the leader.
func (h *history) move() {
	var entries []Entry
	for rank, final := range h.table {
		entries = append(entries, Entry{rank, final})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	ranks, err := h.leader.Archive(ctx, entries)
	if err != nil {
		return
	}
	for _, rank := range ranks {
		if rapid.IntRange(0, 9).Draw(h.t, "removal lost") > 0 {
			delete(h.table, rank)
		}
	}
}

func (h *history) takeOver() {
	h.leader = h.keeper(rapid.Bool().Draw(h.t, "follows"))
	h.present = h.lead(h.leader)
}

func (h *history) trouble() {
	kind, late := rapid.IntRange(0, 2).Draw(h.t, "trouble"), time.Duration(rapid.IntRange(1, 20_000).Draw(h.t, "late"))*time.Millisecond
	h.store.Trouble(func(s *storagetest.Service) {
		switch kind {
		case 0:
			s.LoseAnswers = 1
		case 1:
			s.Delay = onceLate(late)
		default:
			if n := len(s.Sent); n > 0 {
				copied := s.Sent[rapid.IntRange(0, n-1).Draw(h.t, "copy")]
				time.AfterFunc(late, func() { _, _ = s.Apply(copied.Guards, copied.Ops) })
			}
		}
	})
}

// ask puts one question to the leader and a follower: every answer must be allowed by the history.
func (h *history) ask() {
	rank := h.ranks().Draw(h.t, "asked")
	want, ended := h.final[rank]
	if r := h.watcher.Index.Lookup(rank); r.Knowledge == Found && (!ended || r.Final != want) {
		h.t.Fatalf("a follower finds %s as %+v, which is %+v %v", rank.ID(), r.Final, want, ended)
	}
	_, held := h.table[rank]
	r, err := h.read(h.leader, rank)
	switch {
	case err != nil:
	case r.Knowledge == Found && (!ended || r.Final != want):
		h.t.Fatalf("the leader finds %s as %+v, which is %+v %v", rank.ID(), r.Final, want, ended)
	case r.Knowledge == Absent && r.Term == h.present.Term && ended && !held:
		h.t.Fatalf("the leader has forgotten %s", rank.ID())
	case r.Knowledge == Damaged:
		h.t.Fatalf("%s: key %s is damaged", rank.ID(), r.Key)
	}
}

// inSimulatedTime plays a property's history in simulated time of its own. Its end by rapid is carried over to rapid's goroutine.
func inSimulatedTime(t *testing.T, play func()) {
	var end any
	synctest.Test(t, func(*testing.T) {
		defer func() { end = recover() }()
		play()
	})
	if end != nil {
		panic(end)
	}
}

// Random histories of finished jobs, moves, ends of leaders, and writes that are lost, late, repeated or unanswered: every
// answer is allowed by a plain map, and at the end nothing is forgotten.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inSimulatedTime(t, func() { playHistory(rt) })
	})
}

func playHistory(t *rapid.T) {
	h := &history{fixture: newFixture(t), t: t, final: make(map[JobNumber]FinalState), table: make(map[JobNumber]FinalState)}
	defer h.end()
	h.watcher = h.keeper(true)
	h.memory = rapid.SampledFrom([]int{1 << 20, 300}).Draw(t, "memory")
	h.takeOver()
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			h.finishJobs()
		case 2, 3, 4:
			h.move()
		case 5:
			h.takeOver()
		case 6:
			h.trouble()
		default:
			h.ask()
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	}
	time.Sleep(time.Minute)
	h.takeOver()
	for rank, final := range h.final {
		if _, held := h.table[rank]; !held {
			h.wants(h.leader, rank, Found, final)
		}
	}
}
