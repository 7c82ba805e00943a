/*
 * Plan, confirm and spread of configuration versions, with a data centre cut
 * off and nodes restarting.
 *
 * Two operators plan from the version they read and confirm conditionally on
 * it. Nodes take versions from the platform or from one another. A node that
 * restarts has nothing and asks the platform or its peers before it serves.
 *
 * Properties: of two operators with the same base one wins; what a node
 * serves with never goes back, over restarts too.
 *
 * BROKEN: a node serves with a version that no other node holds yet.
 */
#define NODES 3
#define VERSIONS 3

byte stored = 1;             /* version in the platform */
byte winners[VERSIONS + 2];  /* confirmations that became this version */
byte known[NODES];           /* version held; 0: none */
byte serving[NODES];         /* version in force; 0: not serving */
byte served[NODES];          /* highest version a node ever served with */
bool up = true;              /* the platform answers */
byte restarts = 0;           /* of all nodes */

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
  atomic {                               /* confirm: conditional on the base */
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
 * A node follows the platform and its peers, and may restart (one at a
 * time). A version that a node takes is held by a peer before it is served
 * with. A restart keeps nothing; before the node serves again it asks the
 * platform or, during an outage, every peer.
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
     atomic { hold((n + 1) % NODES, known[n]) }; /* offered to a peer first */
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
     } /* served with after the next step's offer */
  :: else -> break
  od
}

init {
  atomic { run Operator(); run Operator(); run Platform(); run Node(0); run Node(1); run Node(2) }
}
