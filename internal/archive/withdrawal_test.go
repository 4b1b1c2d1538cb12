package archive

import (
	"context"
	"testing"
	"time"

	"sagevale/internal/storage/storagetest"
)

// Several leaders in turn withdraw the archive page by page, while some responses of the store are lost.
// Each job is found in the archive until FirstPage returns its page, and is absent once DropFirstPage has
// removed the page. At the end no page is stored.
func TestWithdrawalReturnsEveryJob(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		leader, entries := f.startLeaderWith(500)
		returned := make(map[JobNumber]FinalState)
		for step := 0; ; step++ {
			if step > 200 {
				t.Fatal("the withdrawal doesn't end")
			}
			if step%3 == 2 {
				leader = f.startLeader() // the new leader continues the withdrawal
				time.Sleep(5 * time.Second)
			}
			page, err := leader.FirstPage(context.Background())
			if err != nil {
				t.Fatalf("FirstPage: %v", err)
			}
			if page.Upper == 0 {
				break
			}
			for _, e := range page.Entries {
				returned[e.Number] = e.FinalState
			}
			for _, e := range entries {
				if _, ok := returned[e.Number]; !ok {
					f.checkFound(leader, e)
				} else if e.Number <= page.Lower {
					f.checkAbsent(leader, e.Number)
				}
			}
			if err := leader.DropFirstPage(context.Background(), page.Upper-1); err != nil || len(f.storedPageKeys()) == 0 {
				t.Errorf("DropFirstPage of another page: got %v, %d pages; want no effect", err, len(f.storedPageKeys()))
			}
			f.store.Update(func(s *storagetest.Service) { s.LoseResponses = step % 2 })
			_ = leader.DropFirstPage(context.Background(), page.Upper) // fails if the response is lost
			time.Sleep(5 * time.Second)
		}
		if len(returned) != len(entries) || len(f.storedPageKeys()) != 0 {
			t.Errorf("got %d jobs back and %d pages left, want %d and none", len(returned), len(f.storedPageKeys()), len(entries))
		}
		f.checkAbsent(leader, entries[0].Number)
		f.archive(leader, entries[:10])
		f.checkFound(leader, entries[0])
	})
}

// A leader that can't read the pages returns neither a count nor a page.
func TestWithdrawalRequiresCompleteIndex(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		const jobs = 20
		first, second := f.startIdle(), f.startFollower()
		f.beginTerm(first)
		time.Sleep(loadTime)
		f.archive(first, newEntries(jobs))
		f.disconnected.Store(true)
		f.beginTerm(second)
		if n, err := second.Count(context.Background()); err == nil {
			t.Errorf("Count without the store: got %d, want an error", n)
		}
		if page, err := second.FirstPage(context.Background()); err == nil {
			t.Errorf("FirstPage without the store: got %+v, want an error", page)
		}
		f.disconnected.Store(false)
		time.Sleep(10 * time.Second)
		if n, err := second.Count(context.Background()); err != nil || n != jobs {
			t.Errorf("Count: got %d, %v; want %d", n, err, jobs)
		}
	})
}

func TestDropFirstPageFailsAfterChange(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		leader, _ := f.startLeaderWith(300)
		page, err := leader.FirstPage(context.Background())
		if err != nil {
			t.Fatalf("FirstPage: %v", err)
		}
		value, err := encode(pack(&page))
		if err != nil {
			t.Fatal(err)
		}
		f.put(pageKey(page.Upper), string(value))
		if err := leader.DropFirstPage(context.Background(), page.Upper); err == nil || len(f.storedPageKeys()) == 0 {
			t.Errorf("DropFirstPage: got %v, %d pages; want an error and no effect", err, len(f.storedPageKeys()))
		}
	})
}
