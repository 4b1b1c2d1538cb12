package transport

import "testing"

func TestLimitsConnections(t *testing.T) {
	for _, tc := range []struct {
		limits                         Limits
		connections, workerConnections int
	}{
		{Limits{Sockets: 1000}, 666, 500},
		{Limits{Sockets: 1000, MemoryMB: 65}, 666, 500},
		{Limits{Sockets: 800, MemoryMB: 65}, 533, 400},
		{Limits{Sockets: 10000, MemoryMB: 65}, 924, 693},
		{Limits{Sockets: 10000, MemoryMB: 16}, 227, 170},
		{Limits{Sockets: 1, MemoryMB: 0.001}, 1, 1},
	} {
		if got := tc.limits.connections(); got != tc.connections {
			t.Errorf("%+v: %d connections, want %d", tc.limits, got, tc.connections)
		}
		if got := tc.limits.workerConnections(); got != tc.workerConnections {
			t.Errorf("%+v: %d connections of workers, want %d", tc.limits, got, tc.workerConnections)
		}
	}
}
