/*
 * Units drawn directly from a pool: the pool row of one organisation, the router
 * row of one host, whose process ends and is restarted, and another router that
 * draws and uses units.
 *
 * A transaction contains a pool update of one unit (a draw, a return or none) and
 * a lockup, on condition of the versions of both rows that the process knows. It
 * may be committed immediately, late or never, and its response may be lost. A
 * lockup states the number of units that are not spent for LOCK_PERIOD ticks after
 * it was sent; after that, one unit is released in each tick. A later process on
 * the host inherits the units that were still locked when it started.
 *
 * Time is a counter of a few ticks. A suspended host is one that takes no step for
 * a while. Its clock is modelled as the global clock, which releases units earlier
 * than a clock that stopped during the suspension.
 *
 * Mutants, by -D: NO_LAPSE inherits lockups of any age, NO_CLAIM spends locked
 * units, LOST_IS_REFUSED undoes a transaction whose response is lost,
 * EARLY_RELEASE computes the release from the confirmed row although a newer one
 * may have been committed.
 */
#define HOSTS 1
#define LOCK_PERIOD 2
#define MAX_CLOCK 4
#define MAX_TRANSACTIONS 2
#define MAX_STARTS 2

byte prepaid = 2;
byte remaining_topups = 1;
byte drawn, pool_version;
byte used;
byte clock;
byte other_draws;

/* The router rows. */
byte row_version[HOSTS], row_lockup[HOSTS], row_locked_at[HOSTS], row_start[HOSTS], row_txn[HOSTS];

/* Transactions: slot 0 is the one with an unknown outcome, 1 the current one, 2 one
   of an ended process. */
#define SLOT(h, s) ((h) * 3 + (s))
byte txn_state[3]; /* 0 none, 1 sent, 2 committed */
byte txn_row_version[3], txn_pool_version[3], txn_update[3], txn_lockup[3], txn_locked_at[3], txn_number[3], txn_start[3];

/* The processes. */
bool alive[HOSTS] = true;
byte start[HOSTS] = 1, started_at[HOSTS], free[HOSTS], known_row_version[HOSTS], known_pool_version[HOSTS], known_drawn[HOSTS];
byte confirmed_lockup[HOSTS], confirmed_at[HOSTS], sent_txns[HOSTS];
byte inherited[HOSTS]; /* units inherited from the row of an earlier process */

#define NONE 0
#define DRAW 1
#define RETURN 2

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define PENDING_LOCKUP(i) (txn_state[i] == 0 -> 0 : (txn_update[i] == DRAW && txn_lockup[i] > 0 -> txn_lockup[i] - 1 : txn_lockup[i]))
/* LOCKED is the part of a lockup that is not released at time t. */
#define LOCKED(c, at, t) ((t) < (at) + LOCK_PERIOD -> (c) : ((c) > (t) - (at) - LOCK_PERIOD + 1 -> (c) - ((t) - (at) - LOCK_PERIOD + 1) : 0))
#ifdef EARLY_RELEASE
#define PENDING_LOCKED_AT(h, s) (confirmed_at[h])
#else
#define PENDING_LOCKED_AT(h, s) (txn_locked_at[SLOT(h, s)])
#endif
#ifdef NO_CLAIM
#define USABLE(h) (free[h])
#else
#define LOCKED_TOTAL(h) (MAX(LOCKED(confirmed_lockup[h], confirmed_at[h], clock), MAX(LOCKED(PENDING_LOCKUP(SLOT(h, 0)), PENDING_LOCKED_AT(h, 0), clock), LOCKED(PENDING_LOCKUP(SLOT(h, 1)), PENDING_LOCKED_AT(h, 1), clock))))
#define USABLE(h) (free[h] > LOCKED_TOTAL(h) -> free[h] - LOCKED_TOTAL(h) : 0)
#endif

inline clear_txn(i) { txn_state[i] = 0; txn_row_version[i] = 0; txn_pool_version[i] = 0; txn_update[i] = 0; txn_lockup[i] = 0; txn_locked_at[i] = 0; txn_number[i] = 0; txn_start[i] = 0 }

inline copy_txn(from, to) {
  txn_state[to] = txn_state[from]; txn_row_version[to] = txn_row_version[from]; txn_pool_version[to] = txn_pool_version[from]; txn_update[to] = txn_update[from];
  txn_lockup[to] = txn_lockup[from]; txn_locked_at[to] = txn_locked_at[from]; txn_number[to] = txn_number[from]; txn_start[to] = txn_start[from]
}

/* undo_txn undoes a transaction that is never committed: the process keeps a unit that it would
   have returned. */
inline undo_txn(h, i) { if :: txn_update[i] == RETURN -> free[h]++ :: else fi; clear_txn(i) }

/* complete_txn applies a committed transaction to the state of the process. */
inline complete_txn(h, i) {
  if :: txn_update[i] == DRAW -> free[h]++ :: else fi;
  free[h] = free[h] + inherited[h]; inherited[h] = 0;
  confirmed_lockup[h] = txn_lockup[i]; confirmed_at[h] = txn_locked_at[i];
  clear_txn(i)
}

inline read_rows(h) { known_pool_version[h] = pool_version; known_drawn[h] = drawn; known_row_version[h] = row_version[h] }

/* send_txn sends a transaction. A returned unit leaves the process immediately. */
inline send_txn(h, m) {
  atomic {
    sent_txns[h]++;
    if :: m == RETURN -> free[h]-- :: else fi;
    txn_state[SLOT(h, 1)] = 1; txn_row_version[SLOT(h, 1)] = known_row_version[h]; txn_pool_version[SLOT(h, 1)] = known_pool_version[h];
    txn_update[SLOT(h, 1)] = m; txn_number[SLOT(h, 1)] = sent_txns[h]; txn_start[SLOT(h, 1)] = start[h];
    txn_locked_at[SLOT(h, 1)] = (txn_state[SLOT(h, 0)] != 0 -> txn_locked_at[SLOT(h, 0)] : clock);
    if
    :: txn_lockup[SLOT(h, 1)] = 0
    :: free[h] + (m == DRAW -> 1 : 0) > 0 -> txn_lockup[SLOT(h, 1)] = free[h] + (m == DRAW -> 1 : 0)
    fi
  }
}

proctype Router(byte h) {
  do
  :: atomic { alive[h] && txn_state[SLOT(h, 1)] == 0 && sent_txns[h] < MAX_TRANSACTIONS && known_drawn[h] < prepaid -> send_txn(h, DRAW) }
  :: atomic { alive[h] && txn_state[SLOT(h, 1)] == 0 && sent_txns[h] < MAX_TRANSACTIONS && USABLE(h) > 0 -> send_txn(h, RETURN) }
  :: atomic { alive[h] && txn_state[SLOT(h, 1)] == 0 && sent_txns[h] < MAX_TRANSACTIONS -> send_txn(h, NONE) }
  /* Response: committed. The transaction with the unknown outcome required the
     previous version, so it was not committed. */
  :: atomic { alive[h] && txn_state[SLOT(h, 1)] == 2 && txn_start[SLOT(h, 1)] == start[h] ->
       if :: txn_state[SLOT(h, 0)] != 0 -> undo_txn(h, SLOT(h, 0)) :: else fi;
       complete_txn(h, SLOT(h, 1)); read_rows(h) }
  /* Response: the conditions do not hold. */
  :: atomic { alive[h] && txn_state[SLOT(h, 1)] == 1 && (txn_row_version[SLOT(h, 1)] != row_version[h] || txn_pool_version[SLOT(h, 1)] != pool_version) ->
       undo_txn(h, SLOT(h, 1));
       if
       :: known_row_version[h] != row_version[h] ->
            inherited[h] = 0;
            if
            :: txn_state[SLOT(h, 0)] != 0 && row_start[h] == start[h] && row_txn[h] == txn_number[SLOT(h, 0)] -> complete_txn(h, SLOT(h, 0))
            :: txn_state[SLOT(h, 0)] != 0 && !(row_start[h] == start[h] && row_txn[h] == txn_number[SLOT(h, 0)]) -> undo_txn(h, SLOT(h, 0))
            :: else
            fi;
            if
#ifdef NO_LAPSE
            :: row_start[h] != start[h] -> inherited[h] = row_lockup[h]
#else
            :: row_start[h] != start[h] -> inherited[h] = LOCKED(row_lockup[h], row_locked_at[h], started_at[h])
#endif
            :: else
            fi
       :: else
       fi;
       read_rows(h) }
  /* No response. One transaction with an unknown outcome is kept, a second one
     waits for it. */
  :: atomic { alive[h] && txn_state[SLOT(h, 1)] != 0 && txn_state[SLOT(h, 0)] == 0 ->
#ifdef LOST_IS_REFUSED
       if :: txn_update[SLOT(h, 1)] == RETURN -> free[h]++ :: else fi;
       txn_update[SLOT(h, 1)] = (txn_state[SLOT(h, 1)] == 2 -> NONE : txn_update[SLOT(h, 1)]);
       clear_txn(SLOT(h, 1))
#else
       copy_txn(SLOT(h, 1), SLOT(h, 0)); clear_txn(SLOT(h, 1))
#endif
     }
  :: atomic { alive[h] && USABLE(h) > 0 -> free[h]--; used++ }
  /* The process ends. One of its transactions may still be in transit. */
  :: atomic { alive[h] && start[h] < MAX_STARTS ->
       alive[h] = false;
       clear_txn(SLOT(h, 2));
       if
       :: txn_state[SLOT(h, 1)] == 1 -> copy_txn(SLOT(h, 1), SLOT(h, 2))
       :: txn_state[SLOT(h, 0)] == 1 -> copy_txn(SLOT(h, 0), SLOT(h, 2))
       :: true -> skip
       fi;
       clear_txn(SLOT(h, 0)); clear_txn(SLOT(h, 1));
       free[h] = 0; confirmed_lockup[h] = 0; confirmed_at[h] = 0; inherited[h] = 0; known_row_version[h] = 0; known_pool_version[h] = 0; known_drawn[h] = 0; sent_txns[h] = 0 }
  :: atomic { !alive[h] -> alive[h] = true; start[h]++; started_at[h] = clock }
  od
}

/* The store commits a transaction whose conditions hold, immediately or later. */
proctype Store() {
  byte i;
  do
  :: atomic { if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: txn_state[i] == 1 && txn_row_version[i] == row_version[i / 3] && txn_pool_version[i] == pool_version && (txn_update[i] != DRAW || drawn < prepaid) ->
            txn_state[i] = 2;
            row_version[i / 3]++; row_lockup[i / 3] = txn_lockup[i]; row_locked_at[i / 3] = txn_locked_at[i]; row_start[i / 3] = txn_start[i]; row_txn[i / 3] = txn_number[i];
            if
            :: txn_update[i] == DRAW -> drawn++; pool_version++
            :: txn_update[i] == RETURN -> drawn--; pool_version++
            :: else
            fi
       :: else
       fi;
       i = 0 }
  od
}

/* Another router draws a unit and uses it. */
proctype OtherRouter() {
  do
  :: atomic { other_draws < 1 && drawn < prepaid -> other_draws++; drawn++; pool_version++; used++ }
  od
}

proctype Environment() {
  do
  :: atomic { clock < MAX_CLOCK -> clock++ }
  :: atomic { remaining_topups > 0 -> remaining_topups--; prepaid++ }
  od
}

init { atomic { run Router(0); run Store(); run Environment(); run OtherRouter() } }

ltl no_overspend { [] (used <= prepaid) }
ltl none_twice { [] (used + free[0] <= drawn && drawn <= prepaid) }
