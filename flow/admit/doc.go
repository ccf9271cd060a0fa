// Package admit decides which team's request may use a service's capacity at one entry.
//
// Each team has a rate. A team within its rate is always let in. The share of a team that asks for nothing
// is lent to the others in proportion to their rates, and is the owner's again as soon as it asks.
// Times are durations since a start that the owner of the Gate chooses.
package admit
