package scheduler

import (
	"context"
	"sync"
	"time"
)

// backgroundCalls returns a function that runs a call in a goroutine of its own, for a limited time and no longer than
// ctx, and a function that waits for all such calls.
func backgroundCalls(ctx context.Context) (start func(limit time.Duration, f func(context.Context)), wait func()) {
	var calls sync.WaitGroup
	start = func(limit time.Duration, f func(context.Context)) {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			f(callCtx)
		})
	}
	return start, calls.Wait
}
