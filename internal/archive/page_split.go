package archive

import (
	"cmp"
	"slices"

	"sagevale/internal/storage"
)

const (
	// valueShare is the maximum size of a stored page, as a share of the store's limit on the size of a value.
	valueShare = 0.9
	// splitFillShare is the target size of each part of a split page, as a share of the maximum page
	// size. The remaining share is headroom for entries that are added after the split.
	splitFillShare = 0.6
	// txnBytes limits the total size of the values in one transaction, in bytes. It is below the
	// protocol's limit of 64 KiB.
	txnBytes = 56 << 10
)

// maxPageBytes returns the maximum size of a packed page before base64 encoding, in bytes.
func maxPageBytes(limits *storage.Limits) int {
	return int(float64(limits.ValueBytes)*valueShare)/4*3 - 2
}

// maxParts returns how many pages, at least one, a transaction may write within the store's limits and within
// the given number of changes.
func maxParts(limits *storage.Limits, changes int) int {
	return max(1, min(limits.TxnOps, changes, txnBytes/max(1, limits.ValueBytes)))
}

// addEntries adds entries to a page and splits the page into parts of at most pageBytes bytes each. It adds
// entries in order, as long as they are certain to fit into partLimit parts, and returns the parts and the
// entries that weren't added. A job that is already in the page keeps its state. The entries must be sorted
// by number and lie in the page's range.
func addEntries(p *Page, entries []Entry, pageBytes, partLimit int) (pages []Page, rest []Entry) {
	added := countFitting(p, entries, pageBytes, partLimit)
	whole := Page{Lower: p.Lower, Upper: p.Upper, Entries: mergeEntries(p.Entries, entries[:added])}
	return splitPage(whole, pageBytes), entries[added:]
}

// countFitting returns how many of the entries, counted from the first one, are certain to fit if the page
// is split into at most partLimit parts of at most pageBytes bytes each.
func countFitting(p *Page, entries []Entry, pageBytes, partLimit int) (count int) {
	size, maxSize := packedSize(p), pageBytes
	if partLimit > 1 {
		maxSize = max(pageBytes, partLimit*targetPartBytes(pageBytes))
	}
	previous := p.Lower
	for i := range entries {
		// The sum never underestimates the size of the merged page. Inserting an entry doesn't lengthen
		// the entry after it. The size of the new entry depends on the distance to the entry before it.
		// The distance used here, to the previous new entry, is at least the one in the merged page.
		size += entryBytes(previous, &entries[i])
		if size > maxSize {
			break
		}
		previous = entries[i].Number
		count++
	}
	return count
}

// mergeEntries returns the present entries of a page together with the added ones. If a job is in both, its
// present entry is kept.
func mergeEntries(present, added []Entry) []Entry {
	merged := slices.Clone(present)
	for i := range added {
		position, found := slices.BinarySearchFunc(merged, added[i].Number, compareNumber)
		if !found {
			merged = slices.Insert(merged, position, added[i])
		}
	}
	return merged
}

// compareNumber compares an entry's number with another number.
func compareNumber(e Entry, number JobNumber) int { return cmp.Compare(e.Number, number) }

// packedSize returns an upper bound of a page's packed size.
func packedSize(p *Page) int {
	size, previous := maxOverheadBytes, p.Lower
	for i := range p.Entries {
		size += entryBytes(previous, &p.Entries[i])
		previous = p.Entries[i].Number
	}
	return size
}

// targetPartBytes returns the target size of the packed entries in one part of a split page, in bytes.
func targetPartBytes(pageBytes int) int {
	return max(maxEntryBytes, int(float64(pageBytes)*splitFillShare)-maxOverheadBytes)
}

// splitPage splits a page into parts of about the same size, at most pageBytes bytes each. A page that is
// small enough isn't split.
func splitPage(p Page, pageBytes int) []Page {
	size := packedSize(&p)
	if size <= pageBytes || len(p.Entries) < 2 {
		return []Page{p}
	}
	count := (size + targetPartBytes(pageBytes) - 1) / targetPartBytes(pageBytes)
	partTarget := (size + count - 1) / count
	var parts []Page
	part, partSize := Page{Lower: p.Lower}, 0
	for i, e := range p.Entries {
		partSize += entryBytes(part.lastNumber(), &p.Entries[i])
		part.Entries = append(part.Entries, e)
		if partSize >= partTarget && i < len(p.Entries)-1 {
			part.Upper = e.Number
			parts = append(parts, part)
			part, partSize = Page{Lower: e.Number}, 0
		}
	}
	part.Upper = p.Upper
	return append(parts, part)
}

// lastNumber returns the job number of the last entry, or the lower end if the page has no entries. An
// entry that is appended to the page is packed as the difference from this number.
func (p *Page) lastNumber() JobNumber {
	if n := len(p.Entries); n > 0 {
		return p.Entries[n-1].Number
	}
	return p.Lower
}

// Build returns the operations that write an archive of the entries to a store without an archive. The
// entries must be sorted by number. Tools and tests use Build to prepare a store.
func Build(entries []Entry, limits *storage.Limits) ([]storage.Op, error) {
	var ops []storage.Op
	for _, page := range splitPage(Page{Upper: LastJobNumber, Entries: entries}, maxPageBytes(limits)) {
		data, err := encode(pack(&page))
		if err != nil {
			return nil, err
		}
		ops = append(ops, storage.Op{Key: pageKey(page.Upper), Data: data})
	}
	return ops, nil
}
