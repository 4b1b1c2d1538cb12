package fleetload

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Point holds the values of two figures in one result. Fit treats Y as a function of X.
type Point struct{ X, Y float64 }

// Line is the least-squares fit of points. Residual is the largest vertical distance of a point from the
// line, relative to the largest |Y| of the points.
type Line struct{ Slope, Intercept, Residual float64 }

// Fit returns the least-squares line through points. It returns an error if they have fewer than two distinct values
// of X.
func Fit(points []Point) (Line, error) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n, sx, sy, sxx, sxy = n+1, sx+p.X, sy+p.Y, sxx+p.X*p.X, sxy+p.X*p.Y
	}
	determinant := n*sxx - sx*sx
	if n < 2 || determinant == 0 {
		return Line{}, fmt.Errorf("cannot fit a line to %d points with fewer than two distinct x values", len(points))
	}
	line := Line{Slope: (n*sxy - sx*sy) / determinant}
	line.Intercept = (sy - line.Slope*sx) / n
	var maxAbsY float64
	for _, p := range points {
		line.Residual = max(line.Residual, math.Abs(p.Y-line.Intercept-line.Slope*p.X))
		maxAbsY = max(maxAbsY, math.Abs(p.Y))
	}
	if maxAbsY > 0 {
		line.Residual /= maxAbsY
	}
	return line, nil
}

// ParseFigures parses a result's JSON and returns the numbers in it. The keys are the paths of the numbers, such as
// config.workers or roles.leader.cores.
func ParseFigures(raw []byte) (map[string]float64, error) {
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fmt.Errorf("parse the result: %w", err)
	}
	figures := make(map[string]float64)
	flatten("", tree, figures)
	return figures, nil
}

// flatten adds the numbers of a JSON tree to figures. The keys are the paths of the numbers; path is the path of node.
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

// FitFigures fits the figures of the results against the figure x, and returns a line for each figure. It omits the
// figures of the configuration and the figures that some results lack. It returns an error if x is missing or does not vary.
func FitFigures(results []map[string]float64, x string) (map[string]Line, error) {
	if len(results) == 0 {
		return nil, errors.New("no results to fit")
	}
	lines := make(map[string]Line)
	for name := range results[0] {
		if name == x || strings.HasPrefix(name, "config.") {
			continue
		}
		var points []Point
		for _, r := range results {
			xValue, hasX := r[x]
			if !hasX {
				return nil, fmt.Errorf("a result has no figure %q", x)
			}
			if y, ok := r[name]; ok {
				points = append(points, Point{xValue, y})
			}
		}
		if line, err := Fit(points); err == nil && len(points) == len(results) {
			lines[name] = line
		}
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("no figure can be fitted against %q: it must differ between the results", x)
	}
	return lines, nil
}
