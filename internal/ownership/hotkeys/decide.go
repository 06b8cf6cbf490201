package hotkeys

import (
	"cmp"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Defaults of a Policy, as fractions of the mean load of a server.
const (
	// DefaultPromote is the load above which a key gets an entry of its own.
	DefaultPromoteAbove = 0.10
	// DefaultDemote is the load below which it loses the entry. Half of the other bound keeps a key whose load varies
	// around one of the two from changing back and forth.
	DefaultDemoteBelow = 0.05
	// DefaultMaxEntries bounds the entries of a service.
	DefaultMaxHotKeys = 512
)

// Policy holds the bounds of the decision. The zero value uses the defaults.
type Policy struct {
	// Promote and Demote are fractions of the mean load of a server; values of zero and below mean the defaults.
	PromoteAbove, DemoteBelow float64
	// MaxEntries bounds the number of dedicated entries; values of zero and below mean the default.
	MaxHotKeys int
}

// Change is a decision on one key.
type Change interface {
	change()
}

// Promotion gives the key a dedicated entry.
type Promotion struct {
	Key fleet.KeyHash
}

// Demotion returns the key to its hash range.
type Demotion struct {
	Key fleet.KeyHash
}

func (Promotion) change() {}
func (Demotion) change()  {}

// Decide compares the merged counts with the dedicated entries that exist and returns the changes, demotions in the order
// of entries first and promotions of the most loaded keys after them. A key is promoted only if even its lowest
// possible load exceeds the bound, and demoted only if even its highest possible load is below the other one.
func (p Policy) Decide(merged Report, entries []fleet.KeyHash, servers int) []Change {
	if servers <= 0 || merged.Total <= 0 {
		return nil
	}
	p = p.withDefaults()
	mean := merged.Total / float64(servers)
	weights := make(map[fleet.KeyHash]float64, len(merged.Counts))
	for _, c := range merged.Counts {
		weights[c.Key] = c.Weight
	}
	var changes []Change
	kept := make(map[fleet.KeyHash]bool, len(entries))
	for _, key := range entries {
		if weights[key] < p.DemoteBelow*mean {
			changes = append(changes, Demotion{Key: key})
			continue
		}
		kept[key] = true
	}
	counts := slices.Clone(merged.Counts)
	slices.SortStableFunc(counts, func(x, y Count) int { return cmp.Compare(y.Weight-y.Error, x.Weight-x.Error) })
	for _, c := range counts {
		if c.Weight-c.Error <= p.PromoteAbove*mean || len(kept) >= p.MaxHotKeys {
			break
		}
		if !kept[c.Key] {
			kept[c.Key] = true
			changes = append(changes, Promotion{Key: c.Key})
		}
	}
	return changes
}

func (p Policy) withDefaults() Policy {
	if p.PromoteAbove <= 0 {
		p.PromoteAbove = DefaultPromoteAbove
	}
	if p.DemoteBelow <= 0 {
		p.DemoteBelow = DefaultDemoteBelow
	}
	if p.MaxHotKeys <= 0 {
		p.MaxHotKeys = DefaultMaxHotKeys
	}
	return p
}
