// Package rig starts a fleet for tests: a fake platform and fake targets in the test's own process, and entries as separate
// processes, which tests then kill, freeze and disconnect.
package rig
