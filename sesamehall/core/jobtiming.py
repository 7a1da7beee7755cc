"""Periods and limits of the managers' work on jobs.

Periodic work runs on ticks, so its periods are rounded up to whole ticks.
"""

MANAGER_TICK_MS = 100  # time between ticks
CALLER_CALL_TIMEOUT_MS = 2_200  # callers wait 3 s, and the answer takes time
STREAM_READ_RETRY_MS = 250  # pause after a failed read of a stream
OPERATOR_WAIT_MS = 1_000  # long poll; a lost connection is noticed after this
JOBS_WAIT_MS = 500  # long poll of the leader for new jobs
JOBS_PERIOD_MS = 1_000  # followers read new jobs
PROGRESS_PERIOD_MS = 250  # followers read the leader's records: 3 ticks
WORKERS_PERIOD_MS = 150  # the leader reads registrations: 2 ticks
# A manifest read longer ago authorizes no calls: its keys may be withdrawn.
MANIFEST_MAX_AGE_MS = 1_800
MANIFEST_AGE_MARGIN_MS = 400  # for the answer to a read that confirms it

LEADER_TIMEOUT_MS = 1_200  # a leader that writes no records is replaced
# Delay of a claim by a node without cores, in proportion for one with fewer
# than LEADER_CORES.  Longer than the 300 ms between two reads of the records,
# since nodes notice a vacancy at times that differ by that much.
LEADER_CLAIM_CORES_DELAY_MS = 700
LEADER_CLAIM_JITTER_MS = 120  # spreads the claims of equal nodes
LEADER_CLAIM_RECOVERY_DELAY_MS = 600  # a live leader writes again by then
LEADER_CORES = 2.0  # a node with this many claims without the cores delay
HANDOVER_CORES_RATIO = 1.5  # successor's cores that make a handover worthwhile
OFFER_DELAY_MS = 500  # a new leader takes over its workers first
OFFER_JITTER_MS = 1_000  # spreads the offers of several nodes
OFFER_RETRY_MS = 3_000  # pause before an offer is repeated
# A worker call is a start or stop order, without the wait for a thread.
SLOW_WORKER_CALL_MS = 80  # mean latency; ten times that of a healthy leader
QUICK_WORKER_CALL_MS = 40  # mean latency below which calls are quick again
WORKER_CALL_CAP_MS = 200  # a longer call counts as this long in the mean
WORKER_CALLS_AVERAGED = 16  # weight of a call in the mean is 1/16
SLOW_WORKER_CALLS_MIN_MS = 1_000  # slow calls for less time may be a burst
HANDOVER_COOLDOWN_MS = 15_000  # keeps slow nodes from swapping the role
HEARTBEAT_MS = 250  # several of these fit into LEADER_TIMEOUT_MS
COMMIT_PERIOD_MS = 40  # changed records are batched for this long
# Both limits are ages of the latest confirmed write, from when it was sent.
# Up to the first one no successor can have begun, so a leader may start
# anything.  Up to the second one it still renews leases and starts tasks of
# jobs that it knew by the first; a successor waits for these.
TERM_CONFIRMED_MS = 900  # below LEADER_TIMEOUT_MS
RENEWAL_CUTOFF_MS = 5_000  # outages of the store that leases outlast

LEASE_MS = 3_600  # longer than a takeover, so that runs survive one
START_LEASE_MS = 2_500  # lease of a start; the order is void after this
SLOW_ORDER_MS = 500  # order to answer, including the wait for a thread
ORDER_WINDOW_INITIAL = 128  # start orders in flight, at first
ORDER_WINDOW_MIN = 16  # orders; some get through while others block threads
ORDER_WINDOW_MAX = 256  # orders
ORDER_WINDOW_CUT_DIVISOR = 16  # a slow answer cuts the window by 1/16
ORDER_EXPIRY_MS = 5_000  # longer than any order takes to be answered or fail
# Runs of an ended job that a worker goes on with, cut off from the leader: a
# leader's renewals, the longest lease after them, and time to read of the end.
ENDED_JOB_RUNS_MAX_MS = 15_000
CLOCK_SLACK_PERCENT = 3  # a clock 2 % slow makes a lease 2.04 % longer
WATCH_WAIT_MS = 1_000  # long poll; a silent worker is noticed soon after this
REPORT_OVERDUE_MS = 1_400  # WATCH_WAIT_MS and ample time for the answer
WATCH_RETRY_MS = 300  # pause after a watch that a worker did not answer
STOP_RETRY_MS = 300  # pause before a stop order is sent again
START_RETRY_MS = 300  # pause before resending a start answered unclearly
MAX_UNCLEAR_STARTS = 3  # then the worker's list alone shows whether it runs
WATCH_UNSTORED_DELAY_MS = 80  # before a watch with an immediate answer
RUN_NUMBERS_PER_TERM = 16  # run numbers of a task; later terms start higher
WORKER_QUARANTINE_FAILURES = 4  # each 4th consecutive failure quarantines
WORKER_QUARANTINE_MS = 3_000  # after repeated failures or a stalled run
WORKER_REFUSAL_QUARANTINE_MS = 500  # after a worker refused a start order
# A run without progress for this long is stopped.  Reports come each second,
# and a rerun elsewhere pays off by then.
STALL_MS = 1_200
PLACE_DELAY_MS = 3  # events within this time share one placement round
PLACE_JOBS_PER_MS = 10  # waiting jobs that delay a round by 1 ms
PLACE_RETRY_MS = 500  # retry of tasks that could not be placed
WAITING_LOG_PERIOD_MS = 1_000  # minimum time between log lines for a pool

# The reported tail latency covers 500 ms, and a new speed applies after about
# 100 ms: an earlier report still contains latencies of the old speed.
THROTTLE_SETTLE_MS = 700
TICKET_MARGIN_MS = 500  # an order may take this long to reach its worker
ADVICE_RETRY_MS = 500  # pause after a failed request; doubles each time
ADVICE_RETRY_MAX_MS = 2_000  # a job with room for it starts within 3 s

STOP_MIN_MS = 700  # time in which the balancer and callers notice the stop
STOP_MAX_MS = 3_500  # the platform kills the process some time after this
RESIGN_TIMEOUT_MS = 2_000  # for storing the resignation; then the term ends
