package gossip

import (
	"maps"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Receive applies a message from a peer. It returns the messages to send back to that peer and the items that changed.
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

// receiveRoot compares the root digest of a peer with this daemon's own. Where they differ, it responds with the bucket
// digests of the items or with all adoptions.
func (s *State) receiveRoot(from fleet.HostID, theirs RootDigest) (replies []Message) {
	if p := s.peers[from]; p != nil {
		p.digestReceived = true
	}
	own := s.RootDigest()
	if theirs.Adoptions != own.Adoptions && s.adoptions.roundsUnchanged >= adoptionSettleRounds {
		replies = append(replies, s.allAdoptionsMessage())
	}
	if theirs.Items != own.Items {
		replies = append(replies, s.bucketDigests())
	}
	return replies
}

// bucketDigests returns the digests of all buckets, shortened to 32 bits.
func (s *State) bucketDigests() BucketDigests {
	digests := make([]uint32, bucketCount)
	for i, bucket := range s.buckets {
		digests[i] = uint32(bucket)
	}
	return BucketDigests{Digests: digests}
}

// receiveBuckets responds with a summary of the buckets that differ. A peer with a different number of buckets, which another
// release may use, gets a summary of all buckets.
func (s *State) receiveBuckets(theirs BucketDigests) []Message {
	own := s.bucketDigests()
	differing := make(map[uint32]bool)
	for i := range own.Digests {
		if len(theirs.Digests) != len(own.Digests) || theirs.Digests[i] != own.Digests[i] {
			differing[uint32(i)] = true
		}
	}
	if len(differing) == 0 {
		return nil
	}
	return []Message{s.summarizeBuckets(differing)}
}

// summarizeBuckets lists the items of the given buckets, or of as many of these as fit into one message. Later exchanges
// cover the others, since the first ones no longer differ by then.
func (s *State) summarizeBuckets(buckets map[uint32]bool) Summary {
	entries := make(map[uint32][]Entry)
	for name, item := range s.items {
		if bucket := bucketIndex(name); buckets[bucket] {
			entries[bucket] = append(entries[bucket], item.digestEntry())
		}
	}
	var summary Summary
	for bucket := range uint32(bucketCount) {
		if !buckets[bucket] {
			continue
		}
		if len(summary.Buckets) > 0 && len(summary.Entries)+len(entries[bucket]) > maxSummaryEntries {
			break
		}
		summary.Buckets = append(summary.Buckets, bucket)
		summary.Entries = append(summary.Entries, entries[bucket]...)
	}
	return summary
}

// receiveSummary sends the items that the peer lacks and requests those that this daemon lacks.
func (s *State) receiveSummary(from fleet.HostID, summary Summary) []Message {
	theirs := make(map[string]Entry, len(summary.Entries))
	for _, entry := range summary.Entries {
		theirs[entry.Name] = entry
	}
	covered := make(map[uint32]bool, len(summary.Buckets))
	for _, bucket := range summary.Buckets {
		covered[bucket] = true
	}
	var lacking []string
	for name, item := range s.items {
		if !covered[bucketIndex(name)] {
			continue
		}
		entry, found := theirs[name]
		if !found || entry.Version.Less(item.Version) || entry.Version == item.Version && entry != item.digestEntry() {
			lacking = append(lacking, name)
		}
	}
	return append(s.itemMessages(from, lacking), s.requestMissing(from, summary.Entries)...)
}

// receiveOffer notes that the peer has the offered items, and requests those that this daemon lacks.
func (s *State) receiveOffer(from fleet.HostID, offer Offer) []Message {
	if p := s.peers[from]; p != nil {
		for _, entry := range offer.Entries {
			p.recordVersion(entry.Name, entry.Version)
		}
	}
	return s.requestMissing(from, offer.Entries)
}

// requestMissing requests the listed items that this daemon lacks or has in an older version. An item that was requested
// elsewhere already is not requested again; the peer is kept as an alternative source.
func (s *State) requestMissing(from fleet.HostID, entries []Entry) []Message {
	var names []string
	for _, entry := range entries {
		item, found := s.items[entry.Name]
		if found && (entry.Version.Less(item.Version) || entry == item.digestEntry()) {
			continue
		}
		if request := s.requests[entry.Name]; request != nil && !request.entry.Version.Less(entry.Version) {
			if request.entry == entry && request.from != from && len(request.alternatives) < maxAlternatives {
				request.alternatives = append(request.alternatives, from)
			}
			continue
		}
		s.requests[entry.Name] = &pendingRequest{entry: entry, from: from}
		names = append(names, entry.Name)
	}
	if len(names) == 0 {
		return nil
	}
	return []Message{Want{Names: names}}
}

func (s *State) receiveWant(from fleet.HostID, message Want) []Message {
	return s.itemMessages(from, message.Names)
}

// itemMessages returns the named items in messages of limited size, even those that the peer is recorded to have: that record
// is wrong if a message was lost.
func (s *State) itemMessages(to fleet.HostID, names []string) []Message {
	var messages []Message
	var batch []Item
	size := 0
	for _, name := range names {
		item, found := s.items[name]
		if !found {
			continue
		}
		if p := s.peers[to]; p != nil {
			p.recordVersion(name, item.Version)
			delete(p.dueItems, name)
		}
		if size > 0 && size+len(name)+len(item.Value) > maxBatchBytes {
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
		if s.applyItem(item, from) {
			changed = append(changed, item)
		}
	}
	return changed
}

// Peers returns the connected peers in no particular order.
func (s *State) Peers() []fleet.HostID {
	return slices.Collect(maps.Keys(s.peers))
}
