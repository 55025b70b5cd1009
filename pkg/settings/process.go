package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
)

// Process holds the process settings of one host, read from its settings file.
type Process struct {
	Name     string   `json:"name"`    // unique in the fleet
	Place    string   `json:"place"`   // the data centre the host is in
	Ordinal  int      `json:"ordinal"` // number of the host within its place, from 0
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	TLS      TLSFiles `json:"tls"`
	LogLevel string   `json:"log_level,omitempty"`
	Traces   Traces   `json:"traces,omitzero"`
	// TenantKeys names where further keys of tenants are read from. LocalKeys are their
	// digests, which LoadProcess reads.
	TenantKeys KeySources `json:"tenant_keys,omitzero"`
	LocalKeys  []LocalKey `json:"-"`
}

// KeySources name a file and an environment variable with lines of the form name:key.
type KeySources struct {
	File string `json:"file,omitempty"`
	Env  string `json:"env,omitempty"`
}

// Traces configures the export of spans. If neither Endpoint nor File is set, no
// span is exported.
type Traces struct {
	Endpoint    string  `json:"endpoint,omitempty"` // URL of an OTLP collector over HTTP
	File        string  `json:"file,omitempty"`     // spans are appended to it, one per line
	SampleRatio float64 `json:"sample_ratio"`       // fraction of the traces that start at this host, from 0 to 1
}

// Listen holds the addresses that a host listens on, each an IP address and port.
type Listen struct {
	Callers   string `json:"callers"`   // TCP, HTTP for callers
	Peers     string `json:"peers"`     // UDP, QUIC between hosts
	Operators string `json:"operators"` // TCP, HTTP for operators
}

// Platform holds the URLs of the values that the platform publishes.
type Platform struct {
	ConfigURL string `json:"config_url"` // the configuration document
	HostsURL  string `json:"hosts_url"`  // the host list
}

// TLSFiles holds the paths of the PEM files for mutual TLS between hosts.
type TLSFiles struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// ParseProcess decodes and validates process settings. The error is an
// *InvalidError that names the path of every fault; a syntax error is reported
// alone, with its line and column. Addresses and URLs are checked only in settings
// that match the schema.
func ParseProcess(data []byte) (*Process, error) {
	p := &Process{LogLevel: "info"}
	if err := decodeStrict(data, "process", p); err != nil {
		return nil, err
	}
	var found faults
	addresses := []struct{ path, value string }{
		{"listen.callers", p.Listen.Callers}, {"listen.peers", p.Listen.Peers}, {"listen.operators", p.Listen.Operators},
	}
	for _, a := range addresses {
		if err := checkAddress(a.value); err != nil {
			found.addf(a.path, "%v", err)
		}
	}
	urls := []struct{ path, value string }{
		{"platform.config_url", p.Platform.ConfigURL}, {"platform.hosts_url", p.Platform.HostsURL},
	}
	if p.Traces.Endpoint != "" {
		urls = append(urls, struct{ path, value string }{"traces.endpoint", p.Traces.Endpoint})
	}
	for _, u := range urls {
		parsed, err := url.Parse(u.value)
		if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
			found.addf(u.path, "%q is not an http or https URL", u.value)
		}
	}
	return p, found.err()
}

// LoadProcess reads process settings from a file. The error names the file; for
// a file with faults it is an *InvalidError that names the path of each.
func LoadProcess(file string) (*Process, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("process settings: %w", err)
	}
	p, err := ParseProcess(data)
	if err != nil {
		return nil, fmt.Errorf("process settings %s: %w", file, err)
	}
	if p.LocalKeys, err = p.TenantKeys.read(); err != nil {
		return nil, fmt.Errorf("process settings %s: %w", file, err)
	}
	return p, nil
}

// LoadDocument reads a configuration document from a file. The error names the
// file; for a file with faults it is an *InvalidError that names the path of
// each.
func LoadDocument(file string) (*Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("configuration document: %w", err)
	}
	t, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("configuration document %s: %w", file, err)
	}
	return t, nil
}

// checkAddress accepts an IP address with a port. Host names are refused because a
// host must not depend on DNS.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%q is not an IP address with a port", address)
	}
	return nil
}
