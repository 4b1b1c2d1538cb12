package archive

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// minAppendChanges is how many changes (keys written or deleted) the write rate limiter must allow before a
// page is written. It is 2 because a full page is split into two pages.
const minAppendChanges = 2

// Archive adds some of the entries to one page of the archive: the page that most of the entries belong
// to. The entries must be sorted by number. Archive returns the numbers of the jobs that are now durably
// archived. Archive returns no numbers and no error if the archive's write rate limit currently allows
// too few changes, or if no entry can be added: the page is too large for the limits, or no intact page
// covers the entries. It fails with ErrBusy, ErrIncomplete or ErrLeadershipLost, or with the error of a
// request to the store; the caller may then pass the same entries again.
func (a *Archiver) Archive(ctx context.Context, entries []Entry) ([]JobNumber, error) {
	replies := make(chan reply[[]JobNumber], 1)
	return call(ctx, a, replies, func(serving context.Context) {
		replies <- newReply(a.archiveLargestGroup(serving, entries))
	})
}

// archiveLargestGroup adds entries to the page that most of the entries belong to.
func (a *Archiver) archiveLargestGroup(ctx context.Context, entries []Entry) ([]JobNumber, error) {
	if !a.indexIsExact() {
		return nil, ErrIncomplete
	}
	limits := a.applyLimits()
	changes := min(int(a.writeLimiter.Tokens()), a.writeLimiter.Burst())
	if changes < minAppendChanges {
		return nil, nil
	}
	old, group := a.largestGroup(entries)
	if len(group) == 0 {
		return nil, nil
	}
	page, err := a.pageWithEntries(ctx, old)
	if err != nil {
		return nil, err
	}
	pages, rest := addEntries(&page, group, maxPageBytes(&limits), maxParts(&limits, changes))
	added := group[:len(group)-len(rest)]
	if len(added) == 0 {
		a.logError(fmt.Errorf("page %s is too large for the current limits and change budget; jobs in its range stay in the journal",
			pageKey(page.Upper)))
		return nil, nil
	}
	// The page is written even if it already has all of the entries, because the write gives the page a
	// new version. Late writes that are guarded by the present version then fail.
	a.writeLimiter.AllowN(time.Now(), len(pages))
	if err := a.replacePages(ctx, replacement{old: old, pages: pages}); err != nil {
		return nil, err
	}
	return numbersOf(added), nil
}

// numbersOf returns the job numbers of entries.
func numbersOf(entries []Entry) []JobNumber {
	numbers := make([]JobNumber, 0, len(entries))
	for i := range entries {
		numbers = append(numbers, entries[i].Number)
	}
	return numbers
}

// largestGroup returns the page that most of the entries belong to, and these entries. The page is
// nil if there are no pages yet. Damaged pages are skipped.
func (a *Archiver) largestGroup(entries []Entry) (page *cachedPage, group []Entry) {
	pages := a.Index.current.Load().pages
	if len(pages) == 0 {
		return nil, entries
	}
	for len(entries) > 0 {
		i, _ := findPage(pages, entries[0].Number)
		if i == len(pages) {
			break // the last page is missing
		}
		end, _ := slices.BinarySearchFunc(entries, pages[i].upper+1, compareNumber)
		if covers := !pages[i].damaged && entries[0].Number > pages[i].lower; covers && end > len(group) {
			page, group = pages[i], entries[:end]
		}
		entries = entries[end:]
	}
	return page, group
}
