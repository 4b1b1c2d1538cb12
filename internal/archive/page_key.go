package archive

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// pagePrefix is the prefix of all page keys.
	pagePrefix = "archive/page/"
	// keyDigits is the number of digits in a page key. It is fixed so that keys sort like numbers.
	keyDigits = 19
)

// pageKey returns the key of the page whose upper end is upper.
func pageKey(upper JobNumber) string {
	number := strconv.FormatUint(uint64(upper), 10)
	return pagePrefix + strings.Repeat("0", keyDigits-len(number)) + number
}

// parsePageKey returns the upper end of a page from its key.
func parsePageKey(key string) (JobNumber, error) {
	number, ok := strings.CutPrefix(key, pagePrefix)
	upper, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || len(number) != keyDigits || upper < 1 || JobNumber(upper) > LastJobNumber {
		return 0, &DamagedError{Key: key, Reason: "not a valid page key"}
	}
	return JobNumber(upper), nil
}

// DamagedError reports that a stored page can't be used. The final states of the jobs in the page are then
// unknown.
type DamagedError struct {
	Key    string
	Reason string
}

// Error implements the error interface.
func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }
