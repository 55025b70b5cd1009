// Package callerbody reads the bodies of callers' requests within a budget of bytes that all
// callers of a host share, and with a least progress.
//
// Budget.Handler wraps the bodies of a server's requests, Read reads one. Which request is given
// up when the budget is short is decided by limit.CallerBytes. A Budget is safe for concurrent
// use, a body is not, apart from Cut.
package callerbody
