// Package setup reads and checks an entry's settings file and makes the entry's logger.
package setup
