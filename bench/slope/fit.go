package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a cost measured at several sizes.
type Series struct {
	Name        string  `json:"name"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"` // unit of Y
	SizeUnit    string  `json:"per"`  // what X counts
	Points      []Point `json:"points"`
}

// Line is a linear fit of cost to size.
type Line struct {
	base, slope, residual float64
}

// Fit returns the least-squares line through the points.
func Fit(l []Point) Line {
	x, y := make([]float64, len(l)), make([]float64, len(l))
	for i, p := range l {
		x[i], y[i] = p.X, p.Y
	}
	b, s := stat.LinearRegression(x, y, nil, false)
	f := Line{base: b, slope: s}
	top := 0.0
	for _, p := range l {
		f.residual = max(f.residual, math.Abs(p.Y-f.At(p.X)))
		top = max(top, math.Abs(p.Y))
	}
	if top > 0 {
		f.residual /= top
	}
	return f
}

// Base returns the cost at size zero.
func (l Line) Base() float64 { return l.base }

// Slope returns the additional cost when the size grows by one.
func (l Line) Slope() float64 { return l.slope }

// Residual returns the largest distance of a point from the line, as a fraction of the largest cost.
func (l Line) Residual() float64 { return l.residual }

// At returns the cost at size x, at least zero.
func (l Line) At(x float64) float64 { return max(l.base+l.slope*x, 0) }
