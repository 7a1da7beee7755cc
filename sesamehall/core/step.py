"""The result of a decision, and the composition of decisions."""

from collections.abc import Callable
from dataclasses import dataclass

from sesamehall.core.effects import Effect
from sesamehall.core.state import State


@dataclass(frozen=True, slots=True)
class Step:
    """Result of a decision.

    Attributes:
      state: The state after the decision.
      effects: Effects that the runtime carries out, in this order.
    """

    state: State
    effects: tuple[Effect, ...] = ()


def then(step: Step, decide: Callable[..., Step], *arguments) -> Step:
    """Apply a further decision to the state of a step.

    Args:
      step: Result of the decisions so far.
      decide: Decision: a function of a state and the arguments.
      *arguments: Arguments of the function, after the state.
    Returns:
      A Step with the new state and the effects of both, in order.
    """
    following = decide(step.state, *arguments)
    return Step(following.state, step.effects + following.effects)


def chain(state: State, *decisions: Callable[[State], Step]) -> Step:
    """Apply several decisions one after the other.

    Args:
      state: State before the first of them.
      *decisions: Functions of a state.
    Returns:
      A Step with the final state and all effects, in order.
    """
    step = Step(state)
    for decide in decisions:
        step = then(step, decide)
    return step
