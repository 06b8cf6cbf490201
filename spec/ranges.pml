/*
 * Model of time-limited grants (holds) of one key range (docs/decisions/0007). Two daemons compete for the assigner's lease, two
 * servers accept grants, and the store keeps the lease and the table. The property checked is that two servers never hold the
 * range at the same time. All times are remaining ticks rather than points in time, so that runs are unbounded. The product
 * also stops renewing the hold of a range that a pending write moves away; the model omits this, because the bound of each
 * hold and the fences suffice for the property.
 *
 * Each guard has a mutant, selected with -DM_<NAME>, that removes it.
 */
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef MOVES
#define MOVES 1
#endif

/*
 * Durations in ticks: the assigner's lease, a hold on the server's clock, what a slow server clock may add to a hold, and the
 * timeout after which the sender of an order gives up and an order that has not arrived is lost.
 */
#define LEASE 2
#define HOLD 1
#define DRIFT 1
#define ORDER 1

#define NONE 2
#define MAX(x, y) (((x) > (y)) -> (x) : (y))
#define DOWN(x) x = ((x) > 0 -> (x) - 1 : 0)

#ifdef M_DRIFT
#define LONGEST HOLD
#else
#define LONGEST (HOLD + DRIFT)
#endif
#ifdef M_ARRIVAL
#define SENT_BOUND LONGEST
#else
#define SENT_BOUND (ORDER + LONGEST)
#endif

/* The store: the assigner's lease, and the table with the owner, fence and former owner of the range. */
byte leaseHolder = NONE, leaseLeft;
byte rowOwner, rowFence, rowFormer = NONE;

/* The servers. bar is the highest fence seen, holdLeft the remaining hold; ended is set while no process listens. */
byte bar[2], holdLeft[2], restarts;
bit ended[2];

/*
 * The assigners. phase: 0 without a term, 1 has read the table, 2 acting. left is the rest of the lease. owner, fence and
 * former are the assigner's copy of the table; latest is set while the table in the store has not changed since. freed is set
 * once the former owner cannot hold the range any more, and bound is the longest time that each server may still hold it.
 */
byte phase[2], left[2], owner[2], fence[2], former[2], bound[4], moves;
bit freed[2], latest[2];
#define BOUND(a, s) bound[(a) * 2 + (s)]

/*
 * The write of each assigner to the table: pending while the assigner does not know its outcome, writing while the store may
 * still apply it, replaces while it would succeed, and written from when it has succeeded until another write succeeds.
 */
bit pending[2], writing[2], replaces[2], written[2];
byte writeOwner[2], writeFence[2], writeFormer[2];

/*
 * The grant and the release of each assigner that are in flight; at most one of each. A grant has arrived once it has reached
 * the server's machine. The server may process it later, but the hold is counted from the arrival.
 */
bit grantSent[2], grantArrived[2], releaseSent[2], releaseDone[2];
byte grantLeft[2], grantTo[2], grantFence[2], releaseTo[2], releaseFence[2];

#ifdef M_LEASE
#define VALID(a) 1
#else
#define VALID(a) (left[a] > 0)
#endif

#ifdef M_RELEASE
#define FREE(a) 1
#else
#define FREE(a) (former[a] == NONE || freed[a])
#endif

inline check() { assert(!(holdLeft[0] > 0 && holdLeft[1] > 0)) }

/* The assigner reads the table. */
inline read(a) {
	owner[a] = rowOwner; fence[a] = rowFence; former[a] = rowFormer; freed[a] = 0; latest[a] = 1
}

/* The table changes: each pending write that was conditional on the previous version will fail. */
inline changed() {
	latest[0] = 0; latest[1] = 0; replaces[0] = 0; replaces[1] = 0; written[0] = 0; written[1] = 0
}

/* The term of the assigner ends, and it drops what it knows. */
inline leave(a) {
	phase[a] = 0; pending[a] = 0; left[a] = 0; owner[a] = 0; fence[a] = 0; former[a] = NONE; freed[a] = 0; latest[a] = 0;
	BOUND(a, 0) = 0; BOUND(a, 1) = 0
}

/* The assigner acquires the free lease and reads the table. */
inline elect(a) {
	atomic {
		phase[a] == 0 && leaseLeft == 0 ->
		leaseHolder = a; leaseLeft = LEASE; left[a] = LEASE; read(a);
#ifdef M_TERM
		phase[a] = 2;
#else
		phase[a] = 1;
#endif
#ifndef M_BEFORE
		/* The previous assigner may have sent grants until its lease ended. */
		BOUND(a, 0) = SENT_BOUND; BOUND(a, 1) = SENT_BOUND
#endif
	}
}

/* A term begins with a write that makes every earlier write fail. If the table has changed meanwhile, it is read again. */
inline begin(a) {
	atomic {
		phase[a] == 1 && VALID(a) ->
		if
		:: latest[a] -> changed(); latest[a] = 1; phase[a] = 2
		:: else -> read(a)
		fi
	}
}

/* The assigner renews its lease. */
inline renew(a) {
	atomic {
		phase[a] > 0 && leaseHolder == a && leaseLeft > 0 ->
		leaseLeft = LEASE;
		if
		:: left[a] = LEASE	/* answered */
		:: true			/* the answer is lost */
		fi
	}
}

/* The term ends when the lease expires. Orders and writes in flight remain in flight. */
inline retire(a) {
	atomic { phase[a] > 0 && left[a] == 0 -> leave(a) }
}

/* The assigner sends the write that assigns the range to the other server. */
inline move(a) {
	atomic {
		phase[a] == 2 && VALID(a) && !pending[a] && !writing[a] && former[a] == NONE && moves < MOVES ->
		moves++;
		pending[a] = 1; writing[a] = 1; replaces[a] = latest[a]; written[a] = 0;
		writeOwner[a] = 1 - owner[a]; writeFormer[a] = owner[a];
#ifdef M_FENCE
		writeFence[a] = fence[a];
#else
		writeFence[a] = fence[a] + 1;
#endif
#ifdef M_WRITE
		owner[a] = writeOwner[a]; fence[a] = writeFence[a]; former[a] = writeFormer[a]; freed[a] = 0; pending[a] = 0
#endif
	}
}

/* The store applies a write if the table has not changed since the writer read it. This may be long after the sender gave up. */
inline apply(a) {
	atomic {
		writing[a] ->
		if
		:: replaces[a] ->
			rowOwner = writeOwner[a]; rowFence = writeFence[a]; rowFormer = writeFormer[a];
			changed(); written[a] = 1;
			assert(!(phase[1 - a] == 2 && left[1 - a] > 0))	/* the table must not change while the other assigner acts */
		:: else
		fi;
		writing[a] = 0; writeOwner[a] = 0; writeFence[a] = 0; writeFormer[a] = 0
	}
}

/* The assigner learns the outcome of its write. */
inline learn(a) {
	atomic {
		phase[a] == 2 && pending[a] && !writing[a] ->
		if
		:: written[a] -> read(a); pending[a] = 0
		:: else -> leave(a)	/* another daemon has written */
		fi;
		written[a] = 0
	}
}

/* The assigner asks the former owner to release the range. */
inline release(a) {
	atomic {
		phase[a] == 2 && former[a] != NONE && !freed[a] && !releaseSent[a] && !pending[a] ->
		releaseSent[a] = 1; releaseTo[a] = former[a]; releaseFence[a] = fence[a]
	}
}

/* The former owner processes the release and from then on rejects grants with a lower fence. */
inline released(a) {
	atomic {
		releaseSent[a] && !releaseDone[a] && !ended[releaseTo[a]] ->
		holdLeft[releaseTo[a]] = 0;
#ifndef M_BAR
		bar[releaseTo[a]] = MAX(bar[releaseTo[a]], releaseFence[a]);
#endif
		releaseDone[a] = 1
	}
}

/*
 * The connection for a release is refused. A network that is cut off may refuse connections at any time, so that this says
 * nothing about the process.
 */
inline refused(a) {
	atomic {
		releaseSent[a] && !releaseDone[a] ->
#ifdef M_REFUSED
		if
		:: phase[a] == 2 && former[a] == releaseTo[a] && fence[a] == releaseFence[a] -> freed[a] = 1
		:: else
		fi;
#endif
		releaseSent[a] = 0; releaseTo[a] = 0; releaseFence[a] = 0
	}
}

/* The answer to a release arrives or is lost. */
inline answered(a) {
	atomic {
		releaseDone[a] ->
		if
		:: phase[a] == 2 && former[a] == releaseTo[a] && fence[a] == releaseFence[a] -> freed[a] = 1
		:: true
		fi;
		releaseSent[a] = 0; releaseDone[a] = 0; releaseTo[a] = 0; releaseFence[a] = 0
	}
}

/* Without an answer, the assigner waits until every hold that it or an earlier assigner may have granted has expired. */
inline expire(a) {
	atomic {
		phase[a] == 2 && former[a] != NONE && !freed[a] && !pending[a] && BOUND(a, former[a]) == 0 -> freed[a] = 1
	}
}

/* The grant is no longer in flight. */
inline forget(a) {
	grantSent[a] = 0; grantArrived[a] = 0; grantLeft[a] = 0; grantTo[a] = 0; grantFence[a] = 0
}

/* The assigner sends a grant to the owner, once the former owner is known not to hold the range. */
inline grant(a) {
	atomic {
		phase[a] == 2 && VALID(a) && !grantSent[a] && FREE(a) ->
		grantSent[a] = 1; grantLeft[a] = ORDER; grantTo[a] = owner[a]; grantFence[a] = fence[a];
		BOUND(a, owner[a]) = MAX(BOUND(a, owner[a]), SENT_BOUND);
		if
		:: ended[owner[a]] -> forget(a)		/* the connection is refused */
		:: else
		fi
	}
}

/* A grant reaches the server's machine. */
inline arrive(a) {
	atomic {
		grantSent[a] && !grantArrived[a] && !ended[grantTo[a]] -> grantArrived[a] = 1; grantLeft[a] = HOLD + DRIFT
	}
}

/* The server processes a grant and rejects it if it has seen a higher fence. */
inline take(a) {
	atomic {
		grantArrived[a] ->
		if
		:: grantFence[a] >= bar[grantTo[a]] ->
			bar[grantTo[a]] = grantFence[a];
			holdLeft[grantTo[a]] = MAX(holdLeft[grantTo[a]], grantLeft[a])
		:: else
		fi;
		forget(a);
		check()
	}
}

/* A grant is lost in the network. */
inline lose(a) {
	atomic { grantSent[a] && !grantArrived[a] -> forget(a) }
}

/*
 * A server process ends; another one may start at its address without the state of the first. Orders in flight are lost with
 * the connections.
 */
inline crash(s) {
	atomic {
		!ended[s] && restarts < RESTARTS -> restarts++; ended[s] = 1; holdLeft[s] = 0; bar[s] = 0;
		if :: grantSent[0] && grantTo[0] == s -> forget(0) :: else fi;
		if :: grantSent[1] && grantTo[1] == s -> forget(1) :: else fi
	}
}

inline restart(s) {
	atomic { ended[s] -> ended[s] = 0 }
}

/* An order that has not arrived when its sender gives up must be lost before the time advances. */
#define OVERDUE(a) (grantSent[a] && !grantArrived[a] && grantLeft[a] == 0)

/* Time advances by one tick. */
inline tick() {
	atomic {
		!OVERDUE(0) && !OVERDUE(1) ->
		DOWN(leaseLeft); DOWN(left[0]); DOWN(left[1]); DOWN(holdLeft[0]); DOWN(holdLeft[1]);
		DOWN(grantLeft[0]); DOWN(grantLeft[1]);
		DOWN(bound[0]); DOWN(bound[1]); DOWN(bound[2]); DOWN(bound[3])
	}
}

active proctype system() {
	former[0] = NONE; former[1] = NONE;
	do
	:: elect(0) :: elect(1)
	:: begin(0) :: begin(1)
	:: renew(0) :: renew(1)
	:: retire(0) :: retire(1)
	:: move(0) :: move(1)
	:: apply(0) :: apply(1)
	:: learn(0) :: learn(1)
	:: release(0) :: release(1)
	:: released(0) :: released(1)
	:: refused(0) :: refused(1)
	:: answered(0) :: answered(1)
	:: expire(0) :: expire(1)
	:: grant(0) :: grant(1)
	:: arrive(0) :: arrive(1)
	:: take(0) :: take(1)
	:: lose(0) :: lose(1)
	:: crash(0) :: crash(1)
	:: restart(0) :: restart(1)
	:: tick()
	od
}
