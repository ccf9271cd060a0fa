// Package steer runs the decisions of a data centre's leader: it reads documents, the platform's list and the entries' word,
// feeds them to fleet/wave and fleet/spare, performs their commands and publishes the view of the targets.
//
// Every act begins with a conditional write, so that a leader that was paused past its lease does no harm.
package steer
