package fleetload

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	const tolerance = 1e-9
	line, err := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(line.Slope-2) > tolerance || math.Abs(line.Intercept-3) > tolerance || line.Residual > tolerance {
		t.Errorf("got %+v, want slope 2, intercept 3 and no residual", line)
	}
}

func TestFitReportsResidualOfCurve(t *testing.T) {
	line, err := Fit([]Point{{1, 1}, {2, 4}, {4, 16}, {8, 64}})
	if err != nil {
		t.Fatal(err)
	}
	if line.Residual < 0.05 {
		t.Errorf("got residual %v for a square, want at least 0.05", line.Residual)
	}
}

func TestFitRejectsSingleX(t *testing.T) {
	if line, err := Fit([]Point{{1, 1}, {1, 2}}); err == nil {
		t.Errorf("got %+v, want an error", line)
	}
}

func TestFiguresByPath(t *testing.T) {
	figures, err := ParseFigures([]byte(`{"config":{"workers":3},"take_over_s":[0.5],"broken":null}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := figures["config.workers"]; got != 3 {
		t.Errorf("got config.workers %v, want 3", got)
	}
	if got := figures["take_over_s.0"]; got != 0.5 {
		t.Errorf("got take_over_s.0 %v, want 0.5", got)
	}
}
