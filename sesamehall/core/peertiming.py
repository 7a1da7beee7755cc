"""Timeouts and bounds of calls that nodes forward to their peers."""

READ_OVERDUE_MS = 400  # a read later than this looks like a silent store
MAX_PEERS_PER_CALL = 3  # peers that one call is forwarded to
MAX_CALLS_PER_PEER = 8  # calls in flight from one node to one peer
MIN_FORWARD_MS = 100  # calls with less time left are not forwarded
PEER_CONNECT_TIMEOUT_MS = 150  # a peer that is cut off is noticed after this
PEER_UNACKNOWLEDGED_MS = 300  # sent bytes without acknowledgement of TCP
PEER_REPLY_TIMEOUT_MS = 900  # time for a peer to handle a call
PEER_REPLY_MARGIN_MS = 50  # of that, for the way there and back
PEER_REFUSED_PAUSE_MS = 1_000  # until a peer that could not serve is retried
PEER_FAILED_PAUSE_MS = 3_000  # until a peer that did not reply is retried
MAX_CONSECUTIVE_FAILURES = 6  # then the store seems to be down for all nodes
FORWARDING_PAUSE_MS = 500  # and no call is forwarded for this long

REGISTRATION_JITTER_MS = 2_000  # spreads the first registrations
REGISTRATION_RETRY_MS = 5_000  # if the record was not read back by then
REGISTRATION_RENEWAL_MS = 600_000  # a registration this old is renewed
REGISTRATION_EXPIRY_MS = 1_800_000  # a registration this old is not used
MAX_PEERS = 1_000  # registrations that are remembered
