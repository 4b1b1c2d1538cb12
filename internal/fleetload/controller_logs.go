package fleetload

import (
	"context"
	"regexp"
	"strconv"
	"time"

	"sagevale/internal/loopbacktest"
)

// failoverLine matches the log line of a new leader that has loaded the state, with the duration. Controllers of
// earlier versions call it a take-over.
var failoverLine = regexp.MustCompile(`msg=(?:"failover complete" .* duration|take-over .* took)=(\S+)`)

// heapLine matches the usage line of a leader, with its live heap in MB.
var heapLine = regexp.MustCompile(`msg=usage .*heap_live_mb=(\S+) .*role=leader`)

// leaderHeapMB returns the live heap that the current leader logged last; 0 if it logged none.
func leaderHeapMB(ctx context.Context, f *loopbacktest.Fleet) (mb float64) {
	leader := f.Leader(ctx)
	if leader == nil {
		return 0
	}
	for _, match := range heapLine.FindAllStringSubmatch(f.Log(leader), -1) {
		if live, err := strconv.ParseFloat(match[1], 64); err == nil {
			mb = live
		}
	}
	return mb
}

// stateLoadTimes returns the durations that new leaders logged of loading the state, in milliseconds.
func stateLoadTimes(f *loopbacktest.Fleet) (milliseconds []float64) {
	for _, c := range f.Controllers {
		milliseconds = append(milliseconds, parseLoadTimes(f.Log(c))...)
	}
	return milliseconds
}

// parseLoadTimes returns the durations of loading the state in a controller's log, in milliseconds.
func parseLoadTimes(log string) (milliseconds []float64) {
	for _, match := range failoverLine.FindAllStringSubmatch(log, -1) {
		if duration, err := time.ParseDuration(match[1]); err == nil {
			milliseconds = append(milliseconds, float64(duration.Microseconds())/1000)
		}
	}
	return milliseconds
}
