package placement

import (
	"cmp"
	"slices"
)

// Rebalance returns the desired placement like Place and, where the load is known, also moves partitions and hot keys
// away from servers whose load exceeds the cap. Each such move reduces the load of the fuller of the two servers
// involved by more than the cost of a move. A server that owns nothing is given idle partitions.
func (p Policy) Rebalance(state Input) []Assignment {
	state.Current = p.Place(state)
	if len(state.Loads) == 0 || len(state.Servers) == 0 {
		return state.Current
	}
	b := newBoard(state, p.withDefaults())
	b.level()
	b.spreadIdle()
	b.chooseStandbys()
	return b.entries()
}

// level moves slots from the fullest server to the emptiest one for as long as that pays. A server that has nothing
// whose move pays is left out of account from then on, because one hot key alone may exceed the cap.
func (b *board) level() {
	owned := b.owned()
	stuck := make([]bool, len(b.servers))
	for moves := 0; moves < b.policy.MaxRebalanceMoves; {
		from, to := b.extremes(stuck)
		if from == none || from == to || b.fill[from] <= b.room[from] {
			return
		}
		at := b.bestMove(owned[from], from, to)
		if at == none {
			stuck[from] = true
			continue
		}
		i := owned[from][at]
		owned[from] = slices.Delete(owned[from], at, at+1)
		owned[to] = append(owned[to], i)
		b.fill[from] -= b.slots[i].size
		b.give(&b.slots[i], to)
		moves++
	}
}

// owned returns the movable slots of each server, the largest first.
func (b *board) owned() [][]int {
	owned := make([][]int, len(b.servers))
	for i, s := range b.slots {
		if !s.pinned && s.size > 0 {
			owned[s.owner] = append(owned[s.owner], i)
		}
	}
	for _, list := range owned {
		slices.SortStableFunc(list, func(x, y int) int { return cmp.Compare(b.slots[y].size, b.slots[x].size) })
	}
	return owned
}

// extremes returns the fullest server that is not stuck and the emptiest one of all.
func (b *board) extremes(stuck []bool) (fullest, emptiest int) {
	fullest, emptiest = none, none
	for i := range b.servers {
		if !stuck[i] && (fullest == none || b.relative(i, 0) > b.relative(fullest, 0)) {
			fullest = i
		}
		if emptiest == none || b.relative(i, 0) < b.relative(emptiest, 0) {
			emptiest = i
		}
	}
	return fullest, emptiest
}

// relative returns the fill of a server, changed by delta, as a multiple of its fair share.
func (b *board) relative(server int, delta float64) float64 {
	return (b.fill[server] + delta) * b.policy.CapacityFactor / b.room[server]
}

// bestMove returns the position in the list of the slot whose move from one server to the other reduces the fuller of
// the two the most, or none if no reduction exceeds the cost of a move.
func (b *board) bestMove(list []int, from, to int) int {
	best, before := none, b.relative(from, 0)
	after := before - b.policy.MoveCost
	for at, i := range list {
		size := b.slots[i].size
		if worse := max(b.relative(from, -size), b.relative(to, size)); worse < after {
			best, after = at, worse
		}
	}
	return best
}
