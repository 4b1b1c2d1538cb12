package archive

import (
	"context"
	"fmt"

	"sagevale/internal/storage"
)

// Stored is what the state service holds of the archive.
type Stored struct {
	Jobs, Pages, Bytes int
	Damaged            []string // what is wrong, key by key
}

// ReadStored reads all pages. It writes nothing.
func ReadStored(ctx context.Context, svc storage.KeyValueStore) (Stored, error) {
	var stored Stored
	var lower JobNumber
	for after := ""; ; {
		items, more, _, err := svc.List(ctx, prefix, after, loadPages)
		if err != nil {
			return Stored{}, fmt.Errorf("read archive: %w", err)
		}
		for _, it := range items {
			lower = stored.add(it, lower)
			after = it.Key
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

// add counts a page, whose range should begin where the one before it ended, and returns where it ends.
func (s *Stored) add(it storage.Item, lower JobNumber) JobNumber {
	s.Pages++
	s.Bytes += len(it.Key) + len(it.Data)
	page, err := decode(it.Key, it.Data)
	if err != nil {
		s.Damaged = append(s.Damaged, err.Error())
		if upper, err := upperOf(it.Key); err == nil {
			return upper
		}
		return lower
	}
	s.Jobs += page.count
	if page.lower != lower {
		s.Damaged = append(s.Damaged, fmt.Sprintf("the page before key %s is missing", it.Key))
	}
	return page.upper
}
