package daemon

import (
	"cmp"
	"slices"
)

// engineAddress is the name of an engine and the address that it listens on.
type engineAddress struct{ name, address string }

func sortEngines(engines []engineAddress) {
	slices.SortFunc(engines, func(a, b engineAddress) int { return cmp.Compare(a.name, b.name) })
}
