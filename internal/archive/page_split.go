package archive

import (
	"cmp"
	"slices"

	"sagevale/internal/storage"
)

const (
	// valueShare of the value limit may be used by a page.
	valueShare = 0.9
	// splitShare of that is what each part of a page takes that was too large: room to grow.
	splitShare = 0.6
	// txnBytes bounds one transaction, under the protocol's 64 KiB.
	txnBytes = 56 << 10
)

// room is how many bytes a page may take before it is put into base64.
func room(limits *storage.Limits) int {
	return int(float64(limits.ValueBytes)*valueShare)/4*3 - 2
}

// mostParts is how many pages one transaction writes, of so many changes at the most.
func mostParts(limits *storage.Limits, changes int) int {
	return max(1, min(limits.TxnOps, changes, txnBytes/max(1, limits.ValueBytes)))
}

// add puts entries into a page, as many as fit into so many parts of it, and returns them with what
// is left. An entry that is there already stays as it is. The entries must be in order and in
// the page's range.
func add(p *Page, entries []Entry, bytes, parts int) (pages []Page, rest []Entry) {
	merged, taken := merge(p, entries, bytes, parts)
	return split(Page{Lower: p.Lower, Upper: p.Upper, Entries: merged}, bytes), entries[taken:]
}

// merge merges entries into those of a page while they surely fit, and tells how many it took.
func merge(p *Page, entries []Entry, bytes, parts int) (merged []Entry, taken int) {
	size, most := packedSize(p), bytes
	if parts > 1 {
		most = max(bytes, parts*partBytes(bytes))
	}
	merged = slices.Clone(p.Entries)
	before := p.Lower
	for i := range entries {
		// The entry behind it gets no longer; the one itself is measured from an earlier neighbour.
		size += entryBytes(before, &entries[i])
		if size > most {
			break
		}
		before = entries[i].Number
		taken++
	}
	for i := range entries[:taken] {
		at, there := slices.BinarySearchFunc(merged, entries[i].Number, func(e Entry, r JobNumber) int { return cmp.Compare(e.Number, r) })
		if !there {
			merged = slices.Insert(merged, at, entries[i])
		}
	}
	return merged, taken
}

// packedSize is what a page takes.
func packedSize(p *Page) int {
	size, before := frameBytes, p.Lower
	for i := range p.Entries {
		size += entryBytes(before, &p.Entries[i])
		before = p.Entries[i].Number
	}
	return size
}

// partBytes is what the entries of one part of a split page take.
func partBytes(bytes int) int {
	return max(mostEntryBytes, int(float64(bytes)*splitShare)-frameBytes)
}

// split cuts a page into parts that each take so many bytes at the most, evenly; one that is
// small enough stays whole.
func split(p Page, bytes int) []Page {
	size := packedSize(&p)
	if size <= bytes || len(p.Entries) < 2 {
		return []Page{p}
	}
	count := (size + partBytes(bytes) - 1) / partBytes(bytes)
	each := (size + count - 1) / count
	var parts []Page
	part := Page{Lower: p.Lower}
	taken := 0
	for i := range p.Entries {
		e := &p.Entries[i]
		before := part.Lower
		if n := len(part.Entries); n > 0 {
			before = part.Entries[n-1].Number
		}
		part.Entries = append(part.Entries, *e)
		if taken += entryBytes(before, e); taken >= each && i < len(p.Entries)-1 {
			part.Upper = e.Number
			parts = append(parts, part)
			part, taken = Page{Lower: e.Number}, 0
		}
	}
	part.Upper = p.Upper
	return append(parts, part)
}

// Build returns the changes that store an archive of these jobs, which must be in order, where none
// is stored. Tools and tests begin with it.
func Build(entries []Entry, limits *storage.Limits) ([]storage.Op, error) {
	var ops []storage.Op
	for _, page := range split(Page{Upper: LastJobNumber, Entries: entries}, room(limits)) {
		data, err := encode(pack(&page))
		if err != nil {
			return nil, err
		}
		ops = append(ops, storage.Op{Key: pageKey(page.Upper), Data: data})
	}
	return ops, nil
}
