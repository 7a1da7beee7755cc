"""Claims of the entries: run a request with a caller's id at most once.

Up to three entries, chosen by the id and in different data centres where
possible, vote on it.  A request may run only after a majority of them has
granted its id.  Any two majorities share a voter, so two requests with the
same id never both get a majority, whichever entries received them and however
the network is partitioned.  A restarted voter has lost its claims.  On ids
that it does not know, it votes UNKNOWN until it has received the claims from
every other entry, or until those from before its start have expired.
"""

from hashlib import blake2b

from immutables import Map

from sesamehall.core.codes import CALLER_ID_REUSED
from sesamehall.core.codes import ResultCode
from sesamehall.core.codes import SINGLE_RUN_NOT_ASSURED
from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.data import Request
from sesamehall.core.effects import Send
from sesamehall.core.effects import SetTimer
from sesamehall.core.limits import ID_CLAIM_RETENTION_MS
from sesamehall.core.limits import ID_CLAIM_TIMEOUT_MS
from sesamehall.core.limits import ID_CLAIM_VOTERS
from sesamehall.core.messages import ClaimAnswered
from sesamehall.core.messages import ClaimAsked
from sesamehall.core.messages import ClaimReleased
from sesamehall.core.messages import ClaimsAsked
from sesamehall.core.messages import ClaimsTold
from sesamehall.core.messages import Vote
from sesamehall.core.replacing import replace
from sesamehall.core.state import Ballot
from sesamehall.core.state import Claim
from sesamehall.core.state import Claims
from sesamehall.core.state import Peer
from sesamehall.core.state import State
from sesamehall.core.state import Ticket
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import ClaimTimer
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.dispatching import dispatch_services
from sesamehall.reducer.queues import enqueue
from sesamehall.reducer.refusals import refuse


def needs_claim(request: Request) -> bool:
    """Return whether a request's id must be claimed before it may run.

    Args:
      request: The request.
    Returns:
      True for a request with a caller's id that is not idempotent.
    """
    return request.caller_id is not None and not request.idempotent


def claim_name(ticket: Ticket) -> str:
    """Qualify a caller's request id by the team.

    Args:
      ticket: The request, with the team that it is charged to.
    Returns:
      The name "team/id" of the claim.
    """
    return f"{ticket.team}/{ticket.request.caller_id}"


def start_ballot(state: State, ticket: Ticket, at_ms: int) -> Step:
    """Request votes on a request's id from the voters.

    Args:
      state: State of the entry.
      ticket: The admitted request.
      at_ms: Current time on the node's clock.
    Returns:
      A Step with the messages; the entry itself may be a voter.
    """
    name = claim_name(ticket)
    request_id = ticket.request.request_id
    voters = choose_voters(state, name)
    own = state.identity.node.name
    message = ClaimAsked(name, request_id)
    sends = tuple(Send(v, message) for v in voters if v != own)
    timer = SetTimer(ClaimTimer(request_id), at_ms + ID_CLAIM_TIMEOUT_MS)
    ballot = Ballot(ticket, voters)
    step = Step(_with_ballot(state, ballot), sends + (timer,))
    if own not in voters:
        return step
    after_vote, vote = _vote(step.state, name, request_id, voters)
    step = Step(after_vote, step.effects)
    answer = ClaimAnswered(name, request_id, vote)
    return then(step, count_vote, own, answer, at_ms)


def choose_voters(state: State, name: str) -> tuple[str, ...]:
    """Choose the entries that vote on an id, the same on every entry.

    Args:
      state: State of any entry; only names and data centres are used.
      name: The id, qualified by the team.
    Returns:
      Up to three names, from as many data centres as possible.
    """
    nodes = [state.identity.node]
    nodes += state.identity.peers_by_name.values()
    entries = [node for node in nodes if node.kind is NodeKind.ENTRY]
    ranked = sorted(entries, key=lambda node: _weight(node, name))
    first_by_centre: dict[str, Node] = {}
    for node in ranked:
        first_by_centre.setdefault(node.data_centre, node)
    spread = list(first_by_centre.values())
    rest = [node for node in ranked if node not in spread]
    return tuple(node.name for node in (spread + rest)[:ID_CLAIM_VOTERS])


def vote_on_claim(state: State, peer: Peer, message: ClaimAsked) -> Step:
    """Vote on the claim of another entry's request.

    Args:
      state: State of the entry.
      peer: The other entry.
      message: The claim.
    Returns:
      A Step with the vote.
    """
    voters = choose_voters(state, message.name)
    state, vote = _vote(state, message.name, message.request_id, voters)
    answer = ClaimAnswered(message.name, message.request_id, vote)
    return Step(state, (Send(peer.name, answer),))


def count_vote(
    state: State, voter: str, answer: ClaimAnswered, at_ms: int
) -> Step:
    """Count a vote.

    Args:
      state: State of the entry.
      voter: Name of the entry that voted.
      answer: Its vote.
      at_ms: Current time on the node's clock.
    Returns:
      A Step that enqueues the request, refuses it, or waits for more
      votes.
    """
    ballot = state.claims.ballots_by_request_id.get(answer.request_id)
    if ballot is None or voter in ballot.granted_by + ballot.denied_by:
        return Step(state)
    if answer.vote is Vote.GRANTED:
        ballot = replace(ballot, granted_by=ballot.granted_by + (voter,))
    else:
        taken = ballot.taken or answer.vote is Vote.TAKEN
        denied = ballot.denied_by + (voter,)
        ballot = replace(ballot, denied_by=denied, taken=taken)
    needed = len(ballot.voters) // 2 + 1
    if len(ballot.granted_by) >= needed:
        state = _without_ballot(state, answer.request_id)
        queued = enqueue(state, ballot.ticket)
        service = ballot.ticket.request.service
        return dispatch_services(queued, (service,), at_ms)
    if len(ballot.voters) - len(ballot.denied_by) < needed:
        return _refuse_ballot(state, ballot, _ballot_code(ballot))
    return Step(_with_ballot(state, ballot))


def end_ballot(
    state: State, request_id: str, code: ResultCode | None = None
) -> Step:
    """Refuse a request that still waits for votes.

    Args:
      state: State of the entry.
      request_id: Identifier of the request.
      code: The result code, or None to derive it from the votes so far.
    Returns:
      A Step with the refusal; without effects for a request without a ballot.
    """
    ballot = state.claims.ballots_by_request_id.get(request_id)
    if ballot is None:
        return Step(state)
    return _refuse_ballot(state, ballot, code or _ballot_code(ballot))


def release_claim(state: State, ticket: Ticket) -> Step:
    """Release an id whose request has certainly not run.

    Args:
      state: State of the entry.
      ticket: The request, refused before any byte of it was sent.
    Returns:
      A Step with messages to the voters; if one is lost, the id stays
      claimed until the claim expires, which is safe.
    """
    if not needs_claim(ticket.request):
        return Step(state)
    name = claim_name(ticket)
    request_id = ticket.request.request_id
    message = ClaimReleased(name, request_id)
    own = state.identity.node.name
    voters = choose_voters(state, name)
    sends = tuple(Send(v, message) for v in voters if v != own)
    return Step(apply_release(state, message), sends)


def apply_release(state: State, message: ClaimReleased) -> State:
    """Drop a claim that its request has released.

    Args:
      state: State of the entry.
      message: The release.
    Returns:
      The state; a claim of the id for another request stays.
    """
    claims = state.claims
    current = _drop_claim(claims.current_by_name, message)
    previous = _drop_claim(claims.previous_by_name, message)
    claims = replace(
        claims, current_by_name=current, previous_by_name=previous
    )
    return replace(state, claims=claims)


def start_claims(state: State, at_ms: int) -> State:
    """Begin with no claims when the process starts.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      The state; its claims are incomplete until maintain_claims finds that
      none can be missing.
    """
    claims = Claims(period_start_ms=at_ms, started_ms=at_ms)
    return replace(state, claims=claims)


def maintain_claims(state: State, at_ms: int) -> State:
    """Drop expired claims, and check whether the claims are complete.

    Args:
      state: State of the entry.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    claims = state.claims
    if at_ms - claims.period_start_ms >= ID_CLAIM_RETENTION_MS:
        claims = replace(
            claims,
            previous_by_name=claims.current_by_name,
            current_by_name=Map(),
            period_start_ms=at_ms,
        )
    if not claims.complete and _is_complete(state, at_ms):
        claims = replace(claims, complete=True)
    if claims is state.claims:
        return state
    return replace(state, claims=claims)


def request_peer_claims(state: State, peer: Peer) -> Step:
    """Request from a peer the claims that this entry may have granted.

    Args:
      state: State of the entry.
      peer: The peer.
    Returns:
      A Step with the message; without effects if the claims are complete, if
      the peer has sent all of its claims, or if it is a steward.
    """
    node = state.identity.peers_by_name[peer.name]
    if node.kind is not NodeKind.ENTRY:
        return Step(state)
    if state.claims.complete or peer.name in state.claims.synced_peers:
        return Step(state)
    return Step(state, (Send(peer.name, ClaimsAsked()),))


def send_claims(state: State, peer: Peer) -> Step:
    """Send a peer the known claims for which it is a voter.

    Args:
      state: State of the entry.
      peer: The peer.
    Returns:
      A Step with one message.
    """
    request_ids = {}
    claims = state.claims
    for claims_by_name in (claims.previous_by_name, claims.current_by_name):
        for name, claim in claims_by_name.items():
            if peer.name in claim.voters:
                request_ids[name] = claim.request_id
    message = ClaimsTold(Map(request_ids), incomplete=not claims.complete)
    return Step(state, (Send(peer.name, message),))


def merge_claims(
    state: State, peer: Peer, message: ClaimsTold, at_ms: int
) -> State:
    """Merge the claims that a peer has sent.

    Args:
      state: State of the entry.
      peer: The peer.
      message: Its claims for which this entry is a voter.
      at_ms: Current time on the node's clock.
    Returns:
      The state.  Its claims become complete once every other entry has sent
      claims that are complete.
    """
    current = state.claims.current_by_name
    for name, request_id in message.request_id_by_name.items():
        if _find(state.claims, name) is None:
            current = current.set(
                name, Claim(request_id, choose_voters(state, name))
            )
    claims = replace(state.claims, current_by_name=current)
    if not message.incomplete:
        claims = replace(
            claims, synced_peers=claims.synced_peers.set(peer.name, True)
        )
    return maintain_claims(replace(state, claims=claims), at_ms)


def _weight(node: Node, name: str) -> bytes:
    """Compute an entry's weight for an id (rendezvous hashing)."""
    return blake2b(f"{node.name}/{name}".encode(), digest_size=8).digest()


def _vote(state: State, name: str, request_id: str, voters: tuple[str, ...]):
    """Grant an id unless it was or may have been granted to another request.

    A repeated claim by the same request is granted again.
    """
    known = _find(state.claims, name)
    if known is not None:
        same_request = known.request_id == request_id
        return state, Vote.GRANTED if same_request else Vote.TAKEN
    if not state.claims.complete:
        return state, Vote.UNKNOWN
    current = state.claims.current_by_name.set(name, Claim(request_id, voters))
    claims = replace(state.claims, current_by_name=current)
    return replace(state, claims=claims), Vote.GRANTED


def _find(claims: Claims, name: str) -> Claim | None:
    return claims.current_by_name.get(name) or claims.previous_by_name.get(
        name
    )


def _is_complete(state: State, at_ms: int) -> bool:
    """Return whether the claims include all that this entry has granted.

    Any one of these suffices: this is the first incarnation, all claims from
    before its start have expired, or every other entry has sent all of its
    claims.
    """
    identity = state.identity
    first = state.agreed.first_incarnation_by_name.get(identity.node.name)
    if first == identity.incarnation:
        return True
    if at_ms - state.claims.started_ms >= ID_CLAIM_RETENTION_MS:
        return True
    peers = identity.peers_by_name.values()
    return all(
        node.name in state.claims.synced_peers
        for node in peers
        if node.kind is NodeKind.ENTRY
    )


def _ballot_code(ballot: Ballot) -> ResultCode:
    return CALLER_ID_REUSED if ballot.taken else SINGLE_RUN_NOT_ASSURED


def _refuse_ballot(state: State, ballot: Ballot, code: ResultCode) -> Step:
    """Refuse a request without a majority, and release its grants."""
    request_id = ballot.ticket.request.request_id
    state = _without_ballot(state, request_id)
    step = release_claim(state, ballot.ticket)
    detail = f"{len(ballot.granted_by)} of {len(ballot.voters)} votes"
    return then(step, refuse, request_id, code, detail)


def _drop_claim(claims_by_name, message):
    claim = claims_by_name.get(message.name)
    if claim is None or claim.request_id != message.request_id:
        return claims_by_name
    return claims_by_name.delete(message.name)


def _with_ballot(state, ballot):
    request_id = ballot.ticket.request.request_id
    ballots = state.claims.ballots_by_request_id.set(request_id, ballot)
    claims = replace(state.claims, ballots_by_request_id=ballots)
    return replace(state, claims=claims)


def _without_ballot(state, request_id):
    ballots = drop_key(state.claims.ballots_by_request_id, request_id)
    claims = replace(state.claims, ballots_by_request_id=ballots)
    return replace(state, claims=claims)
