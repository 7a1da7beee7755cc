"""Intervals, timeouts and bounds of entries and stewards.

Those of leases and claims must be the same on all nodes.
"""

# Streams between nodes.
PEER_HEARTBEAT_MS = 1_000  # longer periods detect lost messages later
PEER_TIMEOUT_MS = 4_000  # a stream without a message this long is replaced
RECENT_LOG_ENTRIES_KEPT = 1_024  # followers that lack more get the state

# The shared log and the list of instances.
APPEND_RETRY_MS = 1_000  # a record not read back by then is appended again
LOG_READ_RETRY_MS = 250  # first pause after a failed read; doubles each time
LOG_READ_RETRY_MAX_MS = 2_000  # so edits arrive this soon after an outage
INSTANCE_LIST_PERIOD_MS = 1_000  # a new instance is noticed this soon
SNAPSHOT_PERIOD_MS = 600_000  # the log must keep records twice as long
# An entry that may lack records older than this cannot check keys, so it
# accepts a withdrawn key for at most this long.  While no data centre reaches
# the log, it continues with the keys that it knows.
KEYS_MAX_AGE_MS = 4_000

# Leases, and the time that requests may still run.
REQUEST_MAX_MS = 60_000  # longer deadlines are cut to this
LINGER_MS = 2_000  # a target stops a request this soon after its deadline
ENTRY_LEASE_MS = 1_200_000  # an entry not renewed this long starts no requests
ENTRY_RENEWAL_MS = 10_000  # shorter periods cost more appends to the log
CLOCK_DRIFT_PERCENT = 1  # assumed bound between two nodes' clocks
SHUTDOWN_LOG_WAIT_MS = 4_000  # longest wait for the log while stopping

# Ceilings and shares.
UNITS_REQUEST_INTERVAL_MS = 20  # between requests for units of a team
# Waiting requests of a team, for each service, that places are requested for
# while no slot is free, since a slot may become free before units arrive.
PREFETCHED_PLACES = 2
LOAD_REPORT_DELAY_MS = 5  # longer batches make entries overfill executors
QUEUE_REPORT_MAX = 4  # longer queues are reported as this, to save messages
YIELD_MS = 10  # a slot yielded to another entry is used after this at latest

# Targets and retries.
MAX_ATTEMPTS = 4  # targets tried for one request
RETRY_COST_MILLI = 1_000  # budget spent on a retry
RETRY_EARN_MILLI = 100  # budget earned by a success: a tenth of a retry
RETRY_BUDGET_MAX_MILLI = 10_000  # ten retries
TARGET_QUARANTINE_FAILURES = 3  # consecutive failures that quarantine a target
TARGET_QUARANTINE_MS = 1_000  # first quarantine of a target; doubles each time
TARGET_QUARANTINE_MAX_MS = 16_000  # a failing target is tried again by then
BUSY_PAUSE_MS = 20  # pause for a target that declined because it was full

# Callers' own request ids.
ID_CLAIM_VOTERS = 3  # entries that vote on an id; two of them must grant it
ID_CLAIM_RETENTION_MS = 600_000  # a later request with the id may run
ID_CLAIM_TIMEOUT_MS = 1_000  # without enough votes by then it is refused

# The stewards' role, jobs and their tasks.
ROLE_RENEWAL_MS = 2_000  # the role's holder writes at least this often
ROLE_TIMEOUT_MS = 6_000  # a role not renewed this long may be claimed
TASK_LEASE_MS = 10_000  # a worker stops a task not renewed this long
FINAL_CALL_TIMEOUT_MS = 4_000  # of the call that precedes giving a task up
TASK_RENEWAL_MS = 1_000  # the end of a task is noticed with a renewal
ENDED_JOBS_KEPT = 4_000  # older ended jobs can no longer be looked up
