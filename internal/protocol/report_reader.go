package protocol

import (
	"bytes"
	"strconv"

	"sagevale/internal/worker"
)

// maxCachedReportBytes is the size of the largest report that a ReportReader caches. The size suffices for a machine with
// about thirty tasks. It is limited because a controller caches one report for each connection from a worker.
const maxCachedReportBytes = 4 << 10

// seqField is the JSON text that precedes a report's sequence number.
var seqField = []byte(`"Tally":`)

// ReportReader parses the reports that are received on one connection. It caches the report that it decoded last. A report
// that differs from the cached one only in the sequence number, as most reports do, isn't decoded again. The zero value is
// ready to use. A ReportReader must not be used by several goroutines at once.
type ReportReader struct {
	prefix, suffix []byte // bytes of the cached report before and after its sequence number; nil: no report is cached
	cached         worker.Report
}

// Read parses a report and returns the same result as ParseReport. The returned reports may share their Tasks slices,
// which must not be modified.
func (reader *ReportReader) Read(body []byte) (*worker.Report, error) {
	if r := reader.readUnchanged(body); r != nil {
		return r, nil
	}
	r, err := ParseReport(body)
	if err != nil {
		reader.prefix, reader.suffix = nil, nil
		return nil, err
	}
	reader.cache(body, r)
	return r, nil
}

// readUnchanged returns the report in body if it differs from the cached report only in its sequence number, and nil
// otherwise.
func (reader *ReportReader) readUnchanged(body []byte) *worker.Report {
	if reader.prefix == nil || len(body) <= len(reader.prefix)+len(reader.suffix) || !bytes.HasPrefix(body, reader.prefix) || !bytes.HasSuffix(body, reader.suffix) {
		return nil
	}
	seq, ok := parseSeq(body[len(reader.prefix) : len(body)-len(reader.suffix)])
	if !ok {
		return nil
	}
	r := reader.cached
	r.Seq = seq
	return &r
}

// cache caches the report r, which was decoded from body, if three conditions hold: the body is small enough, the report
// has no preemption notice, and the position of the sequence number in the body is unambiguous. If a condition
// doesn't hold, no report is cached afterwards.
func (reader *ReportReader) cache(body []byte, r *worker.Report) {
	reader.prefix, reader.suffix = nil, nil
	if len(body) > maxCachedReportBytes || r.NoticeSeconds != nil || bytes.IndexByte(body, '\\') >= 0 {
		return // a backslash may belong to a field name with escape sequences, which the search below wouldn't find
	}
	// encoding/json matches field names regardless of case. The field name must therefore occur exactly once in body, in
	// upper or lower case.
	if bytes.Count(bytes.ToLower(body), bytes.ToLower(seqField[1:len(seqField)-2])) != 1 {
		return
	}
	fieldIndex := bytes.Index(body, seqField)
	if fieldIndex < 0 {
		return
	}
	start := fieldIndex + len(seqField)
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
	reader.prefix, reader.suffix, reader.cached = copied[:start:start], copied[end:], *r
}

// parseSeq parses a sequence number in JSON. The number must be positive and have no leading zero.
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
