package slope

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// unit is the unit of a value and selects its format.
type unit int

const (
	unitBytes unit = iota
	unitPerSecond
	unitBytesPerSecond
	unitCores
	unitNanos
	unitCount
)

// row is one line of a role's table.
type row struct {
	metric     string
	value      float64
	unit       unit
	limit      float64 // zero if there is none
	derivation string
	mechanism  string // what causes the cost, with its source file
	proposal   string // remedy for a value over its limit
}

func (r row) exceedsLimit() bool { return r.limit > 0 && r.value > r.limit }

// limitShare returns the value as a share of its limit, and notes if it is over the limit or over the aim, half of the limit.
func (r row) limitShare() string {
	switch {
	case r.limit == 0:
		return ""
	case r.exceedsLimit():
		return fmt.Sprintf("**over, %s times**", formatNumber(r.value/r.limit))
	case r.value > aimShare*r.limit:
		return fmt.Sprintf("%.0f%%, over the aim", 100*r.value/r.limit)
	}
	return fmt.Sprintf("%.0f%%", 100*r.value/r.limit)
}

func (r row) formatted() string { return formatValue(r.value, r.unit) }

func formatValue(v float64, u unit) string {
	switch u {
	case unitBytes:
		return formatScaled(v, "B")
	case unitPerSecond:
		return formatNumber(v) + "/s"
	case unitBytesPerSecond:
		return formatScaled(v, "B/s")
	case unitCores:
		return fmt.Sprintf("%s%% of a core", formatNumber(100*v))
	case unitNanos:
		return formatNumber(v/1000) + " us"
	}
	return formatNumber(v)
}

func formatScaled(v float64, u string) string {
	switch {
	case v >= 1e6:
		return formatNumber(v/1e6) + " M" + u
	case v >= 1e3:
		return formatNumber(v/1e3) + " k" + u
	}
	return formatNumber(v) + " " + u
}

// formatNumber returns v with three significant digits; whole numbers are written in full.
func formatNumber(v float64) string {
	if v == math.Trunc(v) {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	if math.Abs(v) >= 100 {
		return strconv.FormatFloat(math.Round(v), 'f', -1, 64)
	}
	d := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', max(d, 0), 64)
}

// role is a titled table of costs, mostly those of one part of the system.
type role struct {
	title, summary string
	rows           []row
}

func (t role) write(b *strings.Builder) {
	fmt.Fprintf(b, "## %s\n\n%s\n\n| what | figure | of the limit | worked out from | carried by |\n|---|---|---|---|---|\n", t.title, t.summary)
	for _, r := range t.rows {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", r.metric, r.formatted(), r.limitShare(), r.derivation, r.mechanism)
	}
	b.WriteString("\n")
}
