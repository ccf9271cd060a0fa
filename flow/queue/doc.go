// Package queue orders the requests of one service at one entry and sheds those that cannot be answered in time.
//
// Urgent requests are served first, normal ones next and background ones last, each class by deadline. Background
// requests get a reserve of slots that grows as their deadlines approach. Waits are estimated from measured service
// times. All times are durations since an instant that the caller chooses.
package queue
