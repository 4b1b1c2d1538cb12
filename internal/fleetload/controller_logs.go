package fleetload

import (
	"context"
	"regexp"
	"strconv"
	"time"

	"sagevale/internal/loopbacktest"
)

// failoverPattern matches the line that a new leader logs once it has loaded the state, and captures how long the loading
// took. The first alternative matches the current message, the second one matches the message of previous versions.
var failoverPattern = regexp.MustCompile(`msg=(?:"failover complete" .* duration|take-over .* took)=(\S+)`)

// heapPattern matches a usage line that a leader logs at level debug, and captures the leader's live heap in MB.
var heapPattern = regexp.MustCompile(`msg=usage .*heap_live_mb=(\S+) .*role=leader`)

// leaderHeapMB returns the live heap from the latest usage line in the current leader's log, in MB. It returns 0 if there
// is no leader or its log has no usage line.
func leaderHeapMB(ctx context.Context, f *loopbacktest.Fleet) (mb float64) {
	leader := f.Leader(ctx)
	if leader == nil {
		return 0
	}
	for _, match := range heapPattern.FindAllStringSubmatch(f.Log(leader), -1) {
		if live, err := strconv.ParseFloat(match[1], 64); err == nil {
			mb = live
		}
	}
	return mb
}

// stateLoadTimes returns how long each new leader took to load the state, in milliseconds. It reads the logs of all
// controllers.
func stateLoadTimes(f *loopbacktest.Fleet) (milliseconds []float64) {
	for _, c := range f.Controllers {
		milliseconds = append(milliseconds, parseLoadTimes(f.Log(c))...)
	}
	return milliseconds
}

// parseLoadTimes returns the duration of each load of the state in a controller's log, in milliseconds.
func parseLoadTimes(log string) (milliseconds []float64) {
	for _, match := range failoverPattern.FindAllStringSubmatch(log, -1) {
		if duration, err := time.ParseDuration(match[1]); err == nil {
			milliseconds = append(milliseconds, float64(duration.Microseconds())/1000)
		}
	}
	return milliseconds
}
