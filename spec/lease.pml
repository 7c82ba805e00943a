/*
 * Lease of a chunk, with pauses and takeovers of its holder, and the fenced
 * commit.
 *
 * Two holders contend for one chunk with one item. A holder may be paused at
 * any step (any interleaving); its lease may be considered expired while it
 * still works; and an answer of the object API may be lost after the write
 * took effect. The holder then reads the state object and looks for its
 * writer token.
 *
 * Property: the result of the item becomes visible once, and it is the result
 * of the holder whose commit was confirmed.
 *
 * BROKEN: the commit is written without the condition on the version.
 */
#define HOLDERS 2
#define ROUNDS  2        /* maximum number of leases of a holder */

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
       :: version == seen && !done -> /* takes effect, even if the other lease has not expired */
          version++; epoch = my_epoch; token = mine; leased = true; my_version = version; ok = true
       :: else -> ok = false
       fi
     };
     if
     :: ok -> skip
     :: ok -> /* the answer is lost: read the state and compare the token */
        atomic { ok = (token == mine); my_version = version }
     :: else -> goto again
     fi;
     if :: !ok -> goto again :: else fi;

     /* the item runs here; the holder may be paused for any length of time */

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
     :: known -> /* the answer is lost: read the state */
        atomic { assert(token == mine || done) }
     :: else -> skip          /* fenced: the results are discarded */
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
