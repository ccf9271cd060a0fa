package slope

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// unit tells how a figure is written.
type unit int

const (
	bytesOf unit = iota
	perSecond
	wire
	core
	nanos
	count
)

// row is one line of a role's table.
type row struct {
	what    string
	value   float64
	unit    unit
	limit   float64 // none if zero.
	from    string
	carrier string // the mechanism, and where in the code it stands.
	mend    string // for a figure over its limit.
}

func (r row) over() bool { return r.limit > 0 && r.value > r.limit }

// state tells how the figure stands to its limit and to half of it.
func (r row) state() string {
	switch {
	case r.limit == 0:
		return ""
	case r.over():
		return fmt.Sprintf("**over, %s times**", figure(r.value/r.limit))
	case r.value > aimShare*r.limit:
		return fmt.Sprintf("%.0f%%, over the aim", 100*r.value/r.limit)
	}
	return fmt.Sprintf("%.0f%%", 100*r.value/r.limit)
}

func (r row) shown() string { return show(r.value, r.unit) }

func show(v float64, u unit) string {
	switch u {
	case bytesOf:
		return scaled(v, "B")
	case perSecond:
		return figure(v) + "/s"
	case wire:
		return scaled(v, "B/s")
	case core:
		return fmt.Sprintf("%s%% of a core", figure(100*v))
	case nanos:
		return figure(v/1000) + " us"
	}
	return figure(v)
}

func scaled(v float64, u string) string {
	switch {
	case v >= 1e6:
		return figure(v/1e6) + " M" + u
	case v >= 1e3:
		return figure(v/1e3) + " k" + u
	}
	return figure(v) + " " + u
}

// figure writes three digits that count.
func figure(v float64) string {
	if v == math.Trunc(v) {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	if math.Abs(v) >= 100 {
		return strconv.FormatFloat(math.Round(v), 'f', -1, 64)
	}
	d := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', max(d, 0), 64)
}

// role is one table.
type role struct {
	title, about string
	rows         []row
}

func (t role) write(b *strings.Builder) {
	fmt.Fprintf(b, "## %s\n\n%s\n\n| what | figure | of the limit | worked out from | carried by |\n|---|---|---|---|---|\n", t.title, t.about)
	for _, r := range t.rows {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", r.what, r.shown(), r.state(), r.from, r.carrier)
	}
	b.WriteString("\n")
}
