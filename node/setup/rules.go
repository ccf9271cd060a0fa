package setup

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// rule validates the value of one field. valid receives the pointer that field.pointer returns.
// A field whose defaultValue is nil is required.
type rule struct {
	allowed      string
	defaultValue any
	valid        func(v any) bool
}

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels     = []string{"trace", "debug", "info", "warn", "error", "disabled"}
)

const (
	nameAllowed = "1 to 63 letters, digits, '-', '_' or '.'"
	addrAllowed = "an IP number and a port from 1 to 65535, as 10.0.0.1:7000"
)

// ValidName reports whether s is a valid name of a VM, data centre, pool, profile, service, team or wave.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// AllowedNames describes which names are valid, for error messages.
func AllowedNames() string { return nameAllowed }

func nameRule() rule {
	return rule{allowed: nameAllowed, valid: func(v any) bool { return ValidName(*v.(*string)) }}
}

func namesRule() rule {
	return rule{
		allowed: "a list of one or more different names, each " + nameAllowed,
		valid:   func(v any) bool { l := *v.(*[]string); return len(l) > 0 && distinct(l, ValidName) },
	}
}

func addrRule() rule {
	return rule{allowed: addrAllowed, valid: func(v any) bool { return validAddr(*v.(*string)) }}
}

func addrsRule() rule {
	return rule{
		allowed:      "a list of different addresses, each " + addrAllowed,
		defaultValue: []string(nil),
		valid:        func(v any) bool { return distinct(*v.(*[]string), validAddr) },
	}
}

func digestsRule() rule {
	return rule{
		allowed:      "a list of different SHA-256 digests, each 64 of 0-9 and a-f",
		defaultValue: []string(nil),
		valid:        func(v any) bool { return distinct(*v.(*[]string), digestPattern.MatchString) },
	}
}

func levelRule() rule {
	return rule{
		allowed:      "one of " + strings.Join(logLevels, ", "),
		defaultValue: "info",
		valid:        func(v any) bool { return slices.Contains(logLevels, *v.(*string)) },
	}
}

func numberRule(def, lo, hi int64) rule {
	return rule{
		allowed:      fmt.Sprintf("a whole number from %d to %d", lo, hi),
		defaultValue: def,
		valid:        func(v any) bool { n := *v.(*int64); return n >= lo && n <= hi },
	}
}

// validAddr reports whether s is an IP address with a port other than 0.
func validAddr(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// distinct reports whether every element passes ok and no element occurs twice.
func distinct(l []string, ok func(string) bool) bool {
	seen := make(map[string]bool, len(l))
	for _, s := range l {
		if seen[s] || !ok(s) {
			return false
		}
		seen[s] = true
	}
	return true
}
