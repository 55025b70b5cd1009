// Package balance chooses the target that is expected to answer soonest.
//
// It judges targets by the requests that this host sent there: how long they
// took compared with others of their kind, how many are outstanding, whether
// nothing has come back for longer than usual, and how many failed. What targets
// or the platform say about load is not used, because it lags.
//
// It answers the load of a service whose targets pause for a moment, turn slow,
// fail a part of their requests or vanish: work moves to the sister targets, and
// a target that was avoided gets work again after a while. It guards against all
// work moving to another place for a small gain, and against a target that is
// never tried again.
//
// Nothing here is safe for concurrent use; the caller serialises.
package balance
