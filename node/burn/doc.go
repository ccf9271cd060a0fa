// Package burn measures the service-level burn: the share of requests that missed their objective, the error budget
// that this spent, and what keeping the objective cost in spare VMs, moves and waves.
//
// Burn decides from messages alone; Meter counts on the request path and feeds it; Report is the form in which entries hand out
// their figures, and Merge adds the reports of several entries.
package burn
