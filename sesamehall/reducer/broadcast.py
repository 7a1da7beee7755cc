"""Broadcasts to all connected nodes of one kind."""

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Effect
from sesamehall.core.effects import Send
from sesamehall.core.messages import Message
from sesamehall.core.state import State


def send_all(
    state: State, kind: NodeKind, message: Message
) -> tuple[Effect, ...]:
    """Build the effects that send a message to all nodes of a kind.

    Args:
      state: State of the sending node.
      kind: Kind of the receivers.
      message: The message.
    Returns:
      An effect for each open stream to such a node.
    """
    peers_by_name = state.identity.peers_by_name
    return tuple(
        Send(name, message)
        for name in sorted(state.peers_by_name)
        if peers_by_name[name].kind is kind
    )
