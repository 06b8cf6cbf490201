/*
 * Model of the ownership protocol of docs/design.md (rules G1 to G6) for one partition. README.md describes the abstraction.
 *
 * A configuration is selected with -D: ASSIGNERS (their number), TERM (of a lease) and HORIZON (end of the run), both in
 * ticks, RESTARTS (the number of server restarts), DELAYS (orders may be delayed), and at most one of TAKEOVER, THREE,
 * CHANGE and LIVE. Without one of these, assigner 0 starts with epoch 1 and assigner 1 is the deputy, for which epoch 2 is
 * reserved. Ticks are stored plus one where 0 means "none".
 */
#include "guards.pml"

/* Records since when assigner a knows that the partition is free for server x. */
inline noteFree(a, x)
{
	if
	:: running[a] && knows[P(a, x)] != MAYHOLD && NOT_HOLDER(a, 1 - (x)) ->
		if
		:: freeAt[F(a, x)] == 0 -> freeAt[F(a, x)] = now + 1
		:: else
		fi
	:: else -> freeAt[F(a, x)] = 0
	fi
}

/* State reduction: all expired readings are equivalent, so they get the same value. */
inline fade(a, s)
{
	if
	:: lateReading[P(a, s)] > 0 && lateReading[P(a, s)] + TERM <= now + 1 ->
		lateReading[P(a, s)] = 0;
		late[P(a, s)] = (lateFlags[P(a, s)] != 0)
	:: else
	fi;
	if
	:: used[P(a, s)] > 1 && EXPIRED(a, s) -> used[P(a, s)] = 1
	:: else
	fi
}

inline update(a)
{
	fade(a, 0);
	fade(a, 1);
	if
	:: accepted[a] > 1 && SILENT_FREE(a) -> accepted[a] = 1
	:: else
	fi;
	noteFree(a, 0);
	noteFree(a, 1)
}

inline expire(s)
{
	if
	:: leaseEnd[s] <= now ->
		leaseEnd[s] = 0;
#ifndef M_RESTORE
		hold[s] = FREE
#endif
	:: else
	fi
}

/* State reduction: drops a delayed order that the server can no longer accept. */
inline drop(a, s)
{
	if
	:: !ACCEPTS(a, s) -> late[P(a, s)] = 0; lateReading[P(a, s)] = 0; lateFlags[P(a, s)] = 0
	:: else
	fi
}

/* A renewed lease starts at the server's own clock reading in the order, not at the arrival of the order. */
#ifdef M_READING
#define RENEWED(read) (now + TERM)
#else
#define RENEWED(read) (read - 1 + TERM)
#endif

/* A server reports a partition as held until the last request in flight has ended. */
#ifdef M_DRAIN
#define REPORTS_HELD(s) (hold[s] == HELD)
#else
#define REPORTS_HELD(s) (hold[s] != FREE)
#endif

/* The server accepts an order: it records the epoch, renews its lease, then carries out the grant or revocation. */
inline apply(a, s, read, flags)
{
	printf("tick %d: server %d accepts epoch %d: reading %d, flags %d\n", now, s, epoch[a], read - 1, flags);
	accEpoch[s] = epoch[a];
	if
	:: read > 0 && (hold[s] == FREE || leaseEnd[s] > now) ->
		if
		:: RENEWED(read) > leaseEnd[s] && RENEWED(read) > now -> leaseEnd[s] = RENEWED(read)
		:: else
		fi
#ifdef M_RESTORE
	:: read > 0 && hold[s] != FREE && leaseEnd[s] <= now && RENEWED(read) > now -> leaseEnd[s] = RENEWED(read)
#endif
	:: else
	fi;
	if
	:: (flags & REVOKE) && hold[s] == HELD -> hold[s] = DRAINING
	:: (flags & GRANT) && leaseEnd[s] > now -> hold[s] = HELD; released[s] = 0
	:: else
	fi;
#ifdef M_REUSE
	if
	:: reused && epoch[a] == 2	/* the sequence has restarted: the first run's delayed order has a higher number */
	:: else -> late[P(a, s)] = 0; lateReading[P(a, s)] = 0; lateFlags[P(a, s)] = 0
	fi;
#elif !defined(M_SEQUENCE)
	late[P(a, s)] = 0; lateReading[P(a, s)] = 0; lateFlags[P(a, s)] = 0;
#endif
	drop(0, s);
	drop(1, s);
#if ASSIGNERS > 2
	drop(2, s)
#endif
}

/* Updates the state of the assigner when it sends an order. Sets read to the clock reading in the order, 0 for none. */
inline send(a, s, flags)
{
	read = 0;
	if
	:: RENEWABLE(a, s) ->
		read = seen[P(a, s)];
		if
		:: used[P(a, s)] < read -> used[P(a, s)] = read
		:: else
		fi
	:: else
	fi;
	if
	:: flags & GRANT -> knows[P(a, s)] = MAYHOLD; gaveUp[P(a, s)] = 0
	:: else
	fi
}

/* An order is delivered and its report returned within the tick. */
inline exchange(a, s, flags)
{
	send(a, s, flags);
	apply(a, s, read, flags);
	seen[P(a, s)] = now + 1;
	if
	:: s < 2 ->
		if
		:: used[P(a, s)] == 0 -> used[P(a, s)] = USED_AT_FIRST
		:: else
		fi;
		if
		:: REPORTS_HELD(s) -> knows[P(a, s)] = MAYHOLD
		:: else ->
			knows[P(a, s)] = NOTHELD;
			if
			:: released[s] == epoch[a] -> gaveUp[P(a, s)] = 1
			:: else
			fi
		fi
	:: else
	fi;
	if
	:: accepted[a] == 0 && MAJORITY(a, 1) -> accepted[a] = now + 1
	:: else
	fi;
	read = 0;
	update(a)
}

/* The order is delayed and the assigner stops waiting for the report. The order may arrive at any later time or never. */
inline delay(a, s, flags)
{
	send(a, s, flags);
	printf("tick %d: epoch %d, order to server %d delayed: reading %d, flags %d\n", now, epoch[a], s, read - 1, flags);
	late[P(a, s)] = 1; lateReading[P(a, s)] = read; lateFlags[P(a, s)] = flags;
	read = 0;
	drop(a, s);
	update(a)
}

/* The assigner starts with an epoch, the members and previous members, and their incarnations. */
inline start(a, e, mem, prev, memInc, prevInc)
{
	printf("tick %d: epoch %d starts\n", now, e);
	running[a] = 1;
	epoch[a] = e;
	members[a] = mem; previous[a] = prev; memberInc[a] = memInc; previousInc[a] = prevInc;
	update(a)
}

#define MEMBER(a, s) BIT(members[a] | previous[a], s)
#define ONLINE(a, s) (running[a] && MEMBER(a, s) && ACCEPTS(a, s) && REACHABLE(a, s))
#define RENEWS(a, s) (RENEWABLE(a, s) && used[P(a, s)] < seen[P(a, s)])
/* State reduction: an exchange that would change neither side is skipped. */
#define CHANGES(a, s) (seen[P(a, s)] <= now || RENEWS(a, s) || late[P(a, s)] || \
	(knows[P(a, s)] == MAYHOLD && hold[s] == FREE))
#define CAN_GRANT(a, s) (SERVED(a, s) && seen[P(a, s)] > 0 && GRANTABLE(a, s))
#define CAN_REVOKE(a, s) (seen[P(a, s)] > 0 && knows[P(a, s)] == MAYHOLD && hold[s] != DRAINING)
#ifndef LIVE
#define REACHABLE(a, s) 1
#define CALM 1
#else
/*
 * After the last fault, the deputy starts within a tick and an exchange with a reachable member takes less than a tick. The
 * clock waits for both.
 */
#define CALM (now < 1 || (running[1] && (!REACHABLE(1, 1) || SINCE(1, 1, now + 1)) && \
	(!REACHABLE(1, 2) || SINCE(1, 2, now + 1))))
/* Any fault may occur before tick 1. At tick 1 assigner 0 and server 0 fail, and there are no faults after that. */
#ifdef M_MAJORITY
#define REACHABLE(a, s) (now < 1 || (a == 1 && s == 1))	/* server 2 fails too */
#else
#define REACHABLE(a, s) (now < 1 || (a == 1 && s != 0))
#endif
#endif

/*
 * One link for each assigner and member. It runs exchanges one after the other and may pause between any two. An accepted
 * order whose report is lost is modelled only by its effect on the server, which then rejects lower epochs and the delayed
 * order.
 */
proctype Link(byte a; byte s)
{
	byte read;
	do
	:: d_step { ONLINE(a, s) && CHANGES(a, s) -> exchange(a, s, 0) }
#ifndef LIVE
	:: d_step { ONLINE(a, s) && accEpoch[s] != epoch[a] -> apply(a, s, 0, 0) }
#endif
	:: d_step { s < 2 && ONLINE(a, s) && CAN_GRANT(a, s) -> exchange(a, s, GRANT) }
#ifndef LIVE
	:: d_step { s < 2 && ONLINE(a, s) && CAN_REVOKE(a, s) -> exchange(a, s, REVOKE) }
#endif
#ifdef DELAYS
	:: d_step { s < 2 && ONLINE(a, s) && !late[P(a, s)] && RENEWS(a, s) -> delay(a, s, 0) }
	:: d_step { s < 2 && ONLINE(a, s) && !late[P(a, s)] && CAN_GRANT(a, s) -> delay(a, s, GRANT) }
	:: d_step { late[P(a, s)] && ACCEPTS(a, s) -> apply(a, s, lateReading[P(a, s)], lateFlags[P(a, s)]) }
#endif
	od
}

/* The steps of a server that need no message: it ends a drain, or the process restarts and loses its state. */
proctype Server(byte s)
{
	do
	:: d_step { hold[s] == DRAINING -> hold[s] = FREE; released[s] = accEpoch[s] }
#if RESTARTS > 0
	:: d_step { restarts < RESTARTS ->
		printf("tick %d: server %d restarts\n", now, s);
		restarts++;
		incarnation = incarnation ^ (1 << s);
		accEpoch[s] = 0; leaseEnd[s] = 0; hold[s] = FREE; released[s] = 0;
		drop(0, s);
		drop(1, s);
#if ASSIGNERS > 2
		drop(2, s)
#endif
		}
#endif
	od
}

#ifdef PLACEMENT
/* The transaction that writes a placement row also checks that the group row still has the writer's epoch. */
proctype Placement(byte a)
{
	do
	:: d_step { running[a] && PLACEMENT_ALLOWED(a) && placedEpoch != epoch[a] ->
		assert(epoch[a] > placedEpoch);	/* an older epoch must not overwrite an acknowledged assignment */
		placedEpoch = epoch[a]
		}
	od
}
#endif

#ifdef TABLE
/*
 * A takeover writes the group row conditionally on the version that was read. The answer to the write may be lost, and the
 * table may be unavailable for any time.
 */
proctype Takeover(byte a)
{
	byte version, inc, previousOnes;
	atomic { version = rowEpoch; inc = rowInc; previousOnes = rowPreviousInc };
	if
	:: atomic { rowEpoch == version ->
		rowEpoch = version + 2;
		rowToken = a + 1;
		if
		:: inc == previousOnes -> rowInc = incarnation	/* adopts the restarted servers' incarnations */
		:: true
		fi
		}
	:: rowEpoch != version
#ifdef M_G5
	:: true
#endif
	fi;
	/* G5: the epoch is used only after the assigner has read its own token in the row. */
#ifdef M_G5
	d_step { start(a, version + 2, ALL, ALL, inc, previousOnes) }
#else
	d_step { rowEpoch == version + 2 && rowToken == a + 1 -> start(a, rowEpoch, ALL, ALL, rowInc, rowPreviousInc) }
#endif
}
#endif

#ifdef M_REUSE
/* The assigner loses what it knows about a member. */
inline forget(a, s)
{
	seen[P(a, s)] = 0; used[P(a, s)] = 0; knows[P(a, s)] = SILENT; gaveUp[P(a, s)] = 0
}
#endif

proctype Deputy(byte a)
{
	d_step { start(a, 2, ALL, ALL, 0, 0) };
#ifdef M_REUSE
	/* The host restarts, reads in the row that it is the deputy, and uses the reserved epoch a second time. */
	d_step { accepted[a] = 0; forget(a, 0); forget(a, 1); forget(a, 2); reused = 1; update(a) };
#endif
#ifdef TABLE
	/* The deputy writes the row after it has started. */
	d_step { rowEpoch == 1 -> rowEpoch = 2; rowToken = a + 1 }
#endif
}

#ifdef CHANGE
/*
 * Two successive membership changes. Assigner 0 removes server 0, which holds the partition and no longer responds. Assigner
 * 1 makes the next change, after which server 0 is no longer a previous member either.
 */
proctype NextChange()
{
#ifdef M_CHANGE_WAIT
	d_step { accepted[0] > 0 -> start(1, 5, 6, 6, 0, 0) }
#else
	d_step { accepted[0] > 0 && SILENT_FREE(0) -> start(1, 5, 6, 6, 0, 0) }
#endif
}
#endif

/*
 * A router may have an outdated map and send a request to any server at any time, so only the servers' own state counts: two
 * servers must never own the partition at once.
 */
proctype Router()
{
	do
	:: d_step { OWNS(0) -> assert(!OWNS(1)) }
	:: d_step { OWNS(1) -> assert(!OWNS(0)) }
	od
}

/* Advances the time and ends expired leases. */
proctype Clock()
{
	do
	:: d_step { now < HORIZON && CALM ->
		now++;
		expire(0); expire(1);
		update(0); update(1);
#if ASSIGNERS > 2
		update(2)
#endif
		}
	od
}

#ifdef LIVE
/* Keeps a run infinite after its last other step, so that the search for acceptance cycles includes it. */
proctype Idle()
{
	do
	:: now <= HORIZON	/* always true; spin rejects an unconditional loop */
	od
}
#endif

inline runAssigner(a)
{
	run Link(a, 0); run Link(a, 1); run Link(a, 2);
#ifdef PLACEMENT
	run Placement(a)
#endif
}

init
{
	atomic {
		hold[0] = HELD; leaseEnd[0] = TERM;	/* granted in an earlier epoch, whose assigner has failed */
		rowEpoch = 1;
#ifdef CHANGE
		start(0, 3, 6, ALL, 0, 0);
		run NextChange();
#else
#ifdef TAKEOVER
		run Takeover(0); run Takeover(1);
#else
		start(0, 1, ALL, ALL, 0, 0);
		run Deputy(1);
#endif
#endif
#ifdef THREE
		run Takeover(2);
#endif
#ifdef LIVE
		run Idle();
#endif
		run Clock(); run Router();
		run Server(0); run Server(1); run Server(2);
		runAssigner(0);
		runAssigner(1);
#if ASSIGNERS > 2
		runAssigner(2)
#endif
	}
}

#ifdef LIVE
ltl owned { <>[] (hold[1] == HELD && leaseEnd[1] > now) }
#endif
