package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOtherCellAddressesBounded guards against a view that forgets the addresses of
// all other cells at once, which would send joins to all of them again.
func TestOtherCellAddressesBounded(t *testing.T) {
	var j joiner
	for i := range maxOtherCellAddresses + 1 {
		j.rememberOtherCell(fmt.Sprint(i), "c")
		j.rememberOtherCell(fmt.Sprint(i), "c")
	}
	require.Len(t, j.otherCells, maxOtherCellAddresses)
	require.Len(t, j.otherCellOrder, maxOtherCellAddresses)
	require.NotContains(t, j.otherCells, "0", "the oldest one")
	require.Contains(t, j.otherCells, "1")
	j.forgetOtherCell("1")
	j.forgetOtherCell("1")
	require.NotContains(t, j.otherCells, "1")
	require.Len(t, j.otherCellOrder, maxOtherCellAddresses-1)
}
