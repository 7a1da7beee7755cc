"""What becomes of an effect whose performance failed unexpectedly.

The reducer's state says that the effect is in flight, so the failure must be
posted as an event: otherwise the worker, the stream or the term that waits for
it would be stuck until the process restarts.
"""

from sesamehall.core.effects import Append
from sesamehall.core.effects import Effect
from sesamehall.core.effects import ListInstances
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import RebootInstance
from sesamehall.core.effects import RunTask
from sesamehall.core.effects import StopTask
from sesamehall.core.events import AppendEnded
from sesamehall.core.events import Event
from sesamehall.core.events import InstanceRebooted
from sesamehall.core.events import InstancesNotListed
from sesamehall.core.events import LogReadFailed
from sesamehall.core.events import TaskSilent
from sesamehall.core.events import WorkerAnswered
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import ReportWave
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerevents import AdviceNotGiven
from sesamehall.core.managerevents import JobStored
from sesamehall.core.managerevents import MachineAnswered
from sesamehall.core.managerevents import MachinesNotListed
from sesamehall.core.managerevents import OrderRefusal
from sesamehall.core.managerevents import ProgressStored
from sesamehall.core.managerevents import RunAnswered
from sesamehall.core.managerevents import StopAnswered
from sesamehall.core.managerevents import StoreOutcome
from sesamehall.core.managerevents import StreamUnread
from sesamehall.core.managerevents import WaveNotReported
from sesamehall.core.managerevents import WorkerNotReported
from sesamehall.core.peercalls import ForwardCall
from sesamehall.core.peercalls import PeerAnswered
from sesamehall.core.peercalls import PeerOutcome

MAX_REASON_CHARS = 200  # errors may quote a document of any length


def describe_error(error: Exception) -> str:
    """Describe an error in one line of bounded length.

    Args:
      error: Any error.
    Returns:
      Its type and message, in ASCII.
    """
    return ascii(f"{type(error).__name__}: {error}"[:MAX_REASON_CHARS])[1:-1]


def failure_event(effect: Effect, reason: str, at_ms: int) -> Event | None:
    """Build the event that says that an effect failed.

    It may have taken effect all the same, so outcomes are unknown.

    Args:
      effect: The effect.
      reason: Reason to log.
      at_ms: Current time on the node's clock.
    Returns:
      The event, or None if no decision waits for the effect.
    """
    match effect:
        case ReadLog():
            return LogReadFailed(at_ms, reason)
        case Append(record):
            return AppendEnded(at_ms, record.record_id, False)
        case ListInstances():
            return InstancesNotListed(at_ms, reason)
        case RebootInstance(operation=operation):
            return InstanceRebooted(at_ms, operation, False)
        case RunTask(job_id=job_id) | StopTask(job_id=job_id):
            return WorkerAnswered(at_ms, job_id, TaskSilent(reason))
    return _manager_failure_event(effect, reason, at_ms)


def _manager_failure_event(effect, reason, at_ms):
    """Build the event that says that an effect of a manager failed."""
    match effect:
        case ReadStream(stream):
            return StreamUnread(at_ms, stream, reason)
        case StoreJob(call_id):
            return JobStored(at_ms, call_id, StoreOutcome.UNKNOWN)
        case StoreProgress(epoch):
            outcome = StoreOutcome.UNKNOWN
            return ProgressStored(at_ms, at_ms, epoch, outcome)
        case WatchWorker(worker_id, _, epoch):
            silent = OrderRefusal.SILENT
            return WorkerNotReported(at_ms, worker_id, epoch, silent)
        case StartRun(worker_id, _, epoch, task, number):
            silent = OrderRefusal.SILENT
            return RunAnswered(at_ms, worker_id, epoch, task, number, silent)
        case StopRun(worker_id, _, epoch, task, number):
            silent = OrderRefusal.SILENT
            return StopAnswered(at_ms, worker_id, epoch, task, number, silent)
        case RequestAdvice(step):
            return AdviceNotGiven(at_ms, step, reason)
        case ListMachines():
            return MachinesNotListed(at_ms, reason)
        case MoveMachine(machine, _, epoch) | MaintainMachine(
            machine, _, epoch
        ):
            return MachineAnswered(
                at_ms, machine, epoch, done=False, reason=reason
            )
        case ReportWave(status):
            return WaveNotReported(at_ms, status, reason)
        case ForwardCall(call, peer):
            lost = PeerOutcome.LOST
            return PeerAnswered(
                at_ms, call.call_id, peer.name, lost, reason=reason
            )
    return None
