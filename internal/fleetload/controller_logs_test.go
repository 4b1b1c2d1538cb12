package fleetload

import (
	"slices"
	"testing"
)

func TestParseLoadTimes(t *testing.T) {
	for _, tt := range []struct {
		name, log string
		want      []float64
	}{
		{
			name: "failover",
			log:  `time=2026-12-02T16:00:00.000Z level=INFO msg="failover complete" jobs=3 machines=20 attempts=60 duration=5.25ms` + "\n",
			want: []float64{5.25},
		},
		{
			name: "failover of an earlier version",
			log:  "time=2026-12-02T16:00:00.000Z level=INFO msg=take-over jobs=3 machines=20 attempts=60 took=1.5s\n",
			want: []float64{1500},
		},
		{
			name: "several failovers between other lines",
			log: `level=INFO msg="failover complete" jobs=3 duration=5ms` + "\n" +
				`level=INFO msg="leadership acquired" duration=7ms` + "\n" +
				`level=INFO msg="failover complete" jobs=4 duration=6ms` + "\n",
			want: []float64{5, 6},
		},
		{name: "no failover", log: "level=INFO msg=serving took=1s duration=1s\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := parseLoadTimes(tt.log); !slices.Equal(got, tt.want) {
				t.Errorf("got %v ms, want %v ms", got, tt.want)
			}
		})
	}
}
