// Package slope fits measured costs to sizes, keeps them in a record and works out from them a page of capacity at the
// size of design.
package slope
