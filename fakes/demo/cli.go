package main

import (
	"context"
	"os"
	"os/exec"
	"strings"

	"github.com/rotisserie/eris"
)

// runCLI runs a burdockreach command as an operator and returns its output, or an error if its exit status is not 0.
func (s *fleet) runCLI(c context.Context, stdin string, words ...string) (string, error) {
	x := exec.CommandContext(c, s.program("burdockreach"), words...)
	x.Env = append(os.Environ(), "BURDOCKREACH_ENTRIES="+s.operatorAddrs(), "BURDOCKREACH_TOKEN_FILE="+s.path("operator.token"))
	x.Stdin = strings.NewReader(stdin)
	b, err := x.CombinedOutput()
	out := strings.TrimRight(string(b), "\n")
	return out, eris.Wrapf(err, "burdockreach %s: %s", strings.Join(words, " "), out)
}

// runAndPrint runs a burdockreach command and prints the command line and its output.
func (s *fleet) runAndPrint(c context.Context, stdin string, words ...string) error {
	out, err := s.runCLI(c, stdin, words...)
	if err != nil {
		return err
	}
	pipe := ""
	if stdin != "" {
		pipe = "echo TOKEN | "
	}
	printLine("$ %sburdockreach %s\n%s", pipe, strings.Join(words, " "), out)
	return nil
}

// configure creates the profile, pools, services, teams and approvals through operator commands and waits until all entries are ready.
func (s *fleet) configure(c context.Context) error {
	printStep("create a profile, pools, services, teams and an approval")
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
		if err := s.runAndPrint(c, w[0], strings.Fields(w[1])...); err != nil {
			return err
		}
	}
	if err := s.awaitReady(c); err != nil {
		return err
	}
	return s.runAndPrint(c, "", "status")
}
