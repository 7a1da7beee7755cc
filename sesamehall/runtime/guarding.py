"""Guarantees that every effect ends in its event, whatever goes wrong."""

from collections.abc import Callable
import logging

from sesamehall.core.codes import SesamehallError
from sesamehall.core.effects import Effect
from sesamehall.core.events import Event
from sesamehall.runtime.effectfailures import describe_error
from sesamehall.runtime.effectfailures import failure_event
from sesamehall.runtime.interpreter import now_ms

LOGGER = logging.getLogger("sesamehall")


def perform_and_post(
    perform: Callable[[Effect], Event | None],
    effect: Effect,
    post_event: Callable[[Event], None],
) -> None:
    """Perform an effect and post the event that it results in.

    Args:
      perform: Performs the effect; returns its event, or None if it has none.
        If it raises, the failure of the effect is posted.
      effect: The effect.
      post_event: Queues an event for the interpreter.
    """
    try:
        event = perform(effect)
    except SesamehallError as error:
        event = failure_event(effect, describe_error(error), now_ms())
    except Exception as error:
        LOGGER.exception("failed to perform %s", type(effect).__name__)
        event = failure_event(effect, describe_error(error), now_ms())
    if event is not None:
        post_event(event)
