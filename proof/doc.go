// Package proof holds the tests that run entries as separate processes and kill, freeze and disconnect them.
package proof
