// Package httpanswer reads the answers of HTTP/1.1 servers. All parts of the product that
// read such answers do it through this package: Reader on connections of their own, and
// Transport for clients of net/http.
//
// The parser of net/http has no bound for the head of an answer, and accepts heads and
// trailers that RFC 9110 and 9112 do not let a client take: impossible status codes, spaces
// in field names, and lengths that contradict themselves, for example. The package bounds
// heads and returns an ErrMalformed for such answers, as soon as a malformed line is there.
// It takes what the RFCs allow a client to tolerate.
//
// It decides whether bytes are an answer, not what follows from one that is not. A Reader
// is for one goroutine; a Transport is safe for concurrent use.
package httpanswer
