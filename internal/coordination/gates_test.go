package coordination

import (
	"testing"

	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// What the journal may write follows the gate: while that is being withdrawn, a record that
// is too large for a plain chunk must still be written, or every commit would stand still.
func TestTheJournalsEncodingFollowsItsGate(t *testing.T) {
	for _, c := range []struct {
		gate upgrade.GateState
		want storage.Encoding
	}{
		{upgrade.GateState{}, storage.PlainOnly},
		{upgrade.GateState{Phase: upgrade.GateOpen}, storage.PlainOnly},
		{upgrade.GateState{Phase: upgrade.GateOpen, Used: true}, storage.AnyEncoding},
		{upgrade.GateState{Phase: upgrade.GateWithdrawing, Used: true}, storage.PlainWherePossible},
		{upgrade.GateState{Phase: upgrade.GateWithdrawing}, storage.PlainOnly},
	} {
		record := upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.CompressedChunks: c.gate}}
		if got := encodingOf(record); got != c.want {
			t.Errorf("%+v: %v instead of %v", c.gate, got, c.want)
		}
	}
}
