/*
 * The state of the ownership model, and the guards: the conditions under which the protocol allows a step. Each guard has a
 * mutant, selected with -DM_<NAME>, that removes it; spec/check expects each mutant to violate a property.
 */
#ifndef TERM
#define TERM 2
#endif
#ifndef HORIZON
#define HORIZON 3
#endif
#ifndef ASSIGNERS
#define ASSIGNERS 2
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#if defined(TAKEOVER) || defined(THREE)
#define TABLE
#endif
#ifdef TAKEOVER
#define PLACEMENT
#endif

#define SERVERS 3
#define PAIRS (ASSIGNERS * SERVERS)
#define P(a, s) ((a) * SERVERS + (s))
#define F(a, x) ((a) * 2 + (x))
#define ALL 7
#define BIT(mask, s) (((mask) >> (s)) & 1)
#define SIZE(mask) (BIT(mask, 0) + BIT(mask, 1) + BIT(mask, 2))

/* The flags of an order: what it asks of the server besides the renewal of its lease. */
#define GRANT 1
#define REVOKE 2

/* Whether a member holds the partition, as far as an assigner knows. SILENT: the member has not reported yet. */
#define SILENT 0
#define MAYHOLD 1
#define NOTHELD 2

/* The state of the partition at a server. DRAINING: revoked, with requests still in flight. */
#define FREE 0
#define HELD 1
#define DRAINING 2

/* The time in ticks, the same on all clocks. A clock reading is the tick at which it was taken. */
byte now;

/*
 * The state of each server: the highest epoch accepted, the end of the lease, the state of the partition, and the epoch to
 * which the server released it. Server 2 is a voting member that is never granted the partition.
 */
byte accEpoch[SERVERS], leaseEnd[SERVERS], hold[SERVERS], released[SERVERS];
byte incarnation;	/* one bit for each server; a restart flips it */
byte restarts;

/* The state of each assigner. */
bit running[ASSIGNERS];
byte epoch[ASSIGNERS], accepted[ASSIGNERS];	/* accepted: tick+1 at which a majority was known to have accepted */
byte members[ASSIGNERS], previous[ASSIGNERS];	/* bit masks of servers */
byte memberInc[ASSIGNERS], previousInc[ASSIGNERS];
byte freeAt[ASSIGNERS * 2];	/* tick+1 from which the partition is free for server 0 or 1 */

/*
 * What each assigner knows about each member: the tick+1 of the last completed exchange (seen) and of the last clock reading
 * used to renew the lease (used), and whether the member holds the partition (knows).
 */
byte seen[PAIRS], used[PAIRS], knows[PAIRS];
bit gaveUp[PAIRS];	/* the member has released the partition in this epoch */

/* The order from each assigner to each server that is delayed in the network; at most one. */
bit late[PAIRS];
byte lateReading[PAIRS], lateFlags[PAIRS];

#ifdef M_REUSE
bit reused;
#endif

/* The row of the group in the table, and the epoch that wrote the acknowledged placement. */
byte rowEpoch, rowToken, rowInc, rowPreviousInc, placedEpoch;
#ifdef M_ROW
#define PLACEMENT_ALLOWED(a) 1
#else
#define PLACEMENT_ALLOWED(a) (rowEpoch == epoch[a])
#endif

#define OWNS(s) (hold[s] != FREE && leaseEnd[s] > now)

/*
 * G4: a server's answer counts only if it has the incarnation that the membership lists; for a previous member, the
 * incarnation that the previous membership lists.
 */
#ifdef M_G4
#define ADDRESSED(a, s) 1
#define COUNTED_BEFORE(a, s) 1
#else
#define ADDRESSED(a, s) (BIT(incarnation, s) == BIT(memberInc[a], s))
#define COUNTED_BEFORE(a, s) (BIT(memberInc[a], s) == BIT(previousInc[a], s))
#endif

/* A majority of the members and a majority of the previous members have accepted orders sent at tick t-1 or later. */
#define SINCE(a, s, t) (seen[P(a, s)] >= (t))
#define OF_MEMBERS(a, t) ((BIT(members[a], 0) && SINCE(a, 0, t)) + (BIT(members[a], 1) && SINCE(a, 1, t)) + \
	(BIT(members[a], 2) && SINCE(a, 2, t)))
#define OF_PREVIOUS(a, t) ((BIT(previous[a], 0) && COUNTED_BEFORE(a, 0) && SINCE(a, 0, t)) + \
	(BIT(previous[a], 1) && COUNTED_BEFORE(a, 1) && SINCE(a, 1, t)) + \
	(BIT(previous[a], 2) && COUNTED_BEFORE(a, 2) && SINCE(a, 2, t)))
#define MAJORITY(a, t) (2 * OF_MEMBERS(a, t) > SIZE(members[a]) && 2 * OF_PREVIOUS(a, t) > SIZE(previous[a]))

/* G3: the conditions under which a member is certain not to hold the partition. */
#ifdef M_G3_SILENT
#define SILENT_FREE(a) 1
#else
#define SILENT_FREE(a) (accepted[a] > 0 && now + 1 >= accepted[a] + TERM)
#endif
#ifdef M_G3_PREVIOUS
#define CONSIDERED(a) members[a]
#else
#define CONSIDERED(a) (members[a] | previous[a])
#endif
#ifdef M_G3_UNUSED
#define USED_AT_FIRST 0
#define EXPIRED(a, s) (used[P(a, s)] == 0 || now + 1 >= used[P(a, s)] + TERM)
#else
#define USED_AT_FIRST (now + 1)
#define EXPIRED(a, s) (now + 1 >= used[P(a, s)] + TERM)
#endif
#define NOT_HOLDER(a, s) (!BIT(CONSIDERED(a), s) || knows[P(a, s)] == NOTHELD || \
	(knows[P(a, s)] == MAYHOLD && EXPIRED(a, s)) || (knows[P(a, s)] == SILENT && SILENT_FREE(a)))

/*
 * A server that was removed from the membership still votes as a previous member, but receives neither renewals nor grants,
 * because the next membership change drops it and no longer waits for its lease.
 */
#ifdef M_REMOVED
#define SERVED(a, s) 1
#else
#define SERVED(a, s) BIT(members[a], s)
#endif

/*
 * G1 and G2: a renewal needs a majority as of its clock reading. A grant needs one as of the tick at which the partition was
 * found free, unless the other server has released the partition in this epoch. The reading comes from the last completed
 * exchange; one older than a lease term renews nothing.
 */
#define READABLE(a, s) ((s) < 2 && SERVED(a, s) && seen[P(a, s)] > 0 && seen[P(a, s)] + TERM > now + 1)
#ifdef M_G1
#define RENEWABLE(a, s) READABLE(a, s)
#else
#define RENEWABLE(a, s) (READABLE(a, s) && MAJORITY(a, seen[P(a, s)]))
#endif
#ifdef M_G2
#define GRANTABLE(a, x) (freeAt[F(a, x)] > 0)
#else
#define GRANTABLE(a, x) (freeAt[F(a, x)] > 0 && (gaveUp[P(a, 1 - (x))] || MAJORITY(a, freeAt[F(a, x)])))
#endif

/*
 * The server rejects lower epochs. Its check of the sequence number is modelled by dropping a delayed order once a later order
 * has been accepted.
 */
#ifdef M_EPOCH
#define ACCEPTS(a, s) ADDRESSED(a, s)
#else
#define ACCEPTS(a, s) (ADDRESSED(a, s) && epoch[a] >= accEpoch[s])
#endif
