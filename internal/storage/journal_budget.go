package storage

// The journal's budget of changes is a token bucket, where a change is one operation of a
// transaction. Unused changes accumulate up to the burst. The methods of this file may be called
// from any goroutine.

// Budget returns how many changes the bucket holds now, its burst, and how many changes are
// added per second.
func (j *Journal) Budget() (changes, burst, rate float64) {
	return max(0, j.changeLimiter.Tokens()), float64(j.changeLimiter.Burst()), float64(j.changeLimiter.Limit())
}

// CanBurst reports whether the budget covers a transaction with the maximum number of changes,
// so that a commit doesn't have to wait for the rate limit.
func (j *Journal) CanBurst() bool {
	return j.changeLimiter.Tokens() >= float64(j.limitTracker.Limits().TxnOps)
}

// ChangeBytes returns how many bytes of uncompressed records one change can write.
func (j *Journal) ChangeBytes() float64 {
	return usableValueShare * float64(j.limitTracker.Limits().ValueBytes)
}

// SpareBytes returns how many bytes of uncompressed records the changes in the budget can write
// now.
func (j *Journal) SpareBytes() int {
	saved, _, _ := j.Budget()
	return int(saved * j.ChangeBytes())
}
