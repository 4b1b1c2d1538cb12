// Package archive keeps the final states of jobs that are over, outside of the journal and
// of the leader's table.
//
// Jobs are ordered by rank, a number that stands for their id. A page holds the jobs of one
// range of ranks, compressed, under one key of the state service, which names the range's
// upper end: the first key that isn't below a rank is the page of it. Pages are written by
// the leader alone, each conditional on its leadership key and on the page's version, so a
// write that comes late or twice is without effect once another one has followed.
//
// A final state never changes, so whoever has read a page may tell what it holds for good. That a
// job is in no page is known only to a leader that has read the page after its take-over.
//
// Rank, Page and Index do no input or output; Keeper is the actor that reads and writes pages.
package archive

import (
	"strconv"
)

// JobNumber stands for a job's id: ids of fewer digits come first, then smaller numbers. The first is 1.
type JobNumber uint64

// The digits of a job's id, by the protocol.
const (
	minDigits = 6
	maxDigits = 18
)

// LastJobNumber is that of the largest id.
var LastJobNumber = firstRank(maxDigits+1) - 1

// firstRank is the rank of the smallest id of so many digits.
func firstRank(digits int) JobNumber {
	first, count := JobNumber(1), JobNumber(1)
	for d := range digits {
		if d >= minDigits {
			first += count
		}
		count *= 10
	}
	return first
}

// ParseJobNumber returns the rank of a job's id without its prefix; ok is false if it is no id.
func ParseJobNumber(id string) (rank JobNumber, ok bool) {
	if len(id) < minDigits || len(id) > maxDigits {
		return 0, false
	}
	var number JobNumber
	for _, digit := range []byte(id) {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		number = 10*number + JobNumber(digit-'0')
	}
	return firstRank(len(id)) + number, true
}

// ID returns the id of a rank, without its prefix.
func (r JobNumber) ID() string {
	digits := minDigits
	for digits < maxDigits && r >= firstRank(digits+1) {
		digits++
	}
	id := strconv.FormatUint(uint64(r-firstRank(digits)), 10)
	for len(id) < digits {
		id = "0" + id
	}
	return id
}
