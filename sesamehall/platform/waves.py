"""Encoding of a maintenance wave's status for the operators."""

import json

from sesamehall.core.fleet import WaveStatus
from sesamehall.platform.operatordecoding import WAVE_KEY_PREFIX
from sesamehall.platform.records import frame_record


def encode_wave_status(status: WaveStatus) -> bytes:
    """Encode the status of a wave as a record of the status topic.

    Args:
      status: The status.
    Returns:
      Bytes of the record.
    """
    state = "completed" if status.completed else "running"
    key = f"{WAVE_KEY_PREFIX}{status.number}"
    return frame_record(key.encode(), json.dumps({"State": state}).encode())
