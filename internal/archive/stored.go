package archive

import (
	"context"
	"fmt"

	"sagevale/internal/storage"
)

// StoredSummary summarizes the archive in the key-value store.
type StoredSummary struct {
	Jobs, Pages, Bytes int      // Jobs excludes the jobs in damaged pages; Bytes is the size of all keys and values
	Damaged            []string // descriptions of damaged or missing pages
}

// ReadStoredSummary reads all pages from the store and summarizes them. It writes nothing and needs no
// Archiver.
func ReadStoredSummary(ctx context.Context, store storage.KeyValueStore) (StoredSummary, error) {
	var stored StoredSummary
	var lower JobNumber
	for after := ""; ; {
		items, more, _, err := store.List(ctx, pagePrefix, after, maxListedPages)
		if err != nil {
			return StoredSummary{}, fmt.Errorf("read archive: %w", err)
		}
		for _, item := range items {
			lower = stored.add(item, lower)
			after = item.Key
		}
		if !more || len(items) == 0 {
			break
		}
	}
	if stored.Pages > 0 && lower != LastJobNumber {
		stored.Damaged = append(stored.Damaged, fmt.Sprintf("key %s is missing", pageKey(LastJobNumber)))
	}
	return stored, nil
}

// add adds a page to the summary. lower is the upper end of the previous page, which must be the lower end
// of this page. add returns the upper end of this page.
func (s *StoredSummary) add(item storage.Item, lower JobNumber) (upper JobNumber) {
	s.Pages++
	s.Bytes += len(item.Key) + len(item.Data)
	page, err := decode(item.Key, item.Data)
	if err != nil {
		s.Damaged = append(s.Damaged, err.Error())
		if upper, err := parsePageKey(item.Key); err == nil {
			return upper
		}
		return lower
	}
	s.Jobs += page.count
	if page.lower != lower {
		s.Damaged = append(s.Damaged, fmt.Sprintf("the page before key %s is missing", item.Key))
	}
	return page.upper
}
