package main

import "testing"

// A small heap grows to a third of the quota before garbage is collected, and at least to what the Go runtime lets it
// grow to by default.
func TestGCPercent(t *testing.T) {
	for memoryMB, want := range map[float64]int{1: 100, 12: 100, 65: 541, 98: 816} {
		got := gcPercent(memoryMB)
		if got != want {
			t.Errorf("%v MB: %d percent, want %d", memoryMB, got, want)
		}
		if heap := float64(got) / 100 * minHeapMB; heap > max(minHeapMB, memoryMB*heapShare) {
			t.Errorf("%v MB: a small heap grows to %v MB, over the soft limit", memoryMB, heap)
		}
	}
}
