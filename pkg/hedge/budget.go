package hedge

const (
	// initialTokens lets a host that has just started retry before any
	// sub-request has completed. The first tokens earned repay them.
	initialTokens = 10
	// fullTokens is the number of tokens from which the budget counts as full and
	// hedges are not delayed further. With 10 (initialTokens) in its place, a host
	// that had spent half of its initial tokens hedged only after 5 medians, and the
	// p99 with stragglers was 168 ms.
	fullTokens = 4
	// maxTokens bounds the burst of extra load after a time with few extra sends.
	maxTokens = 100
	// overloadRatio is the highest ratio at which tokens are earned in overload,
	// where the extra load must stay below 1 %.
	overloadRatio = 0.01
)

// Budget is a token bucket that limits the extra load of hedges and retries
// together. Only completed sub-requests earn tokens: fewer complete in overload,
// so that failed retries cannot cause further retries.
//
// The number of extra sub-requests never exceeds the larger of 10 and the ratio
// times the number of completed sub-requests. Budget is not safe for concurrent
// use.
type Budget struct {
	tokens    float64
	debt      float64 // initial tokens not repaid yet
	granted   int     // tokens taken and not refunded
	completed int
}

// NewBudget returns a budget that holds 10 initial tokens.
func NewBudget() *Budget { return &Budget{tokens: initialTokens, debt: initialTokens} }

// Completed records an answered sub-request, which earns ratio tokens: the extra
// sub-requests allowed per answered one.
func (b *Budget) Completed(ratio float64, overloaded bool) {
	b.completed++
	if overloaded {
		ratio = min(ratio, overloadRatio)
	}
	repaid := min(ratio, b.debt)
	b.debt -= repaid
	b.tokens = min(maxTokens, b.tokens+ratio-repaid)
}

// TryExtra takes a token for a hedge or a retry. It returns false if there is
// none or if ratio, the one in force, is 0.
func (b *Budget) TryExtra(ratio float64) bool {
	if ratio <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	b.granted++
	return true
}

// Refund returns the token of an attempt that was canceled before it ran.
func (b *Budget) Refund() {
	b.tokens = min(maxTokens, b.tokens+1)
	b.granted--
}

// Has reports whether the budget holds at least the given number of tokens.
func (b *Budget) Has(tokens float64) bool { return b.tokens >= tokens }

// Balance returns how full the budget is, 0 to 1; 4 tokens or more count as 1.
func (b *Budget) Balance() float64 { return min(1, b.tokens/fullTokens) }

// Counts returns the numbers of extra sub-requests granted and of sub-requests
// completed.
func (b *Budget) Counts() (extra, completed int) { return b.granted, b.completed }
