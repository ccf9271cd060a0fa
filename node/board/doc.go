// Package board holds the newest configuration and the maintenance waves that this process has read from the store. It tells which team
// a caller's key admits.
package board
