package archive

import (
	"strconv"
	"strings"
)

// JobNumber stands for a job's id: ids with fewer digits come first, then smaller ones. The first
// number is 1.
type JobNumber uint64

// The numbers of digits that a job's id may have, by the protocol.
const (
	minDigits = 6
	maxDigits = 18
)

// LastJobNumber is the number of the last id.
var LastJobNumber = firstNumber(maxDigits+1) - 1

// firstNumber returns the number of the first id with so many digits.
func firstNumber(digits int) JobNumber {
	first, count := JobNumber(1), JobNumber(1)
	for d := range digits {
		if d >= minDigits {
			first += count
		}
		count *= 10
	}
	return first
}

// ParseJobNumber returns the number of a job's id without its prefix; ok is false if it is no id.
func ParseJobNumber(id string) (number JobNumber, ok bool) {
	if len(id) < minDigits || len(id) > maxDigits {
		return 0, false
	}
	var value JobNumber
	for _, digit := range []byte(id) {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		value = 10*value + JobNumber(digit-'0')
	}
	return firstNumber(len(id)) + value, true
}

// ID returns the id of a number, without its prefix.
func (n JobNumber) ID() string {
	digits := minDigits
	for digits < maxDigits && n >= firstNumber(digits+1) {
		digits++
	}
	id := strconv.FormatUint(uint64(n-firstNumber(digits)), 10)
	return strings.Repeat("0", digits-len(id)) + id
}
