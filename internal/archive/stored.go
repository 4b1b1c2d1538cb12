package archive

import (
	"context"
	"fmt"

	"sagevale/internal/storage"
)

// Stored summarises what the key-value store holds of the archive.
type Stored struct {
	Jobs, Pages, Bytes int
	Damaged            []string // what is wrong, key by key
}

// ReadStored reads all pages. It writes nothing, and may be called without an Archiver.
func ReadStored(ctx context.Context, store storage.KeyValueStore) (Stored, error) {
	var stored Stored
	var lower JobNumber
	for after := ""; ; {
		items, more, _, err := store.List(ctx, prefix, after, listLimit)
		if err != nil {
			return Stored{}, fmt.Errorf("read archive: %w", err)
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

// add counts a page. Its range should begin with lower, where that of the page before it ends. It
// returns where the range of this one ends.
func (s *Stored) add(item storage.Item, lower JobNumber) (upper JobNumber) {
	s.Pages++
	s.Bytes += len(item.Key) + len(item.Data)
	page, err := decode(item.Key, item.Data)
	if err != nil {
		s.Damaged = append(s.Damaged, err.Error())
		if upper, err := upperOf(item.Key); err == nil {
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
