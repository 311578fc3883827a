/*
 * Restore of the store from a backup. Two routers draw units from one pool, one at
 * a time, on condition of the row version that they know. The store may make a
 * backup at any step and be restored from it later. The restore begins a new era:
 * the row has a new key, row versions are reused, and nothing is drawn until the
 * routers have reconciled the pool from the newest snapshot that one of them
 * reports.
 *
 * A router may end for good. For a router that cannot report, one unit is
 * withheld, which it may have drawn without the other router's knowledge: a router
 * draws no second unit before the other one has read the first draw.
 *
 * Mutants, by -D: NO_SETTLE continues from the backup without reconciliation,
 * KEEP_ANSWER accepts the response to a draw of an earlier era, SAME_KEY leaves the
 * era out of the row's key, NO_WITHHOLD reconciles without a missing router and
 * withholds nothing, OLD_READING reports the last received snapshot instead of the
 * newest.
 */
#define ROUTERS 2
#define MAX_DRAWS 3

byte prepaid = 3;
byte era, drawn, version;
bool row_exists = true; /* the row of the current era exists */
bool backed_up;
byte backup_drawn, backup_version;
byte used;

bool alive[ROUTERS] = true;
byte known_era[ROUTERS], free[ROUTERS], snapshot_version[ROUTERS], snapshot_drawn[ROUTERS], draws[ROUTERS];
byte reported_era[ROUTERS], reported_version[ROUTERS], reported_drawn[ROUTERS]; /* snapshot of the previous era */
bool reported[ROUTERS], reconciled[ROUTERS] = true, unread_draw[ROUTERS];

byte draw_state[ROUTERS]; /* of a draw: 0 none, 1 sent, 2 committed */
byte draw_era[ROUTERS], draw_version[ROUTERS], draw_drawn[ROUTERS];

#define OTHER(r) (1 - (r))
#define ALL_REPORTED ((reported[0] || !alive[0]) && (reported[1] || !alive[1]))
#define UNREPORTED_DRAW(r) (!reported[r] -> 1 : 0)
/* The units drawn by the reported snapshot with the highest version. */
#define NEWEST_DRAWN(r) (reported[OTHER(r)] && reported_version[OTHER(r)] > reported_version[r] -> reported_drawn[OTHER(r)] : reported_drawn[r])
#ifdef NO_WITHHOLD
#define RECONCILED_DRAWN(r) (NEWEST_DRAWN(r))
#else
#define RECONCILED_DRAWN(r) (NEWEST_DRAWN(r) + UNREPORTED_DRAW(OTHER(r)) > prepaid -> prepaid : NEWEST_DRAWN(r) + UNREPORTED_DRAW(OTHER(r)))
#endif

/* UPDATE_SNAPSHOT sets a router's snapshot by its own draw, unless it has a newer one. */
#ifdef OLD_READING
#define UPDATE_SNAPSHOT(r) snapshot_version[r] = draw_version[r] + 1; snapshot_drawn[r] = draw_drawn[r] + 1
#else
#define UPDATE_SNAPSHOT(r) if :: draw_version[r] + 1 > snapshot_version[r] -> snapshot_version[r] = draw_version[r] + 1; snapshot_drawn[r] = draw_drawn[r] + 1 :: else fi
#endif

proctype Router(byte r) {
  do
  /* Reads the row. */
  :: atomic { alive[r] && known_era[r] == era && row_exists && reconciled[r] -> snapshot_version[r] = version; snapshot_drawn[r] = drawn; unread_draw[OTHER(r)] = false }
  /* Sends a draw. */
  :: atomic { alive[r] && reconciled[r] && draw_state[r] == 0 && draws[r] < MAX_DRAWS && !unread_draw[r] && snapshot_drawn[r] < prepaid ->
       draws[r]++; draw_state[r] = 1; draw_era[r] = known_era[r]; draw_version[r] = snapshot_version[r]; draw_drawn[r] = snapshot_drawn[r] }
  /* Receives the response, or treats the draw as failed. */
  :: atomic { alive[r] && draw_state[r] == 2 ->
       if
#ifdef KEEP_ANSWER
       :: true -> free[r]++; UPDATE_SNAPSHOT(r)
#else
       :: draw_era[r] == known_era[r] -> free[r]++; UPDATE_SNAPSHOT(r)
       :: else
#endif
       fi;
       draw_state[r] = 0 }
  :: atomic { alive[r] && draw_state[r] == 1 && (draw_era[r] != era || draw_version[r] != version) -> draw_state[r] = 0 }
  /* Spends a unit, with or without a connection to the store. */
  :: atomic { alive[r] && free[r] > 0 -> free[r]--; used++ }
  /* Detects the new era and reports its snapshot. */
  :: atomic { alive[r] && known_era[r] != era ->
       reported_era[r] = known_era[r]; reported_version[r] = snapshot_version[r]; reported_drawn[r] = snapshot_drawn[r];
       known_era[r] = era; snapshot_version[r] = 0; snapshot_drawn[r] = 0;
#ifdef NO_SETTLE
       if :: !row_exists -> row_exists = true; drawn = backup_drawn :: else fi; snapshot_version[r] = version; snapshot_drawn[r] = drawn
#else
       reconciled[r] = false; reported[r] = true
#endif
     }
  /* Reconciles the pool, or accepts the other router's reconciliation. */
  :: atomic { alive[r] && !reconciled[r] && (row_exists || ALL_REPORTED) ->
       if :: !row_exists -> row_exists = true; drawn = RECONCILED_DRAWN(r) :: else fi;
       reconciled[r] = true; snapshot_version[r] = version; snapshot_drawn[r] = drawn }
  :: atomic { alive[r] && alive[OTHER(r)] -> alive[r] = false; free[r] = 0 }
  od
}

proctype Store() {
  byte i;
  do
  :: atomic { if :: i = 0 :: i = 1 fi;
       if
#ifdef SAME_KEY
       :: draw_state[i] == 1 && draw_version[i] == version && row_exists ->
#else
       :: draw_state[i] == 1 && draw_era[i] == era && draw_version[i] == version && row_exists ->
#endif
            draw_state[i] = 2; version++; drawn = draw_drawn[i] + 1; unread_draw[i] = true
       :: else
       fi;
       i = 0 }
  :: atomic { era == 0 && !backed_up -> backed_up = true; backup_drawn = drawn; backup_version = version }
  /* Before the restore, live routers have read all but the last draw: see unread_draw. */
  :: atomic { era == 0 && backed_up -> era = 1; row_exists = false; version = backup_version; drawn = 0 }
  od
}

init { atomic { run Router(0); run Router(1); run Store() } }

ltl no_overspend { [] (used + free[0] + free[1] <= prepaid) }
