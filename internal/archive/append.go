package archive

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// minAppendChanges is how many changes have to be available for an append: a page that is full
// becomes two.
const minAppendChanges = 2

// Archive archives some of the jobs, which must be in order: those of the page that most of them
// belong to. It returns which of them are durably archived now. If the budget allows no changes yet
// it returns none. It fails with ErrBusy, ErrIncomplete or ErrLeadershipLost, or with the error of
// the write; then the same jobs may be passed again.
func (a *Archiver) Archive(ctx context.Context, entries []Entry) ([]JobNumber, error) {
	replies := make(chan reply[[]JobNumber], 1)
	return call(ctx, a, replies, func(serving context.Context) {
		replies <- replyOf(a.archiveGroup(serving, entries))
	})
}

// archiveGroup archives the jobs of one page.
func (a *Archiver) archiveGroup(ctx context.Context, entries []Entry) ([]JobNumber, error) {
	if !a.exact() {
		return nil, ErrIncomplete
	}
	limits := a.applyLimits()
	changes := min(int(a.writes.Tokens()), a.writes.Burst())
	if changes < minAppendChanges {
		return nil, nil
	}
	old, group := a.largestGroup(entries)
	if len(group) == 0 {
		return nil, nil
	}
	page, err := a.pageOf(ctx, old)
	if err != nil {
		return nil, err
	}
	pages, rest := add(&page, group, maxPageBytes(&limits), maxParts(&limits, changes))
	added := group[:len(group)-len(rest)]
	if len(added) == 0 {
		a.report(fmt.Errorf("page %s is larger than may be written now; the jobs of its range stay in the journal", pageKey(page.Upper)))
		return nil, nil
	}
	// Written even if the page has all of them already: that bars late writes of its present version.
	a.writes.AllowN(time.Now(), len(pages))
	if err := a.replace(ctx, replacement{old: old, pages: pages}); err != nil {
		return nil, err
	}
	return numbersOf(added), nil
}

func numbersOf(entries []Entry) []JobNumber {
	numbers := make([]JobNumber, 0, len(entries))
	for i := range entries {
		numbers = append(numbers, entries[i].Number)
	}
	return numbers
}

// largestGroup returns the page that most of the entries belong to, and these entries. The page is
// nil if there are no pages yet. Damaged pages get no entries.
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
