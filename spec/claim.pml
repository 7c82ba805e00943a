/*
 * Claim and dispatch of a non-idempotent request with lost platform answers.
 *
 * Two nodes get the same key. A node sends a create that may take effect late
 * or lose its answer; it dispatches only once it knows that the claim in
 * force carries its token. A node that can't tell in time refuses with "not
 * run" and gives its claim up by a conditional tombstone; the key may then be
 * claimed again.
 *
 * Properties: at most one dispatch per key; a node that refused with "not
 * run" never dispatches.
 *
 * BROKEN: a node takes a lost answer for a success.
 */
#define NODES 2
#define TRIES 2

byte holder = 0;          /* token of the claim in force; 0: absent */
bool abandoned = false;   /* the claim in force is a tombstone */
byte dispatched = 0;
byte tokens = 0;

/* creates that are still on their way: token, 0 for none */
byte wandering[NODES];

inline create(t, effect) {   /* create if absent */
  atomic {
    if
    :: holder == 0 -> holder = t; abandoned = false; effect = true
    :: else -> effect = false
    fi
  }
}

/* A create whose sender gave up waiting arrives after all. */
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
        won = (holder == mine && !abandoned)       /* read back by token */
#endif
     :: wandering[me] == 0 -> wandering[me] = mine /* late; outcome not known in time */
     fi;
     if
     :: !won ->
        /* a tombstone in force may be replaced, on its version */
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
        :: true -> /* deadline passed: not dispatched, the claim is given up */
           refused = true;
           atomic { if :: holder == mine -> abandoned = true :: else -> skip fi }
        fi
     :: else ->
        /* another's claim, or not known: refused; own claim is given up */
        refused = true;
        atomic {
          if
          :: holder == mine -> abandoned = true
          :: holder == 0 -> holder = mine; abandoned = true   /* tombstone in its place */
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
