package main

import (
	"encoding/json"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// table prints the rows in aligned columns under their headings. It replaces empty values by "-".
func (a *app) table(columns []string, rows [][]string) error {
	var b strings.Builder
	for _, r := range append([][]string{columns}, rows...) {
		for i, s := range r {
			if s == "" {
				r[i] = "-"
			}
		}
		b.WriteString(strings.Join(r, "\t") + "\n")
	}
	t := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	if _, err := t.Write([]byte(b.String())); err != nil {
		return eris.Wrap(err, "write output")
	}
	return eris.Wrap(t.Flush(), "write output")
}

// writeJSON prints v as indented JSON.
func (a *app) writeJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	return a.printf("%s\n", b)
}
