/*
 * Request key: a caller sends a request that may run at most once to one router
 * and then, without an answer, to another. The claim is written durably before
 * the first byte goes upstream; answers of the store are lost; a router dies.
 *
 * Mutants, by -D: NO_CLAIM sends without a claim, EARLY_NOTRUN says "not run"
 * after the request was sent, REBILL bills each attempt.
 */
#define ROUTERS 2
#define NONE 255

byte owner = NONE;      /* the claim's router, in the store */
bool billed;            /* the key's bill, in the store */
bool lost;              /* the outcome is recorded as unknown */
byte runs;              /* at the upstream */
byte bills;
byte state[ROUTERS];    /* 0 idle, 1 claiming, 2 granted, 3 sent, 4 answered, 5 refused, 6 dead */
bool ranFor[ROUTERS];   /* the upstream ran this router's attempt */
bool saidNotRun[ROUTERS];
bool got[ROUTERS];      /* the upstream's answer came back */

proctype Router(byte r) {
  do
  :: atomic { state[r] == 0 -> state[r] = 1 }
  :: atomic { state[r] == 1 ->
#ifdef NO_CLAIM
       state[r] = 2
#else
       if
       :: owner == NONE -> owner = r; if :: state[r] = 2 :: skip fi   /* answer may be lost */
       :: owner == r -> state[r] = 2                                  /* found written */
       :: else -> state[r] = 5;
            if
            :: billed || lost || !billed -> skip                      /* told: running, ran or unknown */
            fi
       fi
#endif
     }
  :: atomic { state[r] == 1 && owner != r -> state[r] = 5; saidNotRun[r] = true }  /* store away */
  :: atomic { state[r] == 2 -> state[r] = 3 }
  :: atomic { state[r] == 3 && !ranFor[r] -> runs++; ranFor[r] = true }
  :: atomic { state[r] == 3 && ranFor[r] -> got[r] = true; state[r] = 4 }
  :: atomic { state[r] == 3 -> state[r] = 5;                          /* no answer */
#ifdef EARLY_NOTRUN
       saidNotRun[r] = true
#else
       lost = true
#endif
     }
  :: atomic { state[r] == 4 ->
#ifdef REBILL
       bills++;
#else
       if :: !billed -> bills++ :: else -> skip fi;
#endif
       billed = true;
       if :: state[r] = 5 :: skip fi }                                /* the answer to the bill is lost: again */
  :: atomic { state[r] == 5 -> break }
  :: atomic { state[r] == 1 || state[r] == 2 || state[r] == 3 -> state[r] = 6; break }  /* dies */
  od
}

init { atomic { run Router(0); run Router(1) } }

ltl at_most_once { [] (runs <= 1) }
ltl one_bill { [] (bills <= 1) }
ltl not_run_is_true { [] (!(saidNotRun[0] && ranFor[0]) && !(saidNotRun[1] && ranFor[1])) }
