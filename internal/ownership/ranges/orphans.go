package ranges

import "slices"

// refenceOwners assigns the ranges of a server that restarted under its ID to the new process, and issues a new fence for
// assignments that their owner refused. The previous process has ended, so it is not a former owner.
func (p *Planner) refenceOwners() bool {
	changed := false
	for i := range p.table.Assignments {
		assignment := &p.table.Assignments[i]
		server := p.findServer(assignment.Owner.ID)
		if server == nil || server.SameProcess(assignment.Owner) && !p.Refused(*assignment) {
			continue
		}
		if p.unsure() && !p.Granted(*assignment) {
			assignment.FormerOwners = append(assignment.FormerOwners, p.unknownOwner())
		}
		assignment.Owner, assignment.Fence, changed = server.Owner, p.fence, true
	}
	return changed
}

// unsure reports whether servers that the table does not name may own keys. The owner that has accepted the grant of the table is
// the right one: a server that has released a range, or has been granted it by a later table, refuses earlier grants.
func (p *Planner) unsure() bool { return p.Now < p.table.UnsureUntil }

// unknownOwner returns a former owner that stands for any server.
func (p *Planner) unknownOwner() FormerOwner { return FormerOwner{GrantsExpireAt: p.table.UnsureUntil} }

// reassignOrphans assigns the ranges whose owner is not available to the servers with the most headroom.
func (p *Planner) reassignOrphans() bool {
	var next []Assignment
	changed := false
	for _, assignment := range p.table.Assignments {
		if p.findServer(assignment.Owner.ID) != nil || p.stays(assignment) {
			next = append(next, assignment)
			continue
		}
		changed = true
		next = append(next, p.splitOrphan(assignment)...)
	}
	p.table.Assignments = next
	return changed
}

// splitOrphan splits a range without an owner among the least loaded servers.
func (p *Planner) splitOrphan(orphan Assignment) []Assignment {
	formerOwners := p.formerOwners(orphan)
	var result []Assignment
	for rest := orphan.Range; ; {
		server := p.receiver()
		headroom := max(p.targetLoad(server)-p.serverLoads[server.ID], p.shareOf(server)*minHeadroomFraction)
		piece, last := rest, true
		if p.Load.RangeSum(rest) > headroom*maxOrphanOvershoot {
			if split, ok := p.Load.SplitPoint(rest, headroom); ok {
				piece.Last, last = split, false
			}
		}
		if orphan.Owner.ID != "" {
			p.noteMove(piece, orphan.Owner.ID, server, ReasonOrphan, piece != orphan.Range)
		}
		p.serverLoads[server.ID] += p.Load.RangeSum(piece)
		result = append(result, Assignment{Range: piece, Owner: server.Owner, Fence: p.fence, FormerOwners: formerOwners})
		if last {
			return result
		}
		rest.First = piece.Last + 1
	}
}

// formerOwners returns the former owners of a range whose owner changes now. The present owner is added even if it is listed
// as a former owner that has released the range, since it was granted the range again after that.
func (p *Planner) formerOwners(assignment Assignment) []FormerOwner {
	result := slices.DeleteFunc(slices.Clone(assignment.FormerOwners), func(former FormerOwner) bool {
		return p.Released(assignment, former)
	})
	if assignment.Owner.ID != "" && !p.Ended(assignment.Owner) {
		result = append(result, FormerOwner{
			Owner: assignment.Owner, GrantsExpireAt: p.GrantsExpireAt(assignment.Owner),
			Unreachable: p.Unreachable != nil && p.Unreachable(assignment.Owner),
		})
	}
	if p.unsure() && !p.Granted(assignment) {
		result = append(result, p.unknownOwner())
	}
	return result
}
