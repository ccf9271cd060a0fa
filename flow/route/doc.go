// Package route chooses the target of each send among those with a free slot.
//
// It picks the target with the least load relative to its slots, spread over racks, in constant time.
// A target that fails repeatedly is ejected and probed with one request at a time; the ejected share of the pool is limited.
// A target that reports that it is leaving gets no new requests from then on.
// All times are durations since an instant that the caller chooses.
package route
