package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCommandLines(t *testing.T) {
	c, cancel := context.WithCancel(context.Background())
	cancel() // each server that starts stops at once.
	good := filepath.Join(t.TempDir(), "platform.json")
	if err := os.WriteFile(good, []byte(`{"addr": "127.0.0.1:0", "lagMs": 10, "vms": [{"id": "vm-1"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "platform.json")
	if err := os.WriteFile(bad, []byte(`{"adr": "127.0.0.1:0"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for line, want := range map[string]int{
		"":                              exitUsage,
		"none":                          exitUsage,
		"platform -settings " + good:    exitOK,
		"platform -settings " + bad:     exitUsage,
		"platform -settings none":       exitUsage,
		"target":                        exitUsage,
		"target -name vm-1 -addr x":     exitUsage,
		"target -h":                     exitOK,
		"cutter -listen 127.0.0.1:0":    exitUsage,
		"cutter -listen x -to 10.0.0.1": exitFailed,
	} {
		t.Run(line, func(t *testing.T) {
			var b bytes.Buffer
			got := run(c, strings.Fields(line), &b)
			i := is.New(t)
			i.Equal(got, want)
			i.Equal(want == exitOK && !strings.Contains(line, "-h"), b.Len() == 0)
		})
	}
}
