package wire

import "github.com/lacewingyard/lacewingyard/pkg/quota"

// ExchangeQuota is QuotaRequest, then QuotaReply.
const ExchangeQuota Exchange = 36

// MaxQuotaItems is the largest number of asks or handovers in a message; a receiver ignores
// those beyond it. At 31 bytes each the message has 16 KB.
const MaxQuotaItems = 500

// QuotaRequest asks the granting host of tenants for tokens, or passes buckets to it.
type QuotaRequest struct {
	From      string           `cbor:"1,keyasint"` // name of the sender
	Asks      []quota.Ask      `cbor:"2,keyasint,omitempty"`
	Handovers []quota.Handover `cbor:"3,keyasint,omitempty"`
}

// QuotaReply carries the grants for the asks. A host that is not the granting host of a tenant
// by its own view grants none.
type QuotaReply struct {
	Grants []quota.Grant `cbor:"1,keyasint,omitempty"`
}
