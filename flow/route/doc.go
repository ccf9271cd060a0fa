// Package route chooses the target of each send among those with a free slot.
//
// The least loaded target relative to its slots is chosen, spread over racks, in constant time.
// A target that fails everything is ejected and tried again by one request at a time; a share of the pool always stays in use.
// A leaving target gets nothing new from the moment it is known.
// Times are durations since a start that the owner of the Pool chooses.
package route
