"""Intervals, timeouts and bounds that must be the same on all nodes."""

# Streams between nodes.
PEER_HEARTBEAT_MS = 1_000  # longer periods detect lost messages later
PEER_TIMEOUT_MS = 4_000  # a stream without a message this long is replaced
RECENT_ENTRIES_KEPT = 1_024  # followers further behind get the whole state

# The log and the list of instances.
APPEND_RETRY_MS = 1_000  # a record not read back by then is appended again
LOG_READ_RETRY_MS = 250  # first pause after a failed read; doubles each time
LOG_READ_RETRY_MAX_MS = 2_000  # longest delay of edits after an outage
INSTANCE_LIST_PERIOD_MS = 1_000  # longest delay of learning of an instance
SNAPSHOT_PERIOD_MS = 600_000  # the log must keep records twice as long
KEYS_MAX_AGE_MS = 4_000  # an entry cut off accepts withdrawn keys this long

# Leases, and the time that requests may still run.
REQUEST_MAX_MS = 60_000  # longer deadlines are cut to this
LINGER_MS = 2_000  # time for a target to stop a request after its deadline
ENTRY_LEASE_MS = 1_200_000  # log outages longer than this stop keyed work
ENTRY_RENEWAL_MS = 10_000  # shorter periods cost appends of the shared log
CLOCK_DRIFT_PERCENT = 1  # assumed bound between two nodes' clocks
SHUTDOWN_LOG_WAIT_MS = 4_000  # longest wait for the log while stopping

# Ceilings and shares.
UNITS_REQUEST_INTERVAL_MS = 20  # shortest time between requests for a team
PREFETCHED_PLACES = 2  # requested while no slot is free, since slots turn over
LOAD_REPORT_DELAY_MS = 5  # longer batches make entries overfill executors
QUEUE_REPORT_MAX = 4  # longer queues are reported as this, to save messages
YIELD_MS = 10  # a slot yielded to another entry is used after this at latest

# Targets and retries.
MAX_ATTEMPTS = 4  # targets tried for one request
RETRY_COST_MILLI = 1_000  # budget spent on a retry
RETRY_EARN_MILLI = 100  # budget earned by a success: a tenth of a retry
RETRY_BUDGET_MAX_MILLI = 10_000  # ten retries
QUARANTINE_FAILURES = 3  # consecutive failures that quarantine a target
QUARANTINE_MS = 1_000  # first quarantine of a target; doubles each time
QUARANTINE_MAX_MS = 16_000  # a failing target is probed at least this often
BUSY_PAUSE_MS = 20  # pause for a target that declined because it was full

# Callers' own request ids.
CLAIM_VOTERS = 3  # entries that remember an id; two of them must grant it
CLAIM_RETENTION_MS = 600_000  # an id submitted again later may run again
CLAIM_TIMEOUT_MS = 1_000  # a request without enough votes by then is refused

# The role, jobs and their tasks.
ROLE_RENEWAL_MS = 2_000  # the role's holder writes at least this often
ROLE_TIMEOUT_MS = 6_000  # a role not renewed this long may be claimed
TASK_LEASE_MS = 10_000  # a worker stops a task not renewed this long
TASK_RENEWAL_MS = 1_000  # also the delay of learning that a task has ended
ENDED_JOBS_KEPT = 4_000  # older ended jobs can no longer be looked up
