"""Calls that a node forwards to a peer, since the store turns the node away.

Messages pass between the two nodes; events and effects between a node's
reducer and its runtime.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from sesamehall.core.calls import Accepted
from sesamehall.core.calls import CallAnswer
from sesamehall.core.calls import CallKind
from sesamehall.core.calls import Counted
from sesamehall.core.calls import JobCall
from sesamehall.core.calls import Shown
from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.fleet import PeerNode


@dataclass(frozen=True, slots=True)
class PeerCall:
    """Message that forwards a call.

    Attributes:
      caller: Incarnation of the node that forwards the call.
      number: Number of the message among those of that incarnation.
      node: Name of the node that forwards the call.
      host: Host name of the request.
      path: Path of the request.
      key: Presented key, or "".
      kind: Kind of the call, with its arguments.
      manifest_version: The call must not be judged by an older manifest.
      remaining_ms: Time within which the reply is awaited.
    """

    caller: str
    number: int
    node: str
    host: str
    path: str
    key: str
    kind: CallKind
    manifest_version: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class PeerRejection:
    """A rejection, as the number of its result code.

    Attributes:
      code: Number of the result code.
      retry_after_s: Delay before a retry, or 0 for no recommendation.
    """

    code: int
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Message that answers a forwarded call.

    Attributes:
      caller: Incarnation of the node that forwarded the call.
      number: Number of the message that it answers.
      answer: The answer.
      manifest_version: Version of the manifest that the call was judged by.
    """

    caller: str
    number: int
    answer: Accepted | Shown | Counted | PeerRejection
    manifest_version: int


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """Effect: forward a call to a peer.

    Attributes:
      call: The call.
      peer: The peer.
      manifest_version: The call must not be judged by an older manifest.
      not_after_ms: Time after which no reply is awaited.
    """

    call: JobCall
    peer: PeerNode
    manifest_version: int
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class AnswerPeer:
    """Effect: answer a call that a peer has forwarded to this node.

    Attributes:
      call_id: Identifier of the call.
      answer: The answer.
      manifest_version: Version of the manifest that the call was judged by,
        or 0 if there was none.
    """

    call_id: int
    answer: CallAnswer
    manifest_version: int


@dataclass(frozen=True, slots=True)
class RegisterNode:
    """Effect: register this node in the store, for its peers.

    Attributes:
      node: The record.
    """

    node: PeerNode


@dataclass(frozen=True, slots=True)
class PeerCallReceived:
    """Event: a peer has forwarded a call to this node.

    Attributes:
      at_ms: Current time on the node's clock.
      call: The call, which names the peer.
    """

    at_ms: int
    call: JobCall


class PeerOutcome(Enum):
    """What became of a call that was forwarded.

    The peer may have handled the call if its reply is LOST, and certainly has
    not if the call was NOT_SENT.
    """

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Event: a peer answered a forwarded call, or forwarding failed.

    Attributes:
      at_ms: Current time on the node's clock.
      call_id: The call.
      peer: Name of the peer.
      outcome: What became of the call.
      answer: The answer, or None unless the peer has answered.
      manifest_version: Version of the manifest that the peer judged by.
      reason: Reason of a failure, to log.
    """

    at_ms: int
    call_id: int
    peer: str
    outcome: PeerOutcome
    answer: CallAnswer | None = None
    manifest_version: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PeerAttempts:
    """The peers that a call was forwarded to.

    Attributes:
      tried: Names of the peers, in order.
      current: Name of the peer whose reply is awaited, or "".
    """

    tried: tuple[str, ...] = ()
    current: str = ""


@dataclass(frozen=True, slots=True)
class KnownPeer:
    """A node's registration, as read from the store.

    Attributes:
      node: The record.
      read_ms: Time at which it was read.
    """

    node: PeerNode
    read_ms: int


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a node knows of its peers.

    Attributes:
      own: Record of this node, or None if it has no address for peers.
      registration_due_ms: Time of the next attempt to register, or 0 before
        the first is scheduled.
      by_name: Registered nodes, including this one.
      avoided_until_ms_by_name: Peers that failed or refused when they were
        last tried, and the time until which no call is forwarded to them.
      consecutive_failures: Number of calls in a row that peers did not answer
        or could not serve.
      paused_until_ms: Time until which no call is forwarded at all.
      min_manifest_version: Newest version of the manifest that a peer judged
        a call of this node by.
    """

    own: PeerNode | None = None
    registration_due_ms: int = 0
    by_name: Map[str, KnownPeer] = EMPTY_MAP
    avoided_until_ms_by_name: Map[str, int] = EMPTY_MAP
    consecutive_failures: int = 0
    paused_until_ms: int = 0
    min_manifest_version: int = 0
