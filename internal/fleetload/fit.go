package fleetload

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Point is the value Y of a figure at the value X of another one.
type Point struct{ X, Y float64 }

// Line is a least-squares fit of points. Residual is the largest vertical distance of a point from the
// line, relative to the largest |Y|.
type Line struct{ Slope, Intercept, Residual float64 }

// Fit fits a line. It returns an error if there are fewer than two values of X.
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
	var largest float64
	for _, p := range points {
		line.Residual = max(line.Residual, math.Abs(p.Y-line.Intercept-line.Slope*p.X))
		largest = max(largest, math.Abs(p.Y))
	}
	if largest > 0 {
		line.Residual /= largest
	}
	return line, nil
}

// Figures parses a result's JSON and returns its numbers by their paths, such as config.workers or
// roles.leader.cores.
func Figures(raw []byte) (map[string]float64, error) {
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fmt.Errorf("no result: %w", err)
	}
	figures := make(map[string]float64)
	flatten("", tree, figures)
	return figures, nil
}

// flatten adds the numbers of a JSON tree to figures.
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

// Slopes fits all figures of the results against the figure x, except those of the configuration. It returns an
// error if x is missing or does not vary.
func Slopes(results []map[string]float64, x string) (map[string]Line, error) {
	if len(results) == 0 {
		return nil, errors.New("there are no results")
	}
	lines := make(map[string]Line)
	for name := range results[0] {
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
