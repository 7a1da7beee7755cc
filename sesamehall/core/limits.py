"""Bounds and periods that all nodes must hold alike, by what they are for."""

# Streams between nodes.
BEAT_MS = 1_000  # longer beats find silent streams and lost messages later
SILENT_AFTER_MS = 4_000  # a stream without a message this long is replaced
RECENT_ENTRIES = 1_024  # followers further behind get the whole state

# The log and the list of instances.
APPEND_RETRY_MS = 1_000  # a record not read back this long is sent again
READ_RETRY_MS = 250  # first pause after a failed read; doubles up to the next
READ_RETRY_MOST_MS = 2_000  # configuration comes at most this late after it
LIST_PERIOD_MS = 1_000  # new and leaving instances are learned this late
SNAPSHOT_MS = 600_000  # the log must keep records at least twice this long
KEYS_KNOWN_MS = 4_000  # a cut-off entry takes withdrawn keys this long

# Leases, and the time that requests may still run.
LONGEST_REQUEST_MS = 60_000  # a later deadline is cut to this
LINGER_MS = 2_000  # time a target may take to stop a request past its deadline
ENTRY_LEASE_MS = 1_200_000  # log outages longer than this stop keyed work
ENTRY_RENEWAL_MS = 10_000  # shorter periods cost appends of the shared log
CLOCK_DRIFT_PERCENT = 1  # lease holders and judges may differ by this much
LEAVE_WAIT_MS = 4_000  # a stopping entry waits this long for the log at most

# Ceilings and shares.
UNITS_ASK_MS = 20  # least time between two questions for one team's units
PLACES_AHEAD = 2  # places asked for while no slot is free; slots turn over
LOAD_REPORT_MS = 5  # longer batches make entries overfill executors
LINE_REPORT_MOST = 4  # longer lines are reported alike, to save messages
YIELD_MS = 10  # a slot left to another entry is used after this at the latest

# Targets and retries.
MOST_ATTEMPTS = 4  # targets tried for one request
RETRY_COST_MILLI = 1_000  # budget that one retry takes
RETRY_EARN_MILLI = 100  # budget that one success brings: a tenth of a retry
RETRY_MOST_MILLI = 10_000  # budget never grows beyond ten retries
FAILURES_TO_ASIDE = 3  # failures in a row that set a target aside
ASIDE_MS = 1_000  # first time a target stays aside; doubles each time
ASIDE_MOST_MS = 16_000  # a sick target is probed at least this often
BUSY_MS = 20  # pause for a target that declined because it was full

# Callers' own ids.
CLAIM_HOLDERS = 3  # entries that remember an id; two of them must grant it
CLAIM_MEMORY_MS = 600_000  # a caller's id handed in again later may run again
CLAIM_WAIT_MS = 1_000  # an id without enough votes by then is not run

# The role, jobs and their tasks.
ROLE_RENEWAL_MS = 2_000  # the role's holder writes at least this often
ROLE_SILENT_MS = 6_000  # a role not renewed this long may be claimed
TASK_LEASE_MS = 10_000  # a worker stops a task not renewed this long
TASK_RENEWAL_MS = 1_000  # the end of a task is learned this much later
ENDED_JOBS_KEPT = 4_000  # callers can ask for this many ended jobs
