package storage

// The journal's budget of changes is a token bucket, where a change is one operation of a
// transaction. Unused changes accumulate up to the burst. The methods of this file may be called
// from any goroutine.

// ChangeBudget returns how many changes the bucket holds now, its burst, and how many changes are
// added per second.
func (j *Journal) ChangeBudget() (changes, burst, rate float64) {
	return max(0, j.changeLimiter.Tokens()), float64(j.changeLimiter.Burst()), float64(j.changeLimiter.Limit())
}

// CanBurst reports whether the budget covers a transaction with the maximum number of changes,
// so that a commit doesn't have to wait for the rate limit.
func (j *Journal) CanBurst() bool {
	return j.changeLimiter.Tokens() >= float64(j.limitTracker.Limits().TxnOps)
}

// BytesPerChange returns how many bytes of uncompressed records one change can write.
func (j *Journal) BytesPerChange() float64 {
	return usableValueShare * float64(j.limitTracker.Limits().ValueBytes)
}

// AvailableBytes returns how many bytes of uncompressed records the journal can write now with the
// changes that its budget holds.
func (j *Journal) AvailableBytes() int {
	saved, _, _ := j.ChangeBudget()
	return int(saved * j.BytesPerChange())
}
