package hotkeys

import (
	"cmp"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Defaults of a Policy, as fractions of the mean load of a server.
const (
	// DefaultPromoteAbove is the load above which a key is promoted.
	DefaultPromoteAbove = 0.10
	// DefaultDemoteBelow is the load below which a key is demoted. It is half of DefaultPromoteAbove, so that a key whose load
	// varies around one of the thresholds does not flap.
	DefaultDemoteBelow = 0.05
	// DefaultMaxHotKeys is the maximum number of hot keys of a service.
	DefaultMaxHotKeys = 512
)

// Policy contains the thresholds for promoting and demoting keys. The zero value uses the defaults.
type Policy struct {
	// PromoteAbove and DemoteBelow are fractions of the mean load of a server; values of zero and below mean the defaults.
	PromoteAbove, DemoteBelow float64
	// MaxHotKeys is the maximum number of hot keys; values of zero and below mean the default.
	MaxHotKeys int
}

// Change is a decision on one key: a Promotion or a Demotion.
type Change interface {
	change()
}

// Promotion makes a key a hot key, which is assigned individually.
type Promotion struct {
	Key fleet.KeyHash
}

// Demotion returns a hot key to its hash range.
type Demotion struct {
	Key fleet.KeyHash
}

func (Promotion) change() {}
func (Demotion) change()  {}

// Decide compares the merged counts with the present hot keys and returns the changes: first the demotions in the order of
// hotKeys, then the promotions in descending order of load. A key is promoted only if even the lower bound of its load exceeds
// the threshold, and demoted only if even the upper bound is below the other threshold.
func (p Policy) Decide(merged Report, hotKeys []fleet.KeyHash, servers int) []Change {
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
	kept := make(map[fleet.KeyHash]bool, len(hotKeys))
	for _, key := range hotKeys {
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

// withDefaults returns the policy with defaults in place of unset values.
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
