// Package share divides the slots of a data centre's targets among its entries.
//
// Static gives each entry a share of each target; the shares of a target sum to its slots. Loans lets an entry with waiting
// requests borrow slots that another entry leaves idle. A loan lasts until the lender learns that the slot was returned, or
// until the roster no longer names the borrower.
//
// After a roster change, an entry uses a larger share only once every member has confirmed that it keeps to its smaller
// share under the new roster. So at no time may the entries together use more slots than a target has.
// A restarted entry counts as another entry and needs another name.
package share
