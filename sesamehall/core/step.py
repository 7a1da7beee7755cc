"""The result of a decision, and how decisions follow one another."""

from collections.abc import Callable
from dataclasses import dataclass

from sesamehall.core.effects import Effect
from sesamehall.core.state import State


@dataclass(frozen=True, slots=True)
class Step:
    """What a decision comes to.

    Attributes:
      state: The state after the decision.
      effects: What the runtime shall do, in this order.
    """

    state: State
    effects: tuple[Effect, ...] = ()


def then(step: Step, decide: Callable[..., Step], *arguments) -> Step:
    """Take a further decision on the state that a decision came to.

    Args:
      step: The decision so far.
      decide: Function of a state and the arguments.
      *arguments: Passed to the function after the state.
    Returns:
      A Step with the newer state and the effects of both, in order.
    """
    following = decide(step.state, *arguments)
    return Step(following.state, step.effects + following.effects)


def chain(state: State, *decisions: Callable[[State], Step]) -> Step:
    """Take several decisions one after the other.

    Args:
      state: The state before the first of them.
      *decisions: Functions of a state.
    Returns:
      A Step with the last state and the effects of all, in order.
    """
    step = Step(state)
    for decide in decisions:
        step = then(step, decide)
    return step
