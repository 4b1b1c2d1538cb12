package storage_test

import (
	"fmt"
	"testing"

	"sagevale/internal/storage"
)

func TestLimitTrackerLowersLimitsOnFirstLimitError(t *testing.T) {
	tracker := trackerWithNext(lowestLimits)
	for _, err := range []error{storage.ErrRefused, nil, storage.ErrOutcomeUnknown} {
		if tracker.Observe(err) {
			t.Errorf("%v lowers the limits", err)
		}
	}
	if !tracker.Observe(fmt.Errorf("status: %w", storage.ErrRateLimited)) {
		t.Errorf("%v doesn't lower the limits", storage.ErrRateLimited)
	}
	if l := tracker.Limits(); l.ChangesPerS != 15 || l.ValueBytes != 8192 || l.RequestsPerS != 100 {
		t.Errorf("after %v: got %+v, want lower rates", storage.ErrRateLimited, l)
	}
	if !tracker.Observe(storage.ErrMalformed) || tracker.Observe(storage.ErrMalformed) {
		t.Errorf("%v doesn't lower the limits exactly once", storage.ErrMalformed)
	}
	if l := tracker.Limits(); l.ValueBytes != 2048 || l.TxnOps != 4 {
		t.Errorf("after %v: got %+v, want lower sizes", storage.ErrMalformed, l)
	}
	if storage.NewLimitTracker(initialLimits).Observe(storage.ErrMalformed) {
		t.Error("limits were lowered although no lower ones are known")
	}
}
