package scale

import (
	"math"
	"sort"
)

// Point is one figure at one size.
type Point struct{ Size, Value float64 }

// Fit is how a figure grows with size: base + slope * size^power, with power 1 or 2, whichever leaves less.
type Fit struct {
	Base, Slope float64
	Power       int
	// Scatter is the typical distance of the points from the fit, as a part of their values.
	Scatter float64
	// Points is how many there were; a fit needs three.
	Points int
	// Greatest is the greatest size that was measured.
	Greatest float64
}

// leastPoints is how many sizes a fit needs.
const leastPoints = 3

// FitPoints fits points of three sizes or more; fewer give a fit that is not one.
func FitPoints(points []Point) (Fit, bool) {
	points = append([]Point{}, points...)
	sort.Slice(points, func(left, right int) bool { return points[left].Size < points[right].Size })
	sizes := map[float64]bool{}
	for _, point := range points {
		sizes[point.Size] = true
	}
	if len(sizes) < leastPoints {
		return Fit{Points: len(points)}, false
	}
	best := Fit{Scatter: math.Inf(1)}
	powers := []int{1, 2}
	// Three points lie near a square through two terms whatever they are.
	if len(sizes) == leastPoints {
		powers = powers[:1]
	}
	for _, power := range powers {
		made := fitPower(points, power)
		// A square is only believed where it is clearly nearer; two terms always follow noise a little.
		if made.Scatter < 0.8*best.Scatter {
			best = made
		}
	}
	// What falls as the fleet grows is taken as level; a line through it would soon give less than nothing.
	if best.Slope < 0 {
		best = fitLevel(points)
	}
	best.Points, best.Greatest = len(points), points[len(points)-1].Size
	return best, true
}

// fitPower weighs each point by its own value, so that the small sizes count as much as the great ones.
func fitPower(points []Point, power int) Fit {
	var weight, x, y, xx, xy float64
	for _, point := range points {
		size := math.Pow(point.Size, float64(power))
		own := 1 / math.Max(point.Value*point.Value, 1e-18)
		weight += own
		x += own * size
		y += own * point.Value
		xx += own * size * size
		xy += own * size * point.Value
	}
	fit := Fit{Power: power}
	if below := weight*xx - x*x; below > 0 {
		fit.Slope = (weight*xy - x*y) / below
	}
	fit.Base = (y - fit.Slope*x) / weight
	sum := 0.0
	for _, point := range points {
		far := (fit.At(point.Size) - point.Value) / math.Max(math.Abs(point.Value), 1e-9)
		sum += far * far
	}
	fit.Scatter = math.Sqrt(sum / float64(max(1, len(points)-2)))
	return fit
}

// fitLevel takes points as one figure whatever the size.
func fitLevel(points []Point) Fit {
	fit, sum := Fit{Power: 1}, 0.0
	for _, point := range points {
		fit.Base += point.Value / float64(len(points))
	}
	for _, point := range points {
		far := (fit.Base - point.Value) / math.Max(math.Abs(point.Value), 1e-9)
		sum += far * far
	}
	fit.Scatter = math.Sqrt(sum / float64(len(points)-1))
	return fit
}

// At gives the fitted figure at a size.
func (fit Fit) At(size float64) float64 {
	return fit.Base + fit.Slope*math.Pow(size, float64(fit.Power))
}
