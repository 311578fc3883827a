/*
 * Escrow: a budget's row, a partition's log with its fence, two homes, two
 * routers. Units are granted, spent, returned and topped up; answers are lost;
 * a home is superseded while it believes in itself; a router crashes and its
 * holding is given back on evidence.
 *
 * The log is modelled by the sums that its batches fold to. A transaction is one
 * atomic step, guarded by the fence; whether its answer arrives is a separate
 * choice, so a home that did not hear goes on from an old view.
 *
 * Mutants, by -D: NO_FENCE drops the fence from commits, NO_SEQ lets a repeated
 * exchange take effect twice, NO_EVIDENCE gives a crashed router's holding back
 * on suspicion alone.
 */
#define ROUTERS 2
#define HOMES 2
#define MAXEX 2

byte prepaid = 2;    /* total ever paid */
byte topups = 1;     /* payments still to come */
byte spent;          /* billed, in the log */
byte held[ROUTERS];  /* in the log, by holder */
byte seq[ROUTERS];   /* number of the holder's last exchange, in the log */
byte got[ROUTERS];   /* units granted by that exchange, in the log */
byte fence = 0;      /* incarnation of the home, in the fence row */

byte view[HOMES];    /* incarnation that a home believes it has; 0 for none */
byte take = 0;       /* take-overs so far */

/* A router's own books. */
byte has[ROUTERS];   /* free units */
byte ran[ROUTERS];   /* units used at the upstream and not yet in a bill */
byte bill[ROUTERS];  /* units in the open exchange */
byte myseq[ROUTERS]; /* number of the last answered exchange */
bool open[ROUTERS];  /* an exchange is open */
bool alive[ROUTERS] = true;
bool fenced[ROUTERS]; /* upstreams refuse this router */
byte sent[ROUTERS];  /* exchanges opened */
bool given[ROUTERS]; /* holding given back */

byte twice;
byte used;           /* units used at upstreams, by their own count */

#ifdef NO_FENCE
#define IS_HOME(h) (view[h] != 0)
#else
#define IS_HOME(h) (view[h] != 0 && view[h] == fence)
#endif

#ifdef NO_SEQ
#define IS_NEXT(r) (true)
#else
#define IS_NEXT(r) (seq[r] == myseq[r])
#endif

/* What the log leaves to grant. With the fence gone a home counts by what it
   knew when it took over. */
#ifdef NO_FENCE
#define TAKEN(h) (known[h])
#else
#define TAKEN(h) (spent + held[0] + held[1])
#endif
byte known[HOMES];

#ifdef NO_EVIDENCE
#define USED_UNBILLED (0)
#define REFUSES (false)
#else
/* The upstream's record of use without a bill: an open exchange that took effect
   has moved its bill to spent already. */
#define USED_UNBILLED (ran[0] + (seq[0] == myseq[0] -> bill[0] : 0))
#define REFUSES (true)
#endif

proctype Home(byte h) {
  byte r;
  do
  :: atomic { take < 3 -> take++; fence++; view[h] = fence; known[h] = spent + held[0] + held[1] }
  :: if :: r = 0 :: r = 1 fi;
     /* The commit of router r's open exchange: its bill, then a grant. */
     if
     :: atomic { open[r] && !given[r] && IS_HOME(h) && IS_NEXT(r) && held[r] >= bill[r] ->
          held[r] = held[r] - bill[r];
          spent = spent + bill[r];
          seq[r] = myseq[r] + 1;
          got[r] = 0;
          if
          :: prepaid > TAKEN(h) -> held[r]++; got[r] = 1; known[h]++
          :: true -> skip
          fi }
     :: else -> skip
     fi;
     /* The answer arrives, or is lost and asked for again. */
     if
     :: atomic { open[r] && alive[r] && seq[r] == myseq[r] + 1 ->
          has[r] = has[r] + got[r];
          bill[r] = 0;
          myseq[r]++;
          open[r] = false;
#ifdef NO_SEQ
          /* The old answer may come a second time. */
          if :: twice < 1 -> twice++; has[r] = has[r] + got[r] :: true -> skip fi
#endif
        }
     :: true -> skip
     fi
  /* A router that is held for ended is refused by its upstream from now on, and
     its holding given back, less what the upstream ran without a bill. The
     router may be alive. */
  :: atomic { IS_HOME(h) && !given[0] && held[0] > 0 ->
       given[0] = true;
       fenced[0] = REFUSES;
       spent = spent + USED_UNBILLED;
       held[0] = 0 }
  od
}

proctype Router(byte r) {
  do
  :: atomic { alive[r] && !open[r] && sent[r] < MAXEX ->
       bill[r] = ran[r]; ran[r] = 0; open[r] = true; sent[r]++ }
  :: atomic { alive[r] && !fenced[r] && has[r] > 0 -> has[r]--; ran[r]++; used++ }
  :: atomic { r == 0 && alive[r] -> alive[r] = false; break }  /* crash */
  od
}

active proctype Payer() {
  do
  :: atomic { topups > 0 -> topups--; prepaid++ }
  :: else -> break
  od
}

init {
  atomic {
    run Home(0); run Home(1);
    run Router(0); run Router(1)
  }
}

ltl solvent { [] (spent + held[0] + held[1] <= prepaid) }
ltl no_overspend { [] (used <= prepaid) }
