/*
 * Escrow of a budget: the row of the budget, the log of a partition with its
 * fence, two homes and two routers. Units are granted, spent, returned and topped
 * up. Responses are lost, a home is superseded without noticing it, and a router
 * crashes, after which the units that it held are recovered by the upstream's
 * records.
 *
 * The log is modelled by the sums over its batches. A transaction is one atomic
 * step that the fence guards. Whether its response arrives is a separate choice,
 * so a home without a response continues with an outdated state.
 *
 * Mutants, by -D: NO_FENCE drops the fence from commits, NO_SEQ lets a repeated
 * exchange take effect twice, NO_EVIDENCE recovers the units of a router that is
 * only suspected to have crashed, without the upstream's records and without
 * fencing the router at the upstream.
 */
#define ROUTERS 2
#define HOMES 2
#define MAX_EXCHANGES 2

byte prepaid = 2;          /* total of all payments */
byte remaining_topups = 1; /* payments to come */
byte billed;               /* in the log */
byte held[ROUTERS];        /* in the log, by holder */
byte logged_seq[ROUTERS];  /* number of the holder's last exchange, in the log */
byte granted[ROUTERS];     /* units granted by that exchange, in the log */
byte fence = 0;            /* incarnation of the home, in the fence row */

byte assumed_incarnation[HOMES]; /* incarnation that a home assumes for itself; 0 for none */
byte takeovers = 0;

/* The state of a router. */
byte free[ROUTERS];          /* units not in use */
byte unbilled[ROUTERS];      /* units used at the upstream and not yet in a bill */
byte exchange_bill[ROUTERS]; /* units billed in the open exchange */
byte acked_seq[ROUTERS];     /* number of the last exchange with a response */
bool exchange_open[ROUTERS]; /* the exchange has no response yet */
bool alive[ROUTERS] = true;
bool fenced[ROUTERS];        /* upstreams reject this router */
byte exchanges[ROUTERS];     /* number of opened exchanges */
bool recovered[ROUTERS];     /* the units held were recovered */

byte duplicates;
byte used; /* units used, by the upstreams' own count */

#ifdef NO_FENCE
#define IS_HOME(h) (assumed_incarnation[h] != 0)
#else
#define IS_HOME(h) (assumed_incarnation[h] != 0 && assumed_incarnation[h] == fence)
#endif

#ifdef NO_SEQ
#define IS_NEXT(r) (true)
#else
#define IS_NEXT(r) (logged_seq[r] == acked_seq[r])
#endif

/* The units that cannot be granted any more, by the log. Without the fence a home
   uses the sum that it knew at its takeover. */
#ifdef NO_FENCE
#define COMMITTED(h) (known_committed[h])
#else
#define COMMITTED(h) (billed + held[0] + held[1])
#endif
byte known_committed[HOMES];

#ifdef NO_EVIDENCE
#define UNBILLED_USAGE (0)
#define FENCES_UPSTREAM (false)
#else
/* The upstream's record of usage without a bill. An open exchange that was
   committed has already added its bill to the billed units. */
#define UNBILLED_USAGE (unbilled[0] + (logged_seq[0] == acked_seq[0] -> exchange_bill[0] : 0))
#define FENCES_UPSTREAM (true)
#endif

proctype Home(byte h) {
  byte r;
  do
  :: atomic { takeovers < 3 -> takeovers++; fence++; assumed_incarnation[h] = fence; known_committed[h] = billed + held[0] + held[1] }
  :: if :: r = 0 :: r = 1 fi;
     /* Commits router r's open exchange: its bill, then a grant. */
     if
     :: atomic { exchange_open[r] && !recovered[r] && IS_HOME(h) && IS_NEXT(r) && held[r] >= exchange_bill[r] ->
          held[r] = held[r] - exchange_bill[r];
          billed = billed + exchange_bill[r];
          logged_seq[r] = acked_seq[r] + 1;
          granted[r] = 0;
          if
          :: prepaid > COMMITTED(h) -> held[r]++; granted[r] = 1; known_committed[h]++
          :: true -> skip
          fi }
     :: else -> skip
     fi;
     /* The response arrives, or is lost and the exchange is repeated. */
     if
     :: atomic { exchange_open[r] && alive[r] && logged_seq[r] == acked_seq[r] + 1 ->
          free[r] = free[r] + granted[r];
          exchange_bill[r] = 0;
          acked_seq[r]++;
          exchange_open[r] = false;
#ifdef NO_SEQ
          /* The old response may arrive a second time. */
          if :: duplicates < 1 -> duplicates++; free[r] = free[r] + granted[r] :: true -> skip fi
#endif
        }
     :: true -> skip
     fi
  /* The upstream rejects a router that is considered ended, and the units that
     it held are recovered, except the upstream's usage without a bill. The router
     may still be alive. */
  :: atomic { IS_HOME(h) && !recovered[0] && held[0] > 0 ->
       recovered[0] = true;
       fenced[0] = FENCES_UPSTREAM;
       billed = billed + UNBILLED_USAGE;
       held[0] = 0 }
  od
}

proctype Router(byte r) {
  do
  :: atomic { alive[r] && !exchange_open[r] && exchanges[r] < MAX_EXCHANGES ->
       exchange_bill[r] = unbilled[r]; unbilled[r] = 0; exchange_open[r] = true; exchanges[r]++ }
  :: atomic { alive[r] && !fenced[r] && free[r] > 0 -> free[r]--; unbilled[r]++; used++ }
  :: atomic { r == 0 && alive[r] -> alive[r] = false; break }  /* crash */
  od
}

active proctype Payments() {
  do
  :: atomic { remaining_topups > 0 -> remaining_topups--; prepaid++ }
  :: else -> break
  od
}

init {
  atomic {
    run Home(0); run Home(1);
    run Router(0); run Router(1)
  }
}

ltl solvent { [] (billed + held[0] + held[1] <= prepaid) }
ltl no_overspend { [] (used <= prepaid) }
