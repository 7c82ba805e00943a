/*
 * Claim and dispatch of a non-idempotent request while answers of the
 * platform are lost.
 *
 * Two nodes receive a request with the same key. A node sends a create of the
 * claim, which may take effect late or lose its answer. The node dispatches
 * the request only once it knows that the current claim has its token. A node
 * that does not know in time refuses with "not run" and abandons its claim by
 * writing a tombstone conditionally; then the key may be claimed again.
 *
 * Properties: at most one dispatch per key; a node that refused with "not
 * run" never dispatches.
 *
 * BROKEN: a node treats a lost answer as a success.
 */
#define NODES 2
#define TRIES 2

byte holder = 0;          /* token of the current claim; 0: none */
bool abandoned = false;   /* the current claim is a tombstone */
byte dispatched = 0;
byte tokens = 0;

/* creates in transit, by node: token; 0: none */
byte wandering[NODES];

inline create(t, effect) {   /* create if absent */
  atomic {
    if
    :: holder == 0 -> holder = t; abandoned = false; effect = true
    :: else -> effect = false
    fi
  }
}

/* A create arrives after its sender has stopped waiting. */
proctype Network() {
  bool effect;
end:
  do
  :: wandering[0] != 0 -> create(wandering[0], effect); wandering[0] = 0
  :: wandering[1] != 0 -> create(wandering[1], effect); wandering[1] = 0
  od
}

proctype Node(byte me) {
  byte tries = 0, mine;
  bool effect, won, refused;

  do
  :: tries < TRIES ->
     tries++;
     atomic { tokens++; mine = tokens };
     won = false; refused = false;
     if
     :: true -> create(mine, effect); won = effect        /* answer arrives */
     :: true -> create(mine, effect);              /* answer lost after the effect */
#ifdef BROKEN
        won = true
#else
        won = (holder == mine && !abandoned)       /* read the claim and compare the token */
#endif
     :: wandering[me] == 0 -> wandering[me] = mine /* delayed: outcome unknown in time */
     fi;
     if
     :: !won ->
        /* a tombstone may be replaced, conditionally on its version */
        atomic {
          if
          :: abandoned && wandering[me] == 0 -> holder = mine; abandoned = false; won = true
          :: else -> skip
          fi
        }
     :: else -> skip
     fi;
     if
     :: won ->
        if
        :: true -> dispatched++; assert(dispatched <= 1); break
        :: true -> /* deadline passed: not dispatched, the claim is abandoned */
           refused = true;
           atomic { if :: holder == mine -> abandoned = true :: else -> skip fi }
        fi
     :: else ->
        /* claim of the other node, or unknown: refused; the own claim is abandoned */
        refused = true;
        atomic {
          if
          :: holder == mine -> abandoned = true
          :: holder == 0 -> holder = mine; abandoned = true   /* tombstone instead of the claim */
          :: else -> skip
          fi
        }
     fi
  :: else -> break
  od
}

init {
  atomic { run Network(); run Node(0); run Node(1) }
}
