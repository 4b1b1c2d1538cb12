package protocol

import (
	"bytes"
	"strconv"

	"sagevale/internal/worker"
)

// maxCachedReport is the largest report that a ReportReader caches, in bytes: that of a machine with some thirty
// tasks. A controller caches one for each connection of a worker.
const maxCachedReport = 4 << 10

// seqField precedes a report's sequence number in JSON.
var seqField = []byte(`"Tally":`)

// ReportReader parses the reports that are received on one connection. Most differ from the previous one only in
// their sequence number; those aren't decoded again. The zero value is ready to use, by one goroutine at a time.
type ReportReader struct {
	prefix, suffix []byte // the cached report's bytes around its sequence number; nil: no report is cached
	cached         worker.Report
}

// Read parses a report as ParseReport does. The reports that it returns may share their tasks, which must not be
// changed.
func (p *ReportReader) Read(body []byte) (*worker.Report, error) {
	if r := p.unchanged(body); r != nil {
		return r, nil
	}
	r, err := ParseReport(body)
	if err != nil {
		p.prefix, p.suffix = nil, nil
		return nil, err
	}
	p.cache(body, r)
	return r, nil
}

// unchanged returns the report in body if it differs from the cached one only in its sequence number, and nil if not.
func (p *ReportReader) unchanged(body []byte) *worker.Report {
	if p.prefix == nil || len(body) <= len(p.prefix)+len(p.suffix) || !bytes.HasPrefix(body, p.prefix) || !bytes.HasSuffix(body, p.suffix) {
		return nil
	}
	seq, ok := parseSeq(body[len(p.prefix) : len(body)-len(p.suffix)])
	if !ok {
		return nil
	}
	r := p.cached
	r.Seq = seq
	return &r
}

// cache caches a report, if the position of its sequence number is unambiguous.
func (p *ReportReader) cache(body []byte, r *worker.Report) {
	p.prefix, p.suffix = nil, nil
	if len(body) > maxCachedReport || r.NoticeSeconds != nil || bytes.IndexByte(body, '\\') >= 0 {
		return // with escapes, a field may have several spellings
	}
	// encoding/json matches fields in any case: there must be only one spelling.
	if bytes.Count(bytes.ToLower(body), bytes.ToLower(seqField[1:len(seqField)-2])) != 1 {
		return
	}
	at := bytes.Index(body, seqField)
	if at < 0 {
		return
	}
	start := at + len(seqField)
	for start < len(body) && body[start] == ' ' {
		start++
	}
	end := start
	for end < len(body) && body[end] >= '0' && body[end] <= '9' {
		end++
	}
	if seq, ok := parseSeq(body[start:end]); !ok || seq != r.Seq {
		return
	}
	copied := bytes.Clone(body)
	p.prefix, p.suffix, p.cached = copied[:start:start], copied[end:], *r
}

// parseSeq parses a positive sequence number in JSON.
func parseSeq(digits []byte) (uint64, bool) {
	if len(digits) == 0 || digits[0] == '0' {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	seq, err := strconv.ParseUint(string(digits), 10, 64)
	return seq, err == nil
}
