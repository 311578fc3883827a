/*
 * Idempotency key: a caller sends an at-most-once request to one router and,
 * without a response, to another. The claim is written durably before the first
 * byte is sent to the upstream. Responses of the store are lost, and a router
 * crashes.
 *
 * Mutants, by -D: NO_CLAIM sends the request without a claim, EARLY_NOTRUN
 * reports "not run" after the request was sent, REBILL bills each attempt.
 */
#define ROUTERS 2
#define NO_OWNER 255

byte claimOwner = NO_OWNER;     /* router with the claim, in the store */
bool billed;                    /* the key has a bill, in the store */
bool outcomeUnknown;            /* the outcome is recorded as unknown */
byte runs;                      /* at the upstream */
byte bills;
byte state[ROUTERS];            /* 0 idle, 1 claiming, 2 claim granted, 3 sent, 4 response received, 5 finished (refused, no response or billed), 6 crashed */
bool attemptRan[ROUTERS];       /* the upstream ran this router's attempt */
bool reportedNotRun[ROUTERS];
bool responseReceived[ROUTERS]; /* the upstream's response arrived */

proctype Router(byte r) {
  do
  :: atomic { state[r] == 0 -> state[r] = 1 }
  :: atomic { state[r] == 1 ->
#ifdef NO_CLAIM
       state[r] = 2
#else
       if
       :: claimOwner == NO_OWNER -> claimOwner = r; if :: state[r] = 2 :: skip fi   /* response may be lost */
       :: claimOwner == r -> state[r] = 2                                  /* claim found in the store */
       :: else -> state[r] = 5;
            if
            :: billed || outcomeUnknown || !billed -> skip                      /* refused as running, ran or unknown */
            fi
       fi
#endif
     }
  :: atomic { state[r] == 1 && claimOwner != r -> state[r] = 5; reportedNotRun[r] = true }  /* store unavailable */
  :: atomic { state[r] == 2 -> state[r] = 3 }
  :: atomic { state[r] == 3 && !attemptRan[r] -> runs++; attemptRan[r] = true }
  :: atomic { state[r] == 3 && attemptRan[r] -> responseReceived[r] = true; state[r] = 4 }
  :: atomic { state[r] == 3 -> state[r] = 5;                          /* no response */
#ifdef EARLY_NOTRUN
       reportedNotRun[r] = true
#else
       outcomeUnknown = true
#endif
     }
  :: atomic { state[r] == 4 ->
#ifdef REBILL
       bills++;
#else
       if :: !billed -> bills++ :: else -> skip fi;
#endif
       billed = true;
       if :: state[r] = 5 :: skip fi }                                /* response to the bill lost: repeat */
  :: atomic { state[r] == 5 -> break }
  :: atomic { state[r] == 1 || state[r] == 2 || state[r] == 3 -> state[r] = 6; break }  /* crash */
  od
}

init { atomic { run Router(0); run Router(1) } }

ltl at_most_once { [] (runs <= 1) }
ltl one_bill { [] (bills <= 1) }
ltl not_run_is_true { [] (!(reportedNotRun[0] && attemptRan[0]) && !(reportedNotRun[1] && attemptRan[1])) }
