/*
 * Model of grants of one key range by a store that comes back from an older copy (docs/decisions/0011). One assigner acts at a time,
 * which the lease ensures (ranges.pml); the next one knows only the row of the store. Two servers accept grants and may restart. The
 * store's copy is taken at any time and comes back at any later time. The property is that two servers never hold the range at the
 * same time, and that a fence moves to another server only if it is higher. All times are remaining ticks.
 *
 * Each guard has a mutant, selected with -DM_<NAME>, that removes it. With CUT, servers may be out of reach of an assigner.
 */
#ifndef MOVES
#define MOVES 2
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

/* The longest hold in ticks, and the first fence of the second era. */
#define LONGEST 2
#define SECOND 8
#define NONE 2
#define MAX(x, y) (((x) > (y)) -> (x) : (y))
#define DOWN(x) x = ((x) > 0 -> (x) - 1 : 0)

/* The store's row: owner, the incarnation of its process, fence, former owner, and the era in which it was written. */
byte rowOwner, rowRun, rowFence = 1, rowFormer = NONE;
bit rowEra, era;

/* The copy of the row. */
byte copyOwner, copyRun, copyFence, copyFormer;
bit copied;

/* Until when tables that were lost may be in force. It is part of the row, and not copied, since there is one restoration. */
byte unsure;

/*
 * The servers. bar is the highest fence seen, started the incarnation, hold the remaining hold, and had the highest fence
 * of its grants, also of former processes.
 */
byte bar[2], started[2], hold[2], had[2], restarts;

/*
 * The assigner's copy of the row. latest is set while the row has not changed since. granted is set once the owner has accepted the
 * grant, refused once it has refused it, and freed once the former owner holds nothing. bound is the longest remaining hold.
 */
byte owner, ownerRun, fence, former = NONE, bound[2], moves;
bit acting, latest, granted, refused, freed;

inline check() { assert(!(hold[0] > 0 && hold[1] > 0)) }

inline write() {
	rowOwner = owner; rowRun = ownerRun; rowFence = fence; rowFormer = former; rowEra = era
}

/* A fence that is higher than that of the row, and than all of the first era once that has ended. */
#ifdef M_FENCE
#define NEXT (fence + 1)
#else
#define NEXT ((era && fence < SECOND) -> SECOND : fence + 1)
#endif

inline drop() {
	owner = 0; ownerRun = 0; fence = 0; former = NONE; granted = 0; refused = 0; freed = 0; bound[0] = 0; bound[1] = 0; latest = 0
}

inline elect() {
	atomic {
		!acting ->
		acting = 1; latest = 1; granted = 0; refused = 0; freed = 0; bound[0] = LONGEST; bound[1] = LONGEST;
		owner = rowOwner; ownerRun = rowRun; fence = rowFence; former = rowFormer;
		if
		:: rowEra < era ->
#ifndef M_BELIEVE
			unsure = LONGEST;
#endif
			write()
		:: else
		fi
	}
}

inline retire() { atomic { acting -> acting = 0; drop() } }

/* The range is assigned to the other server. If the owner has not confirmed its grant, the next one may hold it already. */
inline move() {
	atomic {
		acting && latest && former == NONE && moves < MOVES ->
		moves++;
		former = owner; owner = 1 - owner; ownerRun = started[owner]; fence = NEXT; granted = 0; refused = 0; freed = 0; write()
	}
}

/* The owner refused, or has started anew: it gets a higher fence, once the other server is known to hold nothing if that is unsure. */
inline refence() {
	atomic {
		acting && latest && (refused || ownerRun != started[owner]) ->
		if
		:: unsure > 0 && !granted -> former = 1 - owner
		:: else
		fi;
		ownerRun = started[owner]; fence = NEXT; granted = 0; refused = 0; freed = 0; write()
	}
}

/* The former owner releases the range. */
inline release() {
	atomic {
		acting && former != NONE && !freed ->
		hold[former] = 0; bar[former] = MAX(bar[former], fence);
		if
		:: freed = 1
		:: true			/* the answer is lost */
		fi
	}
}

/* The former owner does not answer, and every hold that it can have has expired. */
inline expire() { atomic { acting && former != NONE && !freed && bound[former] == 0 -> freed = 1 } }

/* The assigner grants the range, or renews the grant. */
inline grant() {
	atomic {
		acting && (former == NONE || freed) && ownerRun == started[owner] && !refused ->
		if
		:: bar[owner] <= fence ->
			hold[owner] = LONGEST; bar[owner] = fence; bound[owner] = LONGEST; check();
			assert(had[1 - owner] < fence); had[owner] = MAX(had[owner], fence);
			if
			:: granted = 1
			:: true		/* the answer is lost */
			fi
		:: else -> refused = 1
		fi
	}
}

/* The row is rewritten without the former owner. */
inline settle() { atomic { acting && latest && granted && former != NONE && freed -> former = NONE; freed = 0; write() } }

/* The process of a server starts anew, and knows nothing of before. */
inline restart(s) {
	atomic { restarts < RESTARTS -> restarts++; started[s]++; hold[s] = 0; bar[s] = 0 }
}

inline copy() {
	atomic { !copied -> copied = 1; copyOwner = rowOwner; copyRun = rowRun; copyFence = rowFence; copyFormer = rowFormer }
}

/* The store comes back. The assigner that acts may go on for the rest of its lease, but its writes fail. */
inline restore() {
	atomic {
		copied && era == 0 ->
		era = 1; rowOwner = copyOwner; rowRun = copyRun; rowFence = copyFence; rowFormer = copyFormer; latest = 0
	}
}

inline tick() {
	atomic { DOWN(hold[0]); DOWN(hold[1]); DOWN(bound[0]); DOWN(bound[1]); DOWN(unsure) }
}

init {
	do
	:: elect()
	:: retire()
	:: move()
	:: refence()
	:: release()
	:: grant()
	:: settle()
	:: copy()
	:: restore()
	:: restart(0)
	:: restart(1)
	:: tick()
#ifdef CUT
	:: expire()
#endif
	od
}
