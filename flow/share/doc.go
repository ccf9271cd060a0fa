// Package share decides how the entries of a data centre share the slots of its targets.
//
// Static gives each entry a share such that all shares of a target sum to its slots. Loans lets an entry with waiting work
// use slots that another entry leaves idle. A loan is the borrower's until the lender has heard that it was returned, or
// until the roster no longer names the borrower. A new roster's larger shares are used only after every member has said
// that it keeps to the new roster's smaller ones, so that at no moment more slots may be used than a target has.
// A restarted entry is another entry: it needs another name.
package share
