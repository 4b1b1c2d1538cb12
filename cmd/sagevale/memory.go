package main

import "runtime/debug"

const (
	// heapShare is the share of the memory quota that is the Go runtime's soft limit.
	heapShare = 0.7
	// smallHeapShare is the share of the memory quota to which a small heap grows before garbage is collected: with
	// a small share of a processor, a collection delays everything else for long.
	smallHeapShare = 1.0 / 3
	// minHeapMB is the size to which the Go runtime lets a small heap grow at 100 percent.
	minHeapMB = 4

	bytesPerMB = 1 << 20
)

// limitMemory configures the garbage collector for a memory quota.
func limitMemory(memoryMB float64) {
	debug.SetMemoryLimit(int64(memoryMB * heapShare * bytesPerMB))
	debug.SetGCPercent(gcPercent(memoryMB))
}

// gcPercent returns the garbage collector's target percentage for a memory quota.
func gcPercent(memoryMB float64) int {
	return max(100, int(100*memoryMB*smallHeapShare/minHeapMB))
}
