"""Calls that simulated managers forward to each other, with their faults."""

from itertools import count

from bench.jobprocesses import ManagerProcess
from sesamehall.core.calls import Forwarding
from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.managereffects import AnswerPeer
from sesamehall.core.managereffects import ForwardCall
from sesamehall.core.managereffects import RegisterNode
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerCallReceived
from sesamehall.core.peercalls import PeerOutcome
from sesamehall.core.peertiming import PEER_REPLY_MARGIN_MS
from sesamehall.core.peertiming import PEER_REPLY_TIMEOUT_MS
from sesamehall.core.replacing import replace


class PeerLinks:
    """Carries forwarded calls and their answers.

    Attributes:
      forwarded: Number of calls that managers forwarded.
      answered: Number of answers that reached the forwarding manager.
    """

    def __init__(self, simulation):
        """Create the links of a simulation.

        Args:
          simulation: The JobSimulation, which draws delays and faults, and
            delivers events to managers.
        """
        self._simulation = simulation
        self._call_ids = count(-1, -1)
        self._on_answer_by_call_id = {}
        self.forwarded = 0
        self.answered = 0

    def register(
        self, process: ManagerProcess, start_count: int, effect: RegisterNode
    ) -> None:
        """Append the registration of a manager unless it is turned away.

        Args:
          process: The manager.
          start_count: Its start count; unused, since no outcome is reported.
          effect: The registration.
        """
        if process.store_unreachable or process.store_refuses:
            return
        key = f"node/{effect.node.name}"
        record = StoredRecord(key, effect.node)
        self._simulation.store.append(Stream.JOBS, (record,))

    def forward(
        self, process: ManagerProcess, start_count: int, effect: ForwardCall
    ) -> None:
        """Forward a call; any drawn fault loses the call or its answer.

        Args:
          process: The manager that forwards it.
          start_count: Its start count when the call was forwarded.
          effect: The call and the peer.
        """
        simulation = self._simulation
        self.forwarded += 1
        delivery = simulation.draw_delivery()
        peer = simulation.processes_by_name[effect.peer.name]
        known = peer.state.manager.peers.own == effect.peer
        pending = [True]

        def report(outcome, answer=None, version=0):
            if not pending:
                return
            pending.clear()
            self.answered += answer is not None
            simulation.deliver(
                process,
                lambda at_ms: PeerAnswered(
                    at_ms,
                    effect.call.call_id,
                    effect.peer.name,
                    outcome,
                    answer,
                    version,
                ),
                start_count,
            )

        def return_answer(answered: AnswerPeer):
            if delivery == "answered":
                simulation.call_later(
                    simulation.draw_delay_ms(),
                    report,
                    PeerOutcome.ANSWERED,
                    answered.answer,
                    answered.manifest_version,
                )

        if not peer.alive:
            report(PeerOutcome.NOT_SENT)
            return
        remaining_ms = min(
            effect.not_after_ms - simulation.clock_ms(process),
            PEER_REPLY_TIMEOUT_MS,
        )
        simulation.call_later(remaining_ms, report, PeerOutcome.LOST)
        if delivery != "lost" and known:
            simulation.call_later(
                simulation.draw_delay_ms(),
                self._deliver,
                peer,
                process.name,
                effect,
                remaining_ms - PEER_REPLY_MARGIN_MS,
                return_answer,
            )

    def _deliver(self, peer, name, effect, remaining_ms, return_answer):
        """Deliver a call to the peer, after its pause if any."""
        call_id = next(self._call_ids)
        self._on_answer_by_call_id[call_id] = return_answer

        def build_event(at_ms):
            forwarding = Forwarding(
                name, effect.manifest_version, at_ms + int(remaining_ms)
            )
            call = replace(
                effect.call,
                call_id=call_id,
                at_ms=at_ms,
                forwarded=forwarding,
            )
            return PeerCallReceived(at_ms, call)

        self._simulation.deliver(peer, build_event)

    def answer(self, effect: AnswerPeer) -> None:
        """Return a peer's answer.

        Args:
          effect: The answer.
        """
        self._on_answer_by_call_id.pop(effect.call_id)(effect)
