/*
 * Lease of a chunk, pause, takeover and fenced commit.
 *
 * Two holders contend for one chunk of one item. A holder may be paused at
 * any step (any interleaving), its lease may be judged expired while it is
 * still at work, and an answer of the object API may be lost after the write
 * took effect; the holder then reads back and looks for its writer token.
 *
 * Property: the item's result becomes visible once, and a holder that was
 * told "committed" is the one whose result is visible.
 *
 * BROKEN: the commit is written without the condition on the version.
 */
#define HOLDERS 2
#define ROUNDS  2        /* leases each holder may take */

byte version = 0;        /* of the chunk state object; 0: absent */
byte epoch = 0;
byte token = 0;          /* writer of the newest version */
bool leased = false;
bool done = false;
byte visible = 0;        /* results named by the state object */

byte tokens = 0;         /* source of unique tokens */

inline next_token(t) { atomic { tokens++; t = tokens } }

proctype Holder(byte me) {
  byte rounds = 0, seen, mine, my_epoch, my_version;
  bool known, ok;

  do
  :: rounds < ROUNDS && !done ->
     rounds++;
     /* acquire: read, then conditional write (Acquire, put) */
     atomic { seen = version; my_epoch = epoch + 1 };
     next_token(mine);
     atomic {
       if
       :: version == seen && !done -> /* takes effect; "expired" may be judged wrongly */
          version++; epoch = my_epoch; token = mine; leased = true; my_version = version; ok = true
       :: else -> ok = false
       fi
     };
     if
     :: ok -> skip
     :: ok -> /* the answer is lost: read back by token */
        atomic { ok = (token == mine); my_version = version }
     :: else -> goto again
     fi;
     if :: !ok -> goto again :: else fi;

     /* the item runs here; the holder may be paused for any time */

     /* commit: conditional on the version of its own last write */
     next_token(mine);
     atomic {
#ifdef BROKEN
       if
       :: !done || true ->
#else
       if
       :: version == my_version && !done ->
#endif
          version++; token = mine; visible++; done = true; leased = false; known = true
       :: else -> known = false
       fi
     };
     if
     :: known -> skip
     :: known -> /* answer lost: read back */
        atomic { assert(token == mine || done) }
     :: else -> skip          /* fenced: results are dropped */
     fi;
     assert(visible <= 1);
again: skip
  :: else -> break
  od
}

init {
  byte i = 0;
  atomic { do :: i < HOLDERS -> run Holder(i); i++ :: else -> break od }
}
