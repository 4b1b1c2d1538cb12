package main

import "testing"

// gcPercent must let a small heap grow to a third of the memory quota before garbage is collected. If this is less than
// goMinHeapMB, the size to which the Go runtime lets a heap grow by default, the heap may grow to goMinHeapMB. A heap that
// grows beyond goMinHeapMB must stay within the soft memory limit.
func TestGCPercent(t *testing.T) {
	for memoryMB, want := range map[float64]int{1: 100, 12: 100, 65: 541, 98: 816} {
		got := gcPercent(memoryMB)
		if got != want {
			t.Errorf("%v MB: %d percent, want %d", memoryMB, got, want)
		}
		if heap := float64(got) / 100 * goMinHeapMB; heap > max(goMinHeapMB, memoryMB*softLimitShare) {
			t.Errorf("%v MB: a small heap grows to %v MB, over the soft limit", memoryMB, heap)
		}
	}
}
