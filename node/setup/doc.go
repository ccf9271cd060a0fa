// Package setup reads and validates an entry's settings file and creates the entry's logger.
package setup
