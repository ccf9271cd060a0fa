package main

import (
	"fmt"
	"io"
	"strings"
)

// row is one line of the table; goalMet reports whether this run meets the goal.
type row struct {
	metric, result, baseline, goal string
	goalMet                        bool
}

// writeTable writes the rows as a Markdown table.
func writeTable(w io.Writer, rows []row) error {
	if _, err := fmt.Fprintln(w, "| what | ours | beside | aim | kept |\n|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, r := range rows {
		k := "yes"
		if !r.goalMet {
			k = "**no**"
		}
		cells := []string{r.metric, r.result, r.baseline, r.goal, k}
		if _, err := fmt.Fprintln(w, "| "+strings.Join(cells, " | ")+" |"); err != nil {
			return err
		}
	}
	return nil
}
