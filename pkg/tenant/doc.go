// Package tenant identifies the tenant on whose behalf a request is sent.
//
// It maps the key that a request carries to a tenant of the configuration. It guards
// against a request that runs under another tenant than the one that holds its key, and
// against keys that leave the host: a configuration and a request hold only digests of
// keys, so that neither logs nor the state that hosts exchange can contain one.
//
// It answers a load of many callers with few keys each, and configurations of up to
// 100,000 tenants. Package quota limits the rate of a tenant's requests.
//
// The package does no I/O. A Directory is immutable and safe for concurrent use.
package tenant
