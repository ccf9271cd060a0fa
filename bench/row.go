package main

import (
	"fmt"
	"io"
	"strings"
)

// row is one line of the table; kept tells whether the aim is kept in this run.
type row struct {
	what, ours, beside, aim string
	kept                    bool
}

// table writes the rows as Markdown, the figure first.
func table(w io.Writer, rows []row) error {
	if _, err := fmt.Fprintln(w, "| what | ours | beside | aim | kept |\n|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, r := range rows {
		k := "yes"
		if !r.kept {
			k = "**no**"
		}
		cells := []string{r.what, r.ours, r.beside, r.aim, k}
		if _, err := fmt.Fprintln(w, "| "+strings.Join(cells, " | ")+" |"); err != nil {
			return err
		}
	}
	return nil
}
