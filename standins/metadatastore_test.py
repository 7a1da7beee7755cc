"""Tests of the metadata store stand-in against the store protocol."""

import json

import pytest

from sesamehall.core.fleet import CancelAsked
from sesamehall.core.fleet import StoredRecord
from sesamehall.platform.records import encode_record
from standins.metadatastore import MetadataStore
from standins.serving import HttpRequest

TOPIC = "keyed.sesamehall-jobs"
RECORD = encode_record(StoredRecord("a/cancel", CancelAsked("a")))


def append(store, **conditions):
    """Append a record; return the status and the decoded response."""
    query = {"Topic": TOPIC, "part": "0"}
    query.update({name: str(value) for name, value in conditions.items()})
    request = HttpRequest("POST", "", "/log-append", query, {}, RECORD)
    response = store.handle(request)
    return response.status, json.loads(response.body)


@pytest.mark.parametrize(
    ("appends", "last"),
    [
        ([{}], (200, {"Offset": 0, "EndOffset": 1})),
        ([{}, {"At": 1}], (200, {"Offset": 1, "EndOffset": 2})),
        ([{}, {"At": 0}], (412, {"EndOffset": 1})),
        (
            [
                {"Producer": "p", "epoch": 2, "Seq": 7},
                {"Producer": "p", "epoch": 1, "Seq": 8},
            ],
            (409, {"Reason": "fenced"}),
        ),
        (
            [
                {"Producer": "p", "epoch": 2, "Seq": 7},
                {"Producer": "p", "epoch": 2, "Seq": 9},
            ],
            (409, {"Reason": "seq", "Seq": 8}),
        ),
        (
            [
                {"Producer": "p", "epoch": 2, "Seq": 7},
                {"Producer": "p", "epoch": 2, "Seq": 7},
            ],
            (200, {"Offset": 0, "EndOffset": 1}),
        ),
        (
            [
                {"Producer": "p", "epoch": 2, "Seq": 7},
                {"Producer": "p", "epoch": 3, "Seq": 1},
            ],
            (200, {"Offset": 1, "EndOffset": 2}),
        ),
    ],
    ids=[
        "first",
        "at the end offset",
        "not at the end offset",
        "fenced",
        "gap in the sequence",
        "repeat",
        "higher epoch",
    ],
)
def test_conditional_and_fenced_appends(appends, last):
    store = MetadataStore()
    responses = [append(store, **conditions) for conditions in appends]
    assert responses[-1] == last


@pytest.mark.parametrize(("compacted", "status"), [(False, 200), (True, 410)])
def test_compaction_keeps_the_newest_records(compacted, status):
    store = MetadataStore()
    append(store)
    append(store)
    if compacted:
        store.compact()
    query = {"Topic": TOPIC, "part": "0", "From": "0"}
    read = store.handle(HttpRequest("GET", "", "/log-read", query, {}, b""))
    assert read.status == status
    newest = store.handle(
        HttpRequest("GET", "", "/log-newest", query, {}, b"")
    )
    page = json.loads(newest.body)
    assert [item["Key"] for item in page["items"]] == ["a/cancel"]
    assert page["EndOffset"] == 2
