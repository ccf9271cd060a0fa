// Package proof holds the tests that kill, freeze and cut off entries that run as processes of their own.
package proof
