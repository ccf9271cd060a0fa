package main

import (
	"context"
	"os"
	"os/exec"
	"strings"

	"github.com/rotisserie/eris"
)

// cli runs an operators' command and returns its output; an error when its status is not 0.
func (s *site) cli(c context.Context, stdin string, words ...string) (string, error) {
	x := exec.CommandContext(c, s.program("burdockreach"), words...)
	x.Env = append(os.Environ(), "BURDOCKREACH_ENTRIES="+s.operators(), "BURDOCKREACH_TOKEN_FILE="+s.path("operator.token"))
	x.Stdin = strings.NewReader(stdin)
	b, err := x.CombinedOutput()
	out := strings.TrimRight(string(b), "\n")
	return out, eris.Wrapf(err, "burdockreach %s: %s", strings.Join(words, " "), out)
}

// operate prints a command and what it said.
func (s *site) operate(c context.Context, stdin string, words ...string) error {
	out, err := s.cli(c, stdin, words...)
	if err != nil {
		return err
	}
	pipe := ""
	if stdin != "" {
		pipe = "echo TOKEN | "
	}
	tell("$ %sburdockreach %s\n%s", pipe, strings.Join(words, " "), out)
	return nil
}

// configure creates everything through operators' commands.
func (s *site) configure(c context.Context) error {
	say("create a profile, pools, services, teams and an approval")
	for _, w := range [][]string{
		{"", "profile put -max-out 1 -min-vms 4 -drain-seconds 10 -reboot-seconds 20 -objective 0.99 steady"},
		{"", "pool put orders"}, {"", "pool put ledger"}, {"", "pool put -spare spare"},
		{"", "service put -profile steady -pool orders orders"},
		{"", "service put -profile steady -pool ledger ledger"},
		{deskToken, "team put -token-file - -quota 10000 desk"},
		{strangersToken, "team put -token-file - strangers"},
		{"", "approve desk orders"},
		{"", "approve -wait 10s desk ledger"},
	} {
		if err := s.operate(c, w[0], strings.Fields(w[1])...); err != nil {
			return err
		}
	}
	if err := s.ready(c); err != nil {
		return err
	}
	return s.operate(c, "", "status")
}
