// Package burn measures the service-level burn: the share of requests that missed their objective, the error budget
// that this spent, and what keeping the objective cost in spare VMs, moves and waves.
//
// Burn is pure state that changes only through messages. Meter counts on the request path and passes the counts to a Burn.
// Report is the form in which an entry publishes its figures, and Merge combines the reports of several entries.
package burn
