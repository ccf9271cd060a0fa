// Package conf holds the operators' configuration: an ordered log of changes, the document they build, and its distribution.
package conf
