package archive

import (
	"strconv"
	"strings"
)

// JobNumber is the position of a job ID among all valid IDs, starting at 1. Shorter IDs come before
// longer ones, and IDs of the same length are in numerical order.
type JobNumber uint64

// The protocol's limits on the number of digits in a job ID.
const (
	minDigits = 6
	maxDigits = 18
)

// LastJobNumber is the number of the last valid ID.
var LastJobNumber = firstNumber(maxDigits+1) - 1

// firstNumber returns the number of the first ID that has the given number of digits.
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

// ParseJobNumber returns the number of a job ID, which is given without its prefix. ok is false if the
// ID is invalid.
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

// ID returns the job ID of a number, without its prefix.
func (n JobNumber) ID() string {
	digits := minDigits
	for digits < maxDigits && n >= firstNumber(digits+1) {
		digits++
	}
	id := strconv.FormatUint(uint64(n-firstNumber(digits)), 10)
	return strings.Repeat("0", digits-len(id)) + id
}
