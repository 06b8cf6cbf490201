/*
 * Model of the fences that the starts of one server accept (docs/decisions/0007, docs/incidents/0020). The server ends and starts again
 * at its address, and neither the registry nor the assigner learns of it. Assigners follow each other; plans move a part of the
 * server's range away, which leaves the rest its fence. The property checked is that a start never accepts the fence of an earlier
 * one. Time is left out: a grant may expire at any moment.
 *
 * Each guard has a mutant, selected with -DM_<NAME>, that removes it.
 */
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef FENCES
#define FENCES 4
#endif

/* The server: the highest fences that the present start and all earlier ones have accepted, and the number of restarts. */
byte accepted, had[1], restarts;

/*
 * The connection of the assigner to the server: closed, open since before the server last accepted a grant of this assigner with the
 * present fence, or opened later. A connection ends with the process at either end.
 */
#define CLOSED 0
#define KNOWN 1
#define NEW 2
byte connection;

/* The table: the fence of the range. The assigner sends the grant of the table only. */
byte fence = 1;

/*
 * What the assigner knows of the grant with the present fence to the present range: nothing was sent, it was sent and the outcome is
 * not known, the server has accepted it, or it must get a new fence.
 */
#define UNSENT 0
#define UNKNOWN 1
#define ACCEPTED 2
#define REFUSED 3
byte state;

inline accept() {
	assert(fence > had[0]);
	if
	:: fence > accepted -> accepted = fence
	:: else
	fi
}

/* A plan gives the range a new fence. */
inline refence() {
	fence < FENCES;
	fence++; state = UNSENT;
	if
	:: connection == KNOWN -> connection = NEW
	:: else
	fi
}

/* A grant was sent on a connection: the server accepts it, and its response arrives or is lost with the connection. */
inline arrive() {
	accept();
	if
	:: state = ACCEPTED; connection = KNOWN
	:: connection = CLOSED;
		if
		:: state == UNSENT -> state = UNKNOWN
		:: else
		fi
	fi
}

/* The assigner sends the grant or its renewal. A renewal needs a connection that was open when the server last accepted the fence. */
inline grant() {
	atomic {
		state != REFUSED ->
		if
#ifdef M_UNANSWERED
		:: state == UNKNOWN -> arrive()
#else
		:: state == UNKNOWN -> state = REFUSED
#endif
#ifndef M_CONNECTION
		:: state == ACCEPTED && connection != KNOWN -> state = REFUSED
		:: state == ACCEPTED && connection == KNOWN -> arrive()
#else
		:: state == ACCEPTED -> arrive()
#endif
		:: state == UNSENT -> arrive()
		fi
	}
}

/* The next plan gives a refused range a new fence. */
inline replan() {
	atomic { state == REFUSED -> refence() }
}

/* A plan moves a part of the range to another server. The rest keeps its fence, and is a range of its own for the assigner. */
inline shrink() {
	atomic {
		state != UNSENT ->
#ifdef M_SHRUNK
		state = UNSENT
#else
		skip	/* the rest inherits what is known of the larger range */
#endif
	}
}

/* A grant has expired, and the assigner forgets those that the table does not name. */
inline expire() {
	atomic {
#ifdef M_PRUNED
		state == ACCEPTED -> state = UNSENT
#else
		false
#endif
	}
}

/* Another daemon becomes the assigner. It has no connection and knows the table only. */
inline elect() {
	atomic {
#ifdef M_CLAIM
		connection = CLOSED; state = UNSENT
#else
		refence();
		connection = CLOSED
#endif
	}
}

/* The server's process ends, and another one starts at its address without the memory of the first. */
inline restart() {
	atomic {
		restarts < RESTARTS ->
		restarts++; connection = CLOSED;
		if
		:: accepted > had[0] -> had[0] = accepted
		:: else
		fi;
		accepted = 0
	}
}

active proctype system() {
	do
	:: grant()
	:: replan()
	:: shrink()
	:: expire()
	:: elect()
	:: restart()
	od
}
