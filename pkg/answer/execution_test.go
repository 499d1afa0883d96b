package answer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExecution guards against a send that did not run and hides an earlier one that
// may have run: the order of the sends must not matter.
func TestExecution(t *testing.T) {
	values := []Ran{RanNo, RanUnknown, RanYes}
	for i, first := range values {
		for j, second := range values {
			var e Execution
			require.Equal(t, RanNo, e.Ran())
			e.Add(first)
			e.Add(second)
			require.Equal(t, values[max(i, j)], e.Ran(), "%s then %s", first, second)
		}
	}
	var e Execution
	e.Add(RanUnknown)
	restricted := e.Restrict(Refusal{Code: "shed_overload", Ran: RanNo})
	require.Equal(t, Refusal{Code: "shed_overload", Ran: RanUnknown}, restricted)
	require.Equal(t, RanUnknown, e.Ran(), "a refusal is no send")
	require.Equal(t, RanYes, e.Restrict(Refusal{Ran: RanYes}).Ran)
	require.Equal(t, Ran("perhaps"), Execution{}.Restrict(Refusal{Ran: "perhaps"}).Ran, "a value that is not known is no promise")
}
