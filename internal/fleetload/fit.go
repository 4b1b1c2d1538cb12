package fleetload

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
)

// Point is one figure at one size.
type Point struct{ X, Y float64 }

// Line is a least-squares fit of points. Residual is the largest distance of a point from it, as a
// share of the largest Y.
type Line struct{ Slope, Intercept, Residual float64 }

// Fit fits a line. It needs two sizes at least.
func Fit(points []Point) (Line, error) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n, sx, sy, sxx, sxy = n+1, sx+p.X, sy+p.Y, sxx+p.X*p.X, sxy+p.X*p.Y
	}
	determinant := n*sxx - sx*sx
	if n < 2 || determinant == 0 {
		return Line{}, fmt.Errorf("%d points at one size make no line", len(points))
	}
	line := Line{Slope: (n*sxy - sx*sy) / determinant}
	line.Intercept = (sy - line.Slope*sx) / n
	var most float64
	for _, p := range points {
		line.Residual = max(line.Residual, math.Abs(p.Y-line.Intercept-line.Slope*p.X))
		most = max(most, math.Abs(p.Y))
	}
	if most > 0 {
		line.Residual /= most
	}
	return line, nil
}

// Figures reads a result's figures by their paths, such as config.workers or roles.leader.cores.
func Figures(raw []byte) (map[string]float64, error) {
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fmt.Errorf("no result: %w", err)
	}
	figures := make(map[string]float64)
	flatten("", tree, figures)
	return figures, nil
}

func flatten(path string, node any, figures map[string]float64) {
	join := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
	switch node := node.(type) {
	case float64:
		figures[path] = node
	case map[string]any:
		for name, child := range node {
			flatten(join(name), child, figures)
		}
	case []any:
		for i, child := range node {
			flatten(join(strconv.Itoa(i)), child, figures)
		}
	}
}

// Slopes fits every figure of the results that changes against one of them.
func Slopes(results []map[string]float64, x string) (map[string]Line, error) {
	lines := make(map[string]Line)
	for _, name := range names(results) {
		if name == x || strings.HasPrefix(name, "config.") {
			continue
		}
		var points []Point
		for _, r := range results {
			at, known := r[x]
			if !known {
				return nil, fmt.Errorf("a result has no figure %q", x)
			}
			if y, ok := r[name]; ok {
				points = append(points, Point{at, y})
			}
		}
		if line, err := Fit(points); err == nil && len(points) == len(results) {
			lines[name] = line
		}
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("the results differ in no size of %q", x)
	}
	return lines, nil
}

func names(results []map[string]float64) []string {
	var all []string
	if len(results) > 0 {
		for name := range results[0] {
			all = append(all, name)
		}
	}
	sort.Strings(all)
	return all
}
