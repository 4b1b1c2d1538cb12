package archive

import (
	"context"
	"strings"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// Jobs in the range of a damaged page are reported as damaged, jobs in other pages are found, and no job is
// added to the damaged page.
func TestDamagedPageAffectsOnlyItsRange(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		_, entries := f.startLeaderWith(600)
		pages := f.storedPageKeys()
		middle := len(pages) / 2
		f.put(pages[middle], `"AAAA"`)
		f.put(pagePrefix+"stray", `{}`)
		damaged := damagedRange{key: pages[middle]}
		damaged.upper, _ = parsePageKey(pages[middle])
		damaged.lower, _ = parsePageKey(pages[middle-1])
		for _, c := range []struct {
			name string
			wait time.Duration
		}{{"pages read singly", 0}, {"all pages loaded", loadTime}} {
			leader := f.startLeader()
			time.Sleep(c.wait)
			damaged.check(t, f, leader, entries, c.name)
		}
		stored, err := ReadStoredSummary(context.Background(), &storagetest.Client{Service: f.store})
		if err != nil || len(stored.Damaged) < 2 || !strings.Contains(strings.Join(stored.Damaged, "\n"), damaged.key) {
			t.Errorf("ReadStoredSummary: got %+v, %v; want damage of %s and another key", stored, err, damaged.key)
		}
	})
}

// damagedRange identifies a damaged page, and the range of the page: the job numbers above lower, up to and
// including upper.
type damagedRange struct {
	key          string
	lower, upper JobNumber
}

// check checks that a leader reports the jobs in the range as damaged, finds all other jobs, and adds no job
// to the damaged page.
func (d *damagedRange) check(t *testing.T, f *fixture, leader *Archiver, entries []Entry, name string) {
	t.Helper()
	inRange := 0
	for _, e := range entries {
		if e.Number <= d.lower || e.Number > d.upper {
			f.checkFound(leader, e)
			continue
		}
		inRange++
		if r, err := read(leader, e.Number); err != nil || r.Status != Damaged || r.Key != d.key {
			t.Errorf("%s: read %s: got %+v, %v; want damaged %s", name, e.Number.ID(), r, err, d.key)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if inRange == 0 {
		t.Errorf("%s: no job is in the damaged page", name)
	}
	time.Sleep(loadTime)
	if archived, err := leader.Archive(context.Background(), []Entry{{d.upper, FinalState{Done: 1}}}); len(archived) > 0 {
		t.Errorf("%s: a job was added to the damaged page: %v", name, err)
	}
	if _, err := leader.FirstPage(context.Background()); err != nil {
		t.Errorf("%s: FirstPage: %v", name, err)
	}
}

// A missing page must not be mistaken for a range without jobs.
func TestMissingPageDoesNotProveAbsence(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		_, entries := f.startLeaderWith(600)
		pages := f.storedPageKeys()
		for _, missing := range []string{pages[2], pages[len(pages)-1]} {
			f.apply(storage.Op{Key: missing, Delete: true})
		}
		leader := f.startLeader()
		for _, wait := range []time.Duration{0, loadTime} {
			time.Sleep(wait)
			found := 0
			for _, e := range entries {
				r, err := read(leader, e.Number)
				if err == nil && r.Status == Absent {
					t.Fatalf("after %v: read %s: got absent, want found or unknown", wait, e.Number.ID())
				}
				if r.Status == Found {
					found++
				}
				time.Sleep(60 * time.Millisecond)
			}
			if found < len(entries)/2 {
				t.Errorf("after %v: got %d of %d jobs found, want at least half", wait, found, len(entries))
			}
		}
	})
}
