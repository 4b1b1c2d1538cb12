package archive

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// A follower is disconnected for a while. Then all pages are removed, and a new page is written. The follower
// must have only the new page afterwards, even if the store no longer keeps these changes.
func TestFollowerAppliesChanges(t *testing.T) {
	for _, otherChanges := range []int{0, 25_000} {
		t.Run(fmt.Sprint(otherChanges), func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, f *fixture) {
				follower := f.startFollower()
				leader, _ := f.startLeaderWith(300)
				time.Sleep(loadTime)
				f.disconnected.Store(true)
				time.Sleep(30 * time.Second)
				f.disconnected.Store(false)
				dropAllPages(t, leader)
				last := newEntries(301)[300]
				f.archive(leader, []Entry{last})
				for i := range otherChanges {
					f.put("other", fmt.Sprint(i))
				}
				time.Sleep(loadTime)
				if stats := follower.Index.Stats(); stats.Jobs != 1 || stats.Pages != 1 {
					t.Errorf("got %+v, want one job in one page", stats)
				}
				checkHeld(t, follower, last)
			})
		})
	}
}

// dropAllPages removes the archive's pages one by one, until FirstPage returns no page.
func dropAllPages(t *testing.T, leader *Archiver) {
	t.Helper()
	for {
		page, err := leader.FirstPage(context.Background())
		if err != nil {
			t.Fatalf("FirstPage: %v", err)
		}
		if page.Upper == 0 {
			return
		}
		if err := leader.DropFirstPage(context.Background(), page.Upper); err != nil {
			t.Fatalf("DropFirstPage: %v", err)
		}
	}
}

// countingStore counts the List requests. In this file's tests, one List request loads all pages of the archive.
type countingStore struct {
	storage.KeyValueStore
	lists int
}

func (s *countingStore) List(ctx context.Context, prefix, after string, limit int) ([]storage.Item, bool, uint64, error) {
	s.lists++
	return s.KeyValueStore.List(ctx, prefix, after, limit)
}

// An index that wasn't refreshed for a long time is loaded again as a whole, because the changes since then may
// be larger than all pages together.
func TestStaleIndexIsLoadedAgain(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		_, entries := f.startLeaderWith(100)
		store := &countingStore{KeyValueStore: &storagetest.Client{Service: f.store}}
		a := f.newArchiver(store, false)
		a.refresh(context.Background())
		time.Sleep(30 * time.Second)
		a.refresh(context.Background())
		if store.lists != 1 || !a.Index.Stats().Complete {
			t.Errorf("after 30s: got %d loads, %+v; want one, which is complete", store.lists, a.Index.Stats())
		}
		f.put("other", "1")
		time.Sleep(10 * time.Minute)
		a.refresh(context.Background())
		if store.lists != 2 {
			t.Errorf("after 10 minutes: got %d loads, want 2", store.lists)
		}
		checkHeld(t, a, entries[50])
	})
}

// While another controller is the leader, an Archiver without Settings.Follow sends no requests.
func TestIdleArchiverMakesNoRequests(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		a := f.startIdle()
		f.disconnected.Store(true)
		time.Sleep(10 * time.Minute)
		if a.Index.Stats().Complete || len(f.store.Sent) > 0 {
			t.Errorf("without the store: got %+v, %d writes; want no requests", a.Index.Stats(), len(f.store.Sent))
		}
		f.disconnected.Store(false)
		time.Sleep(10 * time.Minute)
		if a.Index.Stats().Complete {
			t.Errorf("got %+v, want no requests", a.Index.Stats())
		}
	})
}

// EndTerm with the number of an earlier term doesn't end the current term. After the end of the current term
// the Archiver applies the changes of the next leader.
func TestEndTermIgnoresEarlierTerm(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		a, other := f.startFollower(), f.startIdle()
		first := f.beginTerm(a)
		second := f.beginTerm(a)
		a.EndTerm(context.Background(), first.Term)
		entries := newEntries(30)
		f.archive(a, entries[:10])
		time.Sleep(loadTime)
		a.EndTerm(context.Background(), second.Term)
		f.beginTerm(other)
		f.archive(other, entries[10:])
		time.Sleep(loadTime)
		checkHeld(t, a, entries[29])
		if archived, err := a.Archive(context.Background(), entries[:1]); err == nil {
			t.Errorf("Archive after the term: got %v, want an error", archived)
		}
	})
}
