package burn

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	legendShare       = 0.2 // share of the plot's width that is kept free for the legend
	maxHoursForRecent = 2
	pictureWidth      = 24 * vg.Centimeter
	pictureHeight     = 12 * vg.Centimeter
)

// WriteSVG draws the burn rate of each series by hour, or by half minute when at most two hours have requests.
func (r Report) WriteSVG(w io.Writer) error {
	p, err := r.draw()
	if err != nil {
		return eris.Wrap(err, "burn: draw")
	}
	c, err := p.WriterTo(pictureWidth, pictureHeight, "svg")
	if err != nil {
		return eris.Wrap(err, "burn: draw")
	}
	_, err = c.WriteTo(w)
	return eris.Wrap(err, "burn: write picture")
}

func (r Report) draw() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Burn rate; 1 spends the error budget exactly"
	p.X.Tick.Marker = plot.TimeTicks{Format: "Jan 2\n15:04"}
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	limit := plotter.NewFunction(func(float64) float64 { return slowRate })
	limit.Dashes = plotutil.Dashes(1)
	p.Add(limit)
	p.Legend.Add("budget", limit)
	p.X.Min, p.X.Max, p.Y.Max = float64(r.At.Add(-time.Hour).Unix()), float64(r.At.Unix()), slowRate
	for i, s := range r.Services {
		if len(s.Recent)+len(s.Hours) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.curve())
		if err != nil {
			return nil, eris.Wrapf(err, "burn: service %s", s.Service)
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(0)
		p.Add(l)
		p.Legend.Add(s.Service+" "+s.Class, l)
	}
	p.X.Max += legendShare * (p.X.Max - p.X.Min)
	return p, nil
}

// curve returns the points of the series by hour, or by half minute when at most maxHoursForRecent hours have requests.
func (s ServiceReport) curve() plotter.XYs {
	ps := s.Recent
	if len(s.Hours) > maxHoursForRecent || len(ps) == 0 {
		ps = s.Hours
	}
	xy := make(plotter.XYs, 0, len(ps))
	for _, p := range ps {
		xy = append(xy, plotter.XY{X: float64(p.Start.Unix()), Y: p.Counts.Rate(s.Objective)})
	}
	return xy
}
