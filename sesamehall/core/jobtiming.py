"""Periods and bounds of the managers' work on jobs."""

MANAGER_BEAT_MS = 100  # what is due is done this late
CALL_TIMEOUT_MS = 2_200  # callers wait 3 s; the answer needs some of it
READ_RETRY_MS = 250  # pause after a failed read of a log
OPERATOR_WAIT_MS = 1_000  # silent connections are noticed after this
JOBS_WAIT_MS = 500  # the leader's reads of new jobs wait this long
JOBS_PERIOD_MS = 1_000  # followers learn of new jobs this late
PROGRESS_PERIOD_MS = 250  # followers see the leader's heartbeat this late
WORKERS_PERIOD_MS = 150  # workers that join or drain are noticed this late
MANIFEST_FRESH_MS = 1_800  # older knowledge of keys may have been replaced

LEADER_SILENT_MS = 1_200  # a leader without records this long is replaced
CLAIM_POWER_MS = 700  # head start of strong nodes; reads are 300 ms apart
CLAIM_CHANCE_MS = 120  # claims of equal nodes are spread over this
CLAIM_BACK_MS = 600  # a living leader writes within this, once the log is back
LEADER_CORES = 2.0  # a node with this much processor claims without delay
CANDIDATE_FACTOR = 1.5  # a handover pays when the successor has so much more
OFFER_AFTER_MS = 500  # a new leader first takes over its workers
OFFER_SPREAD_MS = 1_000  # offers of several nodes are spread over this
OFFER_AGAIN_MS = 3_000  # pause before an offer is repeated
SLOW_CALL_MS = 80  # mean time of calls; a healthy leader's take a tenth
QUICK_CALL_MS = 40  # mean time of calls below which a node keeps up again
SLOW_CALL_MOST_MS = 200  # one call that takes longer counts as this long
SLOW_CALLS_AVERAGED = 16  # calls
SLOW_FOR_MS = 1_000  # calls slow for so long are not a mere burst
HANDOVER_REST_MS = 15_000  # nodes that are all slow do not take turns
HEARTBEAT_MS = 250  # several of these fit into the silence allowed
COMMIT_PERIOD_MS = 40  # ends of tasks wait this long for others
START_CONFIRMED_MS = 900  # below LEADER_SILENT_MS, so terms never overlap
RENEW_CONFIRMED_MS = 5_000  # leases outlast outages of the log by this

LEASE_MS = 3_600  # a takeover of the role must fit into it
START_LEASE_MS = 2_500  # an order that comes later than this is void
ORDER_DELAY_MS = 500  # orders whose answers take longer wait for a thread
ORDER_WINDOW_FIRST = 128  # orders to start without an answer, at first
ORDER_WINDOW_LEAST = 16  # orders; some for each thread that is not blocked
ORDER_WINDOW_MOST = 256  # orders
ORDER_WINDOW_CUT = 16  # one in so many fewer after an answer that was slow
ORDER_FORGOTTEN_MS = 5_000  # every order has an answer long before this
CLOCK_SLACK_PERCENT = 3  # a worker's clock may be 2 % slow
WATCH_WAIT_MS = 1_000  # a worker's silence is noticed soon after this
HEARD_MS = 1_400  # a worker that has not answered for this may be silent
WATCH_RETRY_MS = 300  # pause after a worker's silence
STOP_RETRY_MS = 300  # pause before an order to stop is sent again
WATCH_UNSTORED_MS = 80  # a worker with ends to acknowledge answers at once
RUN_NUMBERS_A_TERM = 16  # runs of a task that one leader may number
FAILURES_TO_ASIDE = 4  # failures in a row that set a worker aside
ASIDE_MS = 3_000  # a sick worker is tried again after this
REFUSED_ASIDE_MS = 500  # a worker that refused is tried again after this
STALL_MS = 1_200  # reports come each second; a stop and a new run pay by then
PLACE_DELAY_MS = 3  # events within this are placed in one round
PLACE_JOBS_A_MS = 10  # a round may wait 1 ms more for so many waiting jobs
PLACE_RETRY_MS = 500  # what could not be placed is tried again
WAITS_TOLD_MS = 1_000  # a pool's waiting is logged this often at most

PACE_SETTLE_MS = 700  # a tail covers half a second, a pace counts after 0.1
TICKET_RESERVE_MS = 500  # an order may take this long to reach its worker

STOP_LEAST_MS = 700  # the balancer and open connections learn of a stop
STOP_MOST_MS = 3_500  # the platform kills a process some time after this
RESIGN_WAIT_MS = 2_000  # a log that is silent this long is not waited for
