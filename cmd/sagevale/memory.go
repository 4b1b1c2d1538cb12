package main

import "runtime/debug"

const (
	// softLimitShare is the Go runtime's soft memory limit, as a share of the memory quota.
	softLimitShare = 0.7
	// gcThresholdShare is the size that a small heap may reach before garbage is collected, as a share of the memory
	// quota. The share is large so that collections are rare: with a small CPU quota, each collection delays all other
	// work for a long time.
	gcThresholdShare = 1.0 / 3
	// goMinHeapMB is the size that the Go runtime lets a small heap reach before it collects garbage, at a GC percentage
	// of 100. For other percentages, the size changes in proportion.
	goMinHeapMB = 4

	bytesPerMB = 1 << 20
)

// limitMemory sets the soft memory limit and the GC percentage of the Go runtime for a memory quota.
func limitMemory(memoryMB float64) {
	debug.SetMemoryLimit(int64(memoryMB * softLimitShare * bytesPerMB))
	debug.SetGCPercent(gcPercent(memoryMB))
}

// gcPercent returns the GC percentage for a memory quota, as for debug.SetGCPercent. It is at least the default, 100.
func gcPercent(memoryMB float64) int {
	return max(100, int(100*memoryMB*gcThresholdShare/goMinHeapMB))
}
