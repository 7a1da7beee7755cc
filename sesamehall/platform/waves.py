"""The status of a wave of maintenance, as operators read it."""

import json

from sesamehall.core.fleet import WaveStatus
from sesamehall.platform.decoding import WAVE_KEY_PREFIX
from sesamehall.platform.store import frame_record


def wave_record(status: WaveStatus) -> bytes:
    """Encode the status of a wave as a record of the status topic.

    Args:
      status: The status.
    Returns:
      The record's bytes.
    """
    word = "completed" if status.completed else "running"
    key = f"{WAVE_KEY_PREFIX}{status.number}"
    return frame_record(key.encode(), json.dumps({"State": word}).encode())
