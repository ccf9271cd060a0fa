// Package rig starts the platform's and the targets' stand-ins in the test's own process and entries as separate processes,
// which tests then kill, freeze and cut off.
package rig
