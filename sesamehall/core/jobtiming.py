"""Periods and limits of the managers' work on jobs."""

MANAGER_TICK_MS = 100  # maximum delay of periodic work
CALL_TIMEOUT_MS = 2_200  # callers wait 3 s, and the answer takes part of that
LOG_READ_RETRY_MS = 250  # pause after a failed read of a log
OPERATOR_WAIT_MS = 1_000  # long poll; a dead connection is noticed after this
JOBS_WAIT_MS = 500  # long poll of the leader for new jobs
JOBS_PERIOD_MS = 1_000  # maximum delay until followers read new jobs
PROGRESS_PERIOD_MS = 250  # maximum delay until followers read a heartbeat
WORKERS_PERIOD_MS = 150  # maximum delay until joins and drains are noticed
MANIFEST_MAX_AGE_MS = 1_800  # keys read longer ago may have been replaced

LEADER_TIMEOUT_MS = 1_200  # a leader that writes no records is replaced
CLAIM_CORES_DELAY_MS = 700  # of weak nodes; reads are 300 ms apart
CLAIM_JITTER_MS = 120  # spreads the claims of equal nodes
CLAIM_RECOVERY_DELAY_MS = 600  # a live leader writes this soon after an outage
LEADER_CORES = 2.0  # a node with this many cores claims without delay
HANDOVER_CORES_RATIO = 1.5  # successor's cores that make a handover worthwhile
OFFER_DELAY_MS = 500  # a new leader takes over its workers first
OFFER_JITTER_MS = 1_000  # spreads the offers of several nodes
OFFER_RETRY_MS = 3_000  # pause before an offer is repeated
SLOW_CALL_MS = 80  # mean latency; ten times that of a healthy leader
QUICK_CALL_MS = 40  # mean latency below which a node is no longer slow
SLOW_CALL_CAP_MS = 200  # a longer call counts as this long in the mean
SLOW_CALLS_AVERAGED = 16  # calls
SLOW_FOR_MS = 1_000  # slow calls for a shorter time may be a burst
HANDOVER_COOLDOWN_MS = 15_000  # keeps slow nodes from swapping the role
HEARTBEAT_MS = 250  # several of these fit into LEADER_TIMEOUT_MS
COMMIT_PERIOD_MS = 40  # ended tasks are batched for this long
START_CONFIRMED_MS = 900  # below LEADER_TIMEOUT_MS, so terms never overlap
RENEW_CONFIRMED_MS = 5_000  # leases outlast outages of the log by this

LEASE_MS = 3_600  # must be longer than a takeover of the leader role
START_LEASE_MS = 2_500  # a start order that arrives later is void
SLOW_ORDER_MS = 500  # orders answered later were queued for a thread
ORDER_WINDOW_INITIAL = 128  # start orders in flight, at first
ORDER_WINDOW_MIN = 16  # orders; some for each thread that is not blocked
ORDER_WINDOW_MAX = 256  # orders
ORDER_WINDOW_CUT_DIVISOR = 16  # a slow answer cuts the window by 1/16
ORDER_EXPIRY_MS = 5_000  # every order is answered or fails long before this
CLOCK_SLACK_PERCENT = 3  # a worker's clock may be 2 % slow
WATCH_WAIT_MS = 1_000  # long poll; a silent worker is noticed soon after this
REPORT_OVERDUE_MS = 1_400  # a worker without a report may be silent
WATCH_RETRY_MS = 300  # pause after a request that a worker did not answer
STOP_RETRY_MS = 300  # pause before a stop order is sent again
WATCH_UNSTORED_DELAY_MS = 80  # polls do not wait while ends are unstored
RUN_NUMBERS_PER_TERM = 16  # run numbers of a task that one leader may use
QUARANTINE_FAILURES = 4  # consecutive failures that quarantine a worker
QUARANTINE_MS = 3_000  # a failing worker is used again after this
REFUSAL_QUARANTINE_MS = 500  # after a worker refused a start order
STALL_MS = 1_200  # reports come each second; a rerun pays off by then
PLACE_DELAY_MS = 3  # events within this time share one placement round
PLACE_JOBS_PER_MS = 10  # waiting jobs that delay a round by 1 ms
PLACE_RETRY_MS = 500  # retry of tasks that could not be placed
WAITING_LOG_PERIOD_MS = 1_000  # minimum time between log lines for a pool

THROTTLE_SETTLE_MS = 700  # a tail spans 500 ms; a new speed applies after 100
TICKET_MARGIN_MS = 500  # an order may take this long to reach its worker

STOP_MIN_MS = 700  # the balancer and open connections learn of the stop
STOP_MAX_MS = 3_500  # the platform kills the process some time after this
RESIGN_TIMEOUT_MS = 2_000  # the leader stops waiting for a silent log
