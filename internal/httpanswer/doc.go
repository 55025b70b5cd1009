// Package httpanswer reads the answers of HTTP/1.1 servers. All parts of the product that
// read such answers do it through this package: Reader on connections of their own, and
// Transport for clients of net/http.
//
// The parser of net/http has no bound for the head of an answer. The package bounds it.
//
// It decides whether bytes are an answer, not what follows from one that is not. A Reader
// is for one goroutine; a Transport is safe for concurrent use.
package httpanswer
