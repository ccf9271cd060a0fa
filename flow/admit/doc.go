// Package admit decides which teams' requests may use the capacity of a service at one entry.
//
// Each team has a rate, and a team within its rate is admitted unless the service is overloaded. The share of an
// idle team is lent to the others in proportion to their rates; the team gets it back with its next request.
// All times are durations since a start time that the caller of the Gate chooses.
package admit
