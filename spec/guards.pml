/*
 * The state of the model and the guards of the protocol. Each guard has a mutant, chosen with -DM_..., that removes it.
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

/* Flags of an order. */
#define GRANT 1
#define REVOKE 2

/* What an assigner knows of a member's holding. */
#define SILENT 0
#define MAYHOLD 1
#define NOTHELD 2

/* What a server holds. */
#define FREE 0
#define HELD 1
#define DRAINING 2

/* Time: each clock shows the same tick; a clock reading is the tick at which it was taken. */
byte now;

/* The guard of each server. Server 2 is a voting member that is never granted the partition. */
byte accEpoch[SERVERS], leaseEnd[SERVERS], hold[SERVERS], released[SERVERS];
byte incarnation;	/* one bit for each server */
byte restarts;

/* Each assigner. */
bit running[ASSIGNERS];
byte epoch[ASSIGNERS], accepted[ASSIGNERS];	/* accepted: tick+1 at which the majority's acceptance was known */
byte members[ASSIGNERS], previous[ASSIGNERS];	/* masks of servers */
byte memberInc[ASSIGNERS], previousInc[ASSIGNERS];
byte freeAt[ASSIGNERS * 2];	/* tick+1 from which the partition is free for server 0 or 1 */

/* Each assigner's view of each member: the last completed exchange and the last reading used, as tick+1. */
byte seen[PAIRS], used[PAIRS], knows[PAIRS];
bit gaveUp[PAIRS];	/* the member itself released the partition to this epoch */

/* The order of each pair that is delayed in the network. */
bit late[PAIRS];
byte lateReading[PAIRS], lateFlags[PAIRS];

#ifdef M_REUSE
bit reused;
#endif

/* The table row of the group, and the epoch that wrote the acknowledged placement. */
byte rowEpoch, rowToken, rowInc, rowPreviousInc, placedEpoch;
#ifdef M_ROW
#define PLACEMENT_ALLOWED(a) 1
#else
#define PLACEMENT_ALLOWED(a) (rowEpoch == epoch[a])
#endif

#define OWNS(s) (hold[s] != FREE && leaseEnd[s] > now)

/* G4: only the listed incarnation counts; for a previous member, the incarnation listed before. */
#ifdef M_G4
#define ADDRESSED(a, s) 1
#define COUNTED_BEFORE(a, s) 1
#else
#define ADDRESSED(a, s) (BIT(incarnation, s) == BIT(memberInc[a], s))
#define COUNTED_BEFORE(a, s) (BIT(memberInc[a], s) == BIT(previousInc[a], s))
#endif

/* Joint majority of acceptances of orders sent at tick t-1 or later. */
#define SINCE(a, s, t) (seen[P(a, s)] >= (t))
#define OF_MEMBERS(a, t) ((BIT(members[a], 0) && SINCE(a, 0, t)) + (BIT(members[a], 1) && SINCE(a, 1, t)) + \
	(BIT(members[a], 2) && SINCE(a, 2, t)))
#define OF_PREVIOUS(a, t) ((BIT(previous[a], 0) && COUNTED_BEFORE(a, 0) && SINCE(a, 0, t)) + \
	(BIT(previous[a], 1) && COUNTED_BEFORE(a, 1) && SINCE(a, 1, t)) + \
	(BIT(previous[a], 2) && COUNTED_BEFORE(a, 2) && SINCE(a, 2, t)))
#define MAJORITY(a, t) (2 * OF_MEMBERS(a, t) > SIZE(members[a]) && 2 * OF_PREVIOUS(a, t) > SIZE(previous[a]))

/* G3: when a member certainly does not hold the partition. */
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
 * A previous member that is no longer a member votes, but receives neither renewals nor grants: the next membership
 * change forgets it.
 */
#ifdef M_REMOVED
#define SERVED(a, s) 1
#else
#define SERVED(a, s) BIT(members[a], s)
#endif

/* G1 and G2. The last completed exchange gave the reading; one that is too old renews nothing. */
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

/* The server's check of the epoch; that of the sequence drops a delayed order once a later one has been accepted. */
#ifdef M_EPOCH
#define ACCEPTS(a, s) ADDRESSED(a, s)
#else
#define ACCEPTS(a, s) (ADDRESSED(a, s) && epoch[a] >= accEpoch[s])
#endif
