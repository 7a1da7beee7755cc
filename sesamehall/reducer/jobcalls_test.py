"""Tests of job calls at an entry."""

import pytest

from sesamehall.core.data import Job
from sesamehall.core.data import PresentedKey
from sesamehall.core.effects import Reply
from sesamehall.core.effects import Send
from sesamehall.core.events import AskCalled
from sesamehall.core.events import CancelCalled
from sesamehall.core.events import DeadlinePassed
from sesamehall.core.events import MessageReceived
from sesamehall.core.events import PeerDisconnected
from sesamehall.core.events import StopRequested
from sesamehall.core.events import SubmitCalled
from sesamehall.core.messages import RecordsForwarded
from sesamehall.core.records import JobSubmitted
from sesamehall.core.records import LogEntry
from sesamehall.core.records import Record
from sesamehall.reducer.testing import build_entry_state
from sesamehall.reducer.testing import DIGEST
from sesamehall.reducer.testing import reduce_all

JOB = Job("j", "", "batch", "c")
RED = PresentedKey("key-red", DIGEST)
BLUE = PresentedKey("key-blue", DIGEST)
OTHER_TEAM_JOB = JobSubmitted(Job("j", "blue", "batch", "c"))
STOP = StopRequested(0)
DISCONNECT = PeerDisconnected(0, "steward-a")


def submit(call_id, key=RED, job=JOB):
    return SubmitCalled(0, call_id, key, job)


def request_status(call_id, key=RED, job_id="j"):
    return AskCalled(0, call_id, key, job_id)


def cancel(call_id, key=RED):
    return CancelCalled(0, call_id, key, "j")


def collect_replies(events):
    """Reduce events; "log" reads back the proposed records."""
    state = build_entry_state()
    replies = []
    proposed = []
    for event in events:
        if event == "log":
            event = _forward(state, proposed)
            proposed = []
        elif isinstance(event, JobSubmitted):
            event = _forward(state, [Record("other", event)])
        state, effects = reduce_all(state, event)
        for effect in effects:
            match effect:
                case Reply(request_id, code):
                    replies.append(f"{request_id}:{code.number}")
                case Send("steward-a", message) if hasattr(message, "record"):
                    proposed.append(message.record)
    return replies


def _forward(state, records):
    first = state.agreed.next_offset
    entries = tuple(
        LogEntry(first + index, record) for index, record in enumerate(records)
    )
    return MessageReceived(0, "steward-a", RecordsForwarded(entries))


@pytest.mark.parametrize(
    ("events", "replies"),
    [
        ([submit("a"), "log"], ["a:1001"]),
        ([submit("a", None)], ["a:2001"]),
        ([submit("a", PresentedKey("x", DIGEST))], ["a:2002"]),
        ([submit("a", job=Job("j", "", "pool", "c"))], ["a:2003"]),
        (
            [submit("a", job=Job("j", "", "batch", "c", processors=99))],
            ["a:2016"],
        ),
        ([STOP, submit("a")], ["a:2009"]),
        ([DISCONNECT, submit("a")], ["a:2018"]),
        ([submit("a"), DeadlinePassed(9, "a"), "log"], ["a:3003"]),
        ([submit("a"), submit("b"), "log"], ["a:1001", "b:1001"]),
        (
            [submit("a"), submit("b"), DeadlinePassed(9, "a"), "log"],
            ["a:3003", "b:1001"],
        ),
        ([submit("a"), "log", submit("b")], ["a:1001", "b:1001"]),
        ([OTHER_TEAM_JOB, submit("a")], ["a:2003"]),
        ([submit("a"), OTHER_TEAM_JOB, "log"], ["a:2003"]),
        ([request_status("a")], ["a:2015"]),
        ([OTHER_TEAM_JOB, request_status("a")], ["a:2015"]),
        ([OTHER_TEAM_JOB, request_status("a", BLUE)], ["a:1002"]),
        ([submit("a"), "log", request_status("b")], ["a:1001", "b:1002"]),
        ([OTHER_TEAM_JOB, cancel("a")], ["a:2015"]),
        ([OTHER_TEAM_JOB, cancel("a", BLUE), "log"], ["a:1003"]),
        (
            [OTHER_TEAM_JOB, cancel("a", BLUE), "log", cancel("b", BLUE)],
            ["a:1003", "b:1003"],
        ),
    ],
)
def test_job_calls(events, replies):
    assert collect_replies(events) == replies
