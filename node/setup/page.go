package setup

import (
	"fmt"
	"strings"
)

const pageHead = `# Settings

An entry reads one JSON file, named by ` + "`burdockreach entry -settings FILE`" + `. ` + "`burdockreach check FILE`" + ` checks it
without starting anything, names every field that is not allowed and exits with status 2. Unknown fields are faults.
Addresses are IP numbers with a port. A field without a default must be given.

This page is written by ` + "`go test ./node/setup -run Page -update`" + `; a test holds it against the code.

| field | unit | default | allowed | meaning |
|---|---|---|---|---|
`

const pageTail = `
Between fields:

- ` + "`dataCentre`" + ` is one of ` + "`dataCentres`" + `.
- ` + "`callerAddr`, `peerAddr` and `operatorAddr`" + ` differ.
- ` + "`defaultDeadlineMs`" + ` is at most ` + "`maxDeadlineMs`" + `.
- ` + "`entryUnheardSeconds`" + ` is at least %d times ` + "`beatMs`" + `.
- ` + "`leaderLeaseMs`" + ` is at least %d times ` + "`tickMs`" + `.
`

// SettingsPage returns the content of docs/SETTINGS.md, generated from the table of fields.
func SettingsPage() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, f := range fields() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.name, f.unit, formatDefault(f.rule.defaultValue), f.rule.allowed, f.meaning)
	}
	fmt.Fprintf(&b, pageTail, minBeatsBeforeUnheard, minTicksInLease)
	return b.String()
}

// formatDefault returns the text of a default value in the settings page.
func formatDefault(v any) string {
	switch v := v.(type) {
	case nil:
		return "must be given"
	case []string:
		return "none"
	default:
		return fmt.Sprint(v)
	}
}
