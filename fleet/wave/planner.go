package wave

import "burdockreach.dev/fleet/pool"

// Planner decides for one data centre's leader; a new one is made for each term, and the documents tell it where to go on.
type Planner struct {
	dataCentre string
	table      pool.Table
}

// New returns a planner for the data centre that has read nothing yet; count is the number of membership shards.
func New(dataCentre string, count int, opts ...Option) *Planner {
	p := &Planner{dataCentre: dataCentre, table: pool.NewTable(count)}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Option changes a planner's constants.
type Option func(*Planner)

// Table returns the membership as the planner knows it to be written.
func (p *Planner) Table() pool.Table { return p.table }

// Update takes one message in and returns what is to be done.
func (p *Planner) Update(_ Msg) []Cmd { return nil }
