package daemon

import (
	"cmp"
	"slices"
)

// engineAddress names one engine and where it is.
type engineAddress struct{ name, address string }

func sortEngines(engines []engineAddress) {
	slices.SortFunc(engines, func(a, b engineAddress) int { return cmp.Compare(a.name, b.name) })
}
