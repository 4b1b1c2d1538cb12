package scheduler

import (
	"context"
	"sync"
	"time"
)

// backgroundCalls returns two functions. start calls f in a new goroutine with a context that ends after the timeout, or
// when ctx ends. wait waits for all goroutines that start has started.
func backgroundCalls(ctx context.Context) (start func(timeout time.Duration, f func(context.Context)), wait func()) {
	var calls sync.WaitGroup
	start = func(timeout time.Duration, f func(context.Context)) {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			f(callCtx)
		})
	}
	return start, calls.Wait
}
