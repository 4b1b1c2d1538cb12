package storage

// The journal's budget of changes is a token bucket: changes that aren't made are saved up to
// a burst. The methods of this file may be called from any goroutine.

// Budget returns how many changes could be made at once, how many can be saved up, and how
// many are added a second.
func (j *Journal) Budget() (changes, burst, rate float64) {
	return max(0, j.limiter.Tokens()), float64(j.limiter.Burst()), float64(j.limiter.Limit())
}

// CanBurst reports whether all changes of one transaction could be made at once. Then
// commits don't have to wait for the rate of the changes.
func (j *Journal) CanBurst() bool {
	return j.limiter.Tokens() >= float64(j.limitTracker.Limits().TxnOps)
}

// ChangeBytes returns how many bytes of records one change writes.
func (j *Journal) ChangeBytes() float64 {
	return valueShare * float64(j.limitTracker.Limits().ValueBytes)
}

// SpareBytes returns how many bytes of records could be written at once from the saved changes.
func (j *Journal) SpareBytes() int {
	saved, _, _ := j.Budget()
	return int(saved * j.ChangeBytes())
}
