package main

import "testing"

// A small heap grows to a third of the quota before it is collected, and never to less
// than the Go runtime lets it by itself.
func TestTheCollectorsPercentageFollowsTheQuota(t *testing.T) {
	for memoryMB, want := range map[float64]int{1: 100, 12: 100, 65: 541, 98: 816} {
		if got := gcPercent(memoryMB); got != want {
			t.Errorf("%v MB: %d percent", memoryMB, got)
		}
		if heap := float64(gcPercent(memoryMB)) / 100 * minHeapMB; heap > max(minHeapMB, memoryMB*heapShare) {
			t.Errorf("%v MB: a small heap grows to %v MB", memoryMB, heap)
		}
	}
}
