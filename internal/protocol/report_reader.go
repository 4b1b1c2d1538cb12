package protocol

import (
	"bytes"
	"strconv"

	"sagevale/internal/worker"
)

// maxRememberedReport is the largest report that a ReportReader keeps, in bytes: one of
// a machine with some thirty tasks. A node holds one for each worker's connection.
const maxRememberedReport = 4 << 10

// seqField is what comes before a report's number on the wire.
var seqField = []byte(`"Tally":`)

// ReportReader reads the reports that come on one connection. Most differ from the one
// before only in their number; those are not decoded again. The zero value is ready.
type ReportReader struct {
	before, after []byte // the last report's bytes around its number; nil: none is kept
	last          worker.Report
}

// Read is ParseReport. The tasks of the reports that it returns may be shared.
func (p *ReportReader) Read(body []byte) (*worker.Report, error) {
	if r := p.repeated(body); r != nil {
		return r, nil
	}
	r, err := ParseReport(body)
	if err != nil {
		p.before, p.after = nil, nil
		return nil, err
	}
	p.remember(body, r)
	return r, nil
}

// repeated returns the report if it says what the last one said, under another number.
func (p *ReportReader) repeated(body []byte) *worker.Report {
	if p.before == nil || len(body) <= len(p.before)+len(p.after) || !bytes.HasPrefix(body, p.before) || !bytes.HasSuffix(body, p.after) {
		return nil
	}
	seq, ok := parseSeq(body[len(p.before) : len(body)-len(p.after)])
	if !ok {
		return nil
	}
	r := p.last
	r.Seq = seq
	return &r
}

// remember keeps a report, if it is certain where its number stands.
func (p *ReportReader) remember(body []byte, r *worker.Report) {
	p.before, p.after = nil, nil
	if len(body) > maxRememberedReport || r.NoticeSeconds != nil || bytes.IndexByte(body, '\\') >= 0 {
		return // with escapes a field could have another spelling
	}
	// Fields are matched in any case: the one that was found must be the only one.
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
	kept := bytes.Clone(body)
	p.before, p.after, p.last = kept[:start:start], kept[end:], *r
}

// parseSeq reads a report's number as JSON has it.
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
