package gossip

import (
	"maps"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Receive takes a message of a peer. It returns what to send back to that peer and the items that changed.
func (s *State) Receive(from fleet.HostID, message Message) (replies []Message, changed []Item) {
	switch message := message.(type) {
	case RootDigest:
		return s.receiveRoot(from, message), nil
	case BucketDigests:
		return s.receiveBuckets(message), nil
	case Summary:
		return s.receiveSummary(from, message), nil
	case Offer:
		return s.receiveOffer(from, message), nil
	case Want:
		return s.receiveWant(from, message), nil
	case Items:
		return nil, s.receiveItems(from, message)
	case Adoptions:
		s.receiveAdoptions(from, message)
	}
	return nil, nil
}

// receiveRoot responds to the digest of a peer where it differs.
func (s *State) receiveRoot(from fleet.HostID, theirs RootDigest) (replies []Message) {
	if p := s.peers[from]; p != nil {
		p.turn = true
	}
	mine := s.RootDigest()
	if theirs.Adoptions != mine.Adoptions && s.adopted.quiet >= settleRounds {
		replies = append(replies, s.allAdoptions())
	}
	if theirs.Items != mine.Items {
		replies = append(replies, s.digests())
	}
	return replies
}

func (s *State) digests() BucketDigests {
	digests := make([]uint32, bucketCount)
	for i, bucket := range s.buckets {
		digests[i] = uint32(bucket)
	}
	return BucketDigests{Digests: digests}
}

// receiveBuckets responds with a summary of the buckets that differ. A peer whose number of buckets is another, as one
// of another release may have, gets a summary of all.
func (s *State) receiveBuckets(theirs BucketDigests) []Message {
	mine := s.digests()
	differing := make(map[uint32]bool)
	for i := range mine.Digests {
		if len(theirs.Digests) != len(mine.Digests) || theirs.Digests[i] != mine.Digests[i] {
			differing[uint32(i)] = true
		}
	}
	if len(differing) == 0 {
		return nil
	}
	return []Message{s.summarize(differing)}
}

// summarize lists the items of some buckets, or of as many of these as fit. The others are repaired by later exchanges,
// as the first ones no longer differ then.
func (s *State) summarize(buckets map[uint32]bool) Summary {
	entries := make(map[uint32][]Entry)
	for name, item := range s.items {
		if bucket := bucketOf(name); buckets[bucket] {
			entries[bucket] = append(entries[bucket], item.entry())
		}
	}
	var summary Summary
	for bucket := range uint32(bucketCount) {
		if !buckets[bucket] {
			continue
		}
		if len(summary.Buckets) > 0 && len(summary.Entries)+len(entries[bucket]) > summaryEntries {
			break
		}
		summary.Buckets = append(summary.Buckets, bucket)
		summary.Entries = append(summary.Entries, entries[bucket]...)
	}
	return summary
}

// receiveSummary sends the items that the peer lacks and asks for those that this daemon lacks.
func (s *State) receiveSummary(from fleet.HostID, summary Summary) []Message {
	theirs := make(map[string]Entry, len(summary.Entries))
	for _, entry := range summary.Entries {
		theirs[entry.Name] = entry
	}
	covered := make(map[uint32]bool, len(summary.Buckets))
	for _, bucket := range summary.Buckets {
		covered[bucket] = true
	}
	var missing []string
	for name, item := range s.items {
		if !covered[bucketOf(name)] {
			continue
		}
		entry, found := theirs[name]
		if !found || entry.Version.Less(item.Version) || entry.Version == item.Version && entry != item.entry() {
			missing = append(missing, name)
		}
	}
	return append(s.send(from, missing), s.ask(from, summary.Entries)...)
}

func (s *State) receiveOffer(from fleet.HostID, offer Offer) []Message {
	if p := s.peers[from]; p != nil {
		for _, entry := range offer.Entries {
			p.learn(entry.Name, entry.Version)
		}
	}
	return s.ask(from, offer.Entries)
}

// ask requests the listed items of which this daemon has an older version or none, save those that are on their way.
func (s *State) ask(from fleet.HostID, entries []Entry) []Message {
	var names []string
	for _, entry := range entries {
		item, found := s.items[entry.Name]
		if found && (entry.Version.Less(item.Version) || entry == item.entry()) {
			continue
		}
		if asked := s.wanted[entry.Name]; asked != nil && !asked.entry.Version.Less(entry.Version) {
			if asked.entry == entry && asked.from != from && len(asked.others) < maxOffers {
				asked.others = append(asked.others, from)
			}
			continue
		}
		s.wanted[entry.Name] = &want{entry: entry, from: from}
		names = append(names, entry.Name)
	}
	if len(names) == 0 {
		return nil
	}
	return []Message{Want{Names: names}}
}

func (s *State) receiveWant(from fleet.HostID, message Want) []Message {
	return s.send(from, message.Names)
}

// send returns items in messages of bounded size, whatever the peer is believed to have.
func (s *State) send(to fleet.HostID, names []string) []Message {
	var messages []Message
	var batch []Item
	size := 0
	for _, name := range names {
		item, found := s.items[name]
		if !found {
			continue
		}
		if p := s.peers[to]; p != nil {
			p.learn(name, item.Version)
			delete(p.due, name)
		}
		if size > 0 && size+len(name)+len(item.Value) > batchBytes {
			messages = append(messages, Items{Items: batch})
			batch, size = nil, 0
		}
		batch = append(batch, item)
		size += len(name) + len(item.Value)
	}
	if len(batch) > 0 {
		messages = append(messages, Items{Items: batch})
	}
	return messages
}

func (s *State) receiveItems(from fleet.HostID, message Items) []Item {
	var changed []Item
	for _, item := range message.Items {
		if s.adopt(item, from) {
			changed = append(changed, item)
		}
	}
	return changed
}

// Peers returns the connected peers in no particular order.
func (s *State) Peers() []fleet.HostID {
	return slices.Collect(maps.Keys(s.peers))
}
