package storage

// The journal may make only a limited number of changes per second. Each operation of a transaction
// is one change. A token bucket enforces this limit: it holds the changes that the journal may make
// now, and unused changes accumulate up to the burst. The methods of this file may be called from any
// goroutine.

// ChangeBudget returns how many changes the bucket holds now, how many it can hold (the burst), and
// how many changes are added per second.
func (j *Journal) ChangeBudget() (changes, burst, rate float64) {
	return max(0, j.changeLimiter.Tokens()), float64(j.changeLimiter.Burst()), float64(j.changeLimiter.Limit())
}

// CanBurst reports whether the bucket holds enough changes for the largest possible transaction,
// which makes Limits.TxnOps changes. A commit of one transaction then doesn't wait for the rate
// limit.
func (j *Journal) CanBurst() bool {
	return j.changeLimiter.Tokens() >= float64(j.limitTracker.Limits().TxnOps)
}

// BytesPerChange returns how many bytes of uncompressed records one change can write, which is the
// maximum size of a chunk.
func (j *Journal) BytesPerChange() float64 {
	return usableValueShare * float64(j.limitTracker.Limits().ValueBytes)
}

// AvailableBytes returns how many bytes of uncompressed records the journal can write now with the
// changes that the bucket holds.
func (j *Journal) AvailableBytes() int {
	saved, _, _ := j.ChangeBudget()
	return int(saved * j.BytesPerChange())
}
