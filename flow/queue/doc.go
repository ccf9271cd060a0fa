// Package queue orders the requests of one service at one entry and sheds those that cannot be answered in time.
//
// Urgent requests go first, normal ones next and background ones last, each class by deadline; background requests get a
// reserve of slots that grows as their deadlines near. The wait is estimated from the learned service times.
// Times are durations since a start that the owner of the Queue chooses.
package queue
