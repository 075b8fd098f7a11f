package load

import (
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// Geometry of a plot, in pixels.
const (
	plotWidth  = 860
	plotHeight = 460
	plotLeft   = 70
	plotRight  = 220 // space for the legend
	plotTop    = 30
	plotBottom = 50
)

var plotColours = []string{"#1b6ca8", "#c0392b", "#1e8449", "#7d3c98", "#b9770e", "#2e4053", "#148f77", "#a93226"}

// tickPercentiles are the percentiles labelled on the horizontal axis.
var tickPercentiles = []float64{50, 90, 99, 99.9, 99.99}

// curve is a line of a plot with its label in the legend.
type curve struct {
	label  string
	points []Point
}

// Plot writes latency by percentile as SVG, with a curve for each class of each run. The horizontal axis is logarithmic
// in the fraction of requests above the percentile, the vertical axis in the latency.
func Plot(w io.Writer, title string, results ...*Result) error {
	curves := curvesOf(results)
	if len(curves) == 0 {
		return fmt.Errorf("no result has completed requests to plot")
	}
	minUs, maxUs := latencyBounds(curves)
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20" font-size="14">%s</text>`+"\n", plotLeft, escape(title))
	drawAxes(&b, minUs, maxUs)
	for i, c := range curves {
		drawCurve(&b, i, c, minUs, maxUs)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// curvesOf returns a curve for each class that has done requests and is not a stream.
func curvesOf(results []*Result) []curve {
	var out []curve
	for _, r := range results {
		for _, c := range r.Classes {
			if c.CountByOutcome[outcomeNames[Done]] > 0 && c.Class.Kind != KindStream {
				out = append(out, curve{label: r.Name + ": " + c.Class.Name, points: c.Curve})
			}
		}
	}
	return out
}

// latencyBounds returns the lower and upper limits of the latency axis in microseconds. Both are powers of ten, and all points
// lie between them.
func latencyBounds(curves []curve) (minUs, maxUs float64) {
	minUs, maxUs = math.Inf(1), 0
	for _, c := range curves {
		for _, p := range c.points {
			minUs, maxUs = min(minUs, float64(max(1, p.LatencyUs))), max(maxUs, float64(max(1, p.LatencyUs)))
		}
	}
	minUs, maxUs = math.Pow(10, math.Floor(math.Log10(minUs))), math.Pow(10, math.Ceil(math.Log10(maxUs)))
	if minUs == maxUs {
		maxUs *= 10
	}
	return minUs, maxUs
}

// rightEdgeNines is the percentile at the right edge of a plot, as a number of nines: 4 stands for 99.99 %.
const rightEdgeNines = 4.0

func xPosition(percentile float64) float64 {
	nines := rightEdgeNines
	if percentile < 100 {
		nines = min(rightEdgeNines, -math.Log10(1-percentile/100))
	}
	return plotLeft + nines/rightEdgeNines*(plotWidth-plotLeft-plotRight)
}

func yPosition(us, minUs, maxUs float64) float64 {
	heightFraction := math.Log10(max(minUs, us)/minUs) / math.Log10(maxUs/minUs)
	return plotHeight - plotBottom - heightFraction*(plotHeight-plotTop-plotBottom)
}

func drawAxes(b *strings.Builder, minUs, maxUs float64) {
	bottom, right := plotHeight-plotBottom, plotWidth-plotRight
	for _, p := range tickPercentiles {
		x := xPosition(p)
		fmt.Fprintf(b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ddd"/>`, x, plotTop, x, bottom)
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle">p%g</text>`+"\n", x, bottom+18, p)
	}
	for us := minUs; us <= maxUs*1.01; us *= 10 {
		y := yPosition(us, minUs, maxUs)
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>`, plotLeft, y, right, y)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`+"\n", plotLeft-6, y+4, time.Duration(us)*time.Microsecond)
	}
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#333"/>`+"\n", plotLeft, plotTop, right-plotLeft, bottom-plotTop)
}

func drawCurve(b *strings.Builder, curveIndex int, c curve, minUs, maxUs float64) {
	colour := plotColours[curveIndex%len(plotColours)]
	var path strings.Builder
	for _, p := range c.points {
		fmt.Fprintf(&path, "%.1f,%.1f ", xPosition(p.Percentile), yPosition(float64(p.LatencyUs), minUs, maxUs))
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="1.5"/>`+"\n", strings.TrimSpace(path.String()), colour)
	y := plotTop + 14 + 18*curveIndex
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="10" height="10" fill="%s"/>`, plotWidth-plotRight+10, y-9, colour)
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", plotWidth-plotRight+26, y, escape(c.label))
}

func escape(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s)) //nolint:errcheck // a strings.Builder does not fail
	return b.String()
}
