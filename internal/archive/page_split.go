package archive

import (
	"cmp"
	"slices"

	"sagevale/internal/storage"
)

const (
	// valueShare of the value limit may be used by a page.
	valueShare = 0.9
	// splitShare of that is what each part of a page takes that was split: the rest is left for
	// jobs to come.
	splitShare = 0.6
	// txnBytes bounds one transaction, below the protocol's 64 KiB.
	txnBytes = 56 << 10
)

// maxPageBytes returns how many bytes a packed page may take, before base64.
func maxPageBytes(limits *storage.Limits) int {
	return int(float64(limits.ValueBytes)*valueShare)/4*3 - 2
}

// maxParts returns how many pages one transaction may write, with a budget of changes.
func maxParts(limits *storage.Limits, changes int) int {
	return max(1, min(limits.TxnOps, changes, txnBytes/max(1, limits.ValueBytes)))
}

// add adds as many of the entries to a page as fit into so many parts of it, and returns the parts
// and the rest of the entries. A job that is in the page already keeps its state. The entries must
// be in order and in the page's range.
func add(p *Page, entries []Entry, bytes, parts int) (pages []Page, rest []Entry) {
	added := fitting(p, entries, bytes, parts)
	whole := Page{Lower: p.Lower, Upper: p.Upper, Entries: merge(p.Entries, entries[:added])}
	return split(whole, bytes), entries[added:]
}

// fitting returns how many of the entries are guaranteed to fit into so many parts of a page.
func fitting(p *Page, entries []Entry, bytes, parts int) (count int) {
	size, most := packedSize(p), bytes
	if parts > 1 {
		most = max(bytes, parts*partBytes(bytes))
	}
	previous := p.Lower
	for i := range entries {
		// The entry behind it doesn't get longer. The entry itself is measured from the one of
		// these before it, which is at least as far away as its neighbour in the page.
		size += entryBytes(previous, &entries[i])
		if size > most {
			break
		}
		previous = entries[i].Number
		count++
	}
	return count
}

// merge returns the entries of a page with others.
func merge(present, added []Entry) []Entry {
	merged := slices.Clone(present)
	for i := range added {
		at, found := slices.BinarySearchFunc(merged, added[i].Number, compareNumber)
		if !found {
			merged = slices.Insert(merged, at, added[i])
		}
	}
	return merged
}

func compareNumber(e Entry, number JobNumber) int { return cmp.Compare(e.Number, number) }

// packedSize returns an upper bound of the bytes of a packed page.
func packedSize(p *Page) int {
	size, previous := frameBytes, p.Lower
	for i := range p.Entries {
		size += entryBytes(previous, &p.Entries[i])
		previous = p.Entries[i].Number
	}
	return size
}

// partBytes returns what the entries of one part of a split page take.
func partBytes(bytes int) int {
	return max(maxEntryBytes, int(float64(bytes)*splitShare)-frameBytes)
}

// split splits a page evenly into parts that take at most so many bytes each. A page that is small
// enough stays whole.
func split(p Page, bytes int) []Page {
	size := packedSize(&p)
	if size <= bytes || len(p.Entries) < 2 {
		return []Page{p}
	}
	count := (size + partBytes(bytes) - 1) / partBytes(bytes)
	each := (size + count - 1) / count
	var parts []Page
	part, partSize := Page{Lower: p.Lower}, 0
	for i, e := range p.Entries {
		partSize += entryBytes(part.lastNumber(), &p.Entries[i])
		part.Entries = append(part.Entries, e)
		if partSize >= each && i < len(p.Entries)-1 {
			part.Upper = e.Number
			parts = append(parts, part)
			part, partSize = Page{Lower: e.Number}, 0
		}
	}
	part.Upper = p.Upper
	return append(parts, part)
}

// lastNumber returns the number that the next entry of a page follows.
func (p *Page) lastNumber() JobNumber {
	if n := len(p.Entries); n > 0 {
		return p.Entries[n-1].Number
	}
	return p.Lower
}

// Build returns the operations that store an archive of the jobs, which must be in order, in a
// store without one. Tools and tests begin with it.
func Build(entries []Entry, limits *storage.Limits) ([]storage.Op, error) {
	var ops []storage.Op
	for _, page := range split(Page{Upper: LastJobNumber, Entries: entries}, maxPageBytes(limits)) {
		data, err := encode(pack(&page))
		if err != nil {
			return nil, err
		}
		ops = append(ops, storage.Op{Key: pageKey(page.Upper), Data: data})
	}
	return ops, nil
}
