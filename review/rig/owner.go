package rig

import (
	"time"
)

// maxShared is how long the rule OWNER lets two workers hold a key.
const maxShared = 500 * time.Millisecond

// checkGrant checks a grant at the moment at which a worker takes it. The caller holds mu.
func (f *Fleet) checkGrant(w *Worker, o order, now time.Time) {
	for _, other := range f.workers {
		if other == w || !other.up {
			continue
		}
		// A hold that was released counts until it would have run out.
		if attempt := other.worksOn(o); attempt != "" && now.Before(other.granted[other.running[attempt]]) {
			f.Record.Broken("OWNER: worker %s is given %d-%d (fence %d) while worker %s is at work on %s, key %d",
				w.Name, o.From, o.Target, o.Fence, other.Name, attempt, other.running[attempt])
		}
	}
}

// checkFence checks that a worker takes keys with a higher fence than those with which other lives of it had them. The caller holds
// mu.
func (f *Fleet) checkFence(w *Worker, o order) {
	if !f.CheckFences {
		return
	}
	for _, other := range f.workers {
		if other != w && other.ID == w.ID && other.held[o.From] >= o.Fence {
			f.Record.Broken("OWNER: worker %s takes %d-%d with fence %d, with which its earlier start %s had key %d",
				w.Name, o.From, o.Target, o.Fence, other.Name, o.From)
		}
	}
}

// CheckOwners checks until done is closed that no two workers that are up hold a key for longer than the rule allows.
func (f *Fleet) CheckOwners(done <-chan struct{}) {
	type pair struct {
		a, b *Worker
		key  int
	}
	since := make(map[pair]time.Time)
	reported := make(map[[2]*Worker]bool)
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		f.mu.Lock()
		now := time.Now()
		shared := make(map[pair]bool)
		for key := 0; key < keys; key += keyStep {
			for i, a := range f.workers {
				if !a.holds(key, now) {
					continue
				}
				for _, b := range f.workers[i+1:] {
					if b.holds(key, now) {
						shared[pair{a: a, b: b, key: key}] = true
					}
				}
			}
		}
		for p := range since {
			if !shared[p] {
				delete(since, p)
			}
		}
		for p := range shared {
			if since[p].IsZero() {
				since[p] = now
			}
			if lasted := now.Sub(since[p]); lasted > maxShared && !reported[[2]*Worker{p.a, p.b}] {
				reported[[2]*Worker{p.a, p.b}] = true
				f.Record.Broken("OWNER: workers %s (fence %d) and %s (fence %d) both hold key %d for more than %s",
					p.a.Name, p.a.held[p.key], p.b.Name, p.b.held[p.key], p.key, maxShared)
			}
		}
		f.mu.Unlock()
	}
}

// Runs returns how often an attempt was run.
func (f *Fleet) Runs(attempt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[attempt]
}
