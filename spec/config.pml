/*
 * Planning, applying and distribution of configuration versions during an
 * outage of the platform and restarts of nodes.
 *
 * Two operators plan on the version they read and apply their plans
 * conditionally on it. Nodes get versions from the platform or from one
 * another. A restarted node has no version and queries the platform or its
 * peers before it serves.
 *
 * Properties: of two operators with the same base version at most one
 * succeeds; the version that a node serves with never decreases, also over
 * restarts.
 *
 * BROKEN: a node serves with a version that no other node has yet.
 */
#define NODES 3
#define VERSIONS 3

byte stored = 1;             /* version stored by the platform */
byte winners[VERSIONS + 2];  /* number of plans that became this version */
byte known[NODES];           /* version that a node has; 0: none */
byte serving[NODES];         /* version in force; 0: not serving */
byte served[NODES];          /* highest version a node ever served with */
bool up = true;              /* whether the platform answers */
byte restarts = 0;           /* restarts of all nodes */

inline hold(n, v) {
  if
  :: v > known[n] -> known[n] = v
  :: else -> skip
  fi
}

inline serve(n) {
  assert(known[n] >= served[n]);
  serving[n] = known[n];
  served[n] = known[n]
}

proctype Operator() {
  byte base = stored;                    /* plan */
  atomic {                               /* apply: conditional on the base */
    if
    :: up && stored == base -> stored = base + 1; winners[base + 1]++; assert(winners[base + 1] == 1)
    :: else -> skip                      /* stale plan, or no answer */
    fi;
    base = 0
  }
}

proctype Platform() {
  up = false;
  up = true
}

/*
 * A node gets versions from the platform and its peers, and may restart (one
 * at a time). It gives a version to a peer before it serves with it. A
 * restart loses all state; before the node serves again it queries the
 * platform, if that is up, and every peer.
 */
proctype Node(byte n) {
  byte steps = 0, best;
  do
  :: steps < 2 ->
     steps++;
     atomic {
       if
       :: up -> hold(n, stored)
       :: true -> hold(n, known[(n + 1) % NODES])
       :: true -> hold(n, known[(n + 2) % NODES])
       fi
     };
#ifndef BROKEN
     atomic { hold((n + 1) % NODES, known[n]) }; /* given to a peer first */
#endif
     atomic { if :: known[n] > serving[n] -> serve(n) :: else -> skip fi }
  :: restarts < 2 && serving[n] != 0 ->
     restarts++;
     atomic {
       known[n] = 0; serving[n] = 0;
       best = known[(n + 1) % NODES];
       if :: known[(n + 2) % NODES] > best -> best = known[(n + 2) % NODES] :: else -> skip fi;
       if :: up && stored > best -> best = stored :: else -> skip fi;
       hold(n, best);
       best = 0
     } /* served with after the next step has given it to a peer */
  :: else -> break
  od
}

init {
  atomic { run Operator(); run Operator(); run Platform(); run Node(0); run Node(1); run Node(2) }
}
