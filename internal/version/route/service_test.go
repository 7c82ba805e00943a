package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestAttemptsAtOneStreamGoToOneService guards against a stream that a caller resumes at
// another service of a traffic split, and against a split that no longer follows the weights.
func TestAttemptsAtOneStreamGoToOneService(t *testing.T) {
	is := is.New(t)
	r := &Route{Shares: []Share{{"a", 3}, {"b", 0}, {"c", 1}}}
	counts := map[string]int{}
	const requests = 10000
	for i := range requests {
		id := fmt.Sprintf("%016x", i)
		service := r.PickServiceOf(id)
		is.Equal(r.PickServiceOf(id), service)
		is.True(r.Serves(service))
		counts[service]++
	}
	is.True(counts["a"] > requests*70/100 && counts["a"] < requests*80/100)
	is.Equal(counts["b"], 0)
	is.True(!r.Serves("b"))
	is.True((&Route{Shares: []Share{{"a", 0}}}).Serves("a")) // the only one serves whatever its weight
}
