package archive

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// prefix begins the keys of all pages.
	prefix = "archive/page/"
	// keyDigits is how many digits a page's key has, so that keys are ordered like numbers.
	keyDigits = 19
)

// pageKey returns the key of the page whose range ends with upper.
func pageKey(upper JobNumber) string {
	number := strconv.FormatUint(uint64(upper), 10)
	return prefix + strings.Repeat("0", keyDigits-len(number)) + number
}

// upperOf returns the end of a page's range from its key.
func upperOf(key string) (JobNumber, error) {
	number, ok := strings.CutPrefix(key, prefix)
	upper, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || len(number) != keyDigits || upper < 1 || JobNumber(upper) > LastJobNumber {
		return 0, &DamagedError{Key: key, Reason: "it is no page's key"}
	}
	return JobNumber(upper), nil
}

// DamagedError reports that a stored page can't be decoded. None of its jobs is known then.
type DamagedError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }
