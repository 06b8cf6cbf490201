package hotkeys

import (
	"cmp"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// promoteShare is the part of one server's load from which on a key gets an entry of its own.
	promoteShare = 0.10
	// demoteShare is the part below which it loses the entry again. The distance keeps a key near one of the bounds from
	// moving to and fro.
	demoteShare = 0.05
	// MaxEntries bounds the entries of a service; the design scale has 170 hot keys that change within minutes.
	MaxEntries = 256
)

// Decide returns the keys that are to have an entry of their own, the hottest first. counts are the rates summed over
// all daemons, serverLoad is the mean load of one server in requests a second, and current are the keys with an entry.
func Decide(counts []Count, serverLoad float64, current []fleet.KeyHash) []fleet.KeyHash {
	if serverLoad <= 0 {
		return slices.Clone(current)
	}
	dedicated := make(map[fleet.KeyHash]bool, len(current))
	for _, key := range current {
		dedicated[key] = true
	}
	var hot []Count
	for _, one := range counts {
		// A key without an entry is judged by what it certainly has, since an entry that is not needed costs a move.
		certain := one.Rate - one.Error
		if certain >= promoteShare*serverLoad || dedicated[one.Key] && one.Rate >= demoteShare*serverLoad {
			hot = append(hot, one)
		}
	}
	slices.SortFunc(hot, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	keys := make([]fleet.KeyHash, 0, min(len(hot), MaxEntries))
	for _, one := range hot[:min(len(hot), MaxEntries)] {
		keys = append(keys, one.Key)
	}
	return keys
}
