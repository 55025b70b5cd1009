package hedge

const (
	// advance lets a host that has just started retry before it has completed
	// anything; it is paid back from the first tokens earned.
	advance = 10
	// plenty is the balance above which hedges need not be saved for the slowest
	// sub-requests. With the whole advance as the measure, a host that had spent
	// half of it hedged at 5 medians, and p99 under stragglers was 168 ms.
	plenty = 4
	// maxTokens bounds the burst of extra load after a calm time.
	maxTokens = 100
	// overloadRatio bounds the earnings in overload, where extra load must
	// stay under 1 %.
	overloadRatio = 0.01
)

// Budget limits the extra load that hedges and retries cause together. It earns
// only from completed sub-requests: in overload fewer complete, so retries
// cannot feed on their own failures.
//
// Extra never exceeds the larger of the advance and the ratio times the
// completed sub-requests.
type Budget struct {
	tokens float64
	owed   float64
	spent  int
	earned int
}

// NewBudget returns a budget that holds the advance.
func NewBudget() *Budget { return &Budget{tokens: advance, owed: advance} }

// Completed records an answered sub-request. ratio is the extra load allowed
// per sub-request.
func (b *Budget) Completed(ratio float64, overloaded bool) {
	b.earned++
	if overloaded {
		ratio = min(ratio, overloadRatio)
	}
	pay := min(ratio, b.owed)
	b.owed -= pay
	b.tokens = min(maxTokens, b.tokens+ratio-pay)
}

// TryExtra takes a token for a hedge or a retry; false if there is none or if
// the ratio in force allows no extra load.
func (b *Budget) TryExtra(ratio float64) bool {
	if ratio <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Refund gives back the token of an attempt that was withdrawn before it ran.
func (b *Budget) Refund() {
	b.tokens = min(maxTokens, b.tokens+1)
	b.spent--
}

// Has reports whether the budget holds a number of tokens.
func (b *Budget) Has(tokens float64) bool { return b.tokens >= tokens }

// Balance returns the tokens held as a fraction, 0 to 1, of plenty; more tokens
// than that count as 1.
func (b *Budget) Balance() float64 { return min(1, b.tokens/plenty) }

// Counts returns the number of extra sub-requests granted and of completed ones.
func (b *Budget) Counts() (extra, completed int) { return b.spent, b.earned }
