"""Orders that wait for a thread while their leader loses its role."""

from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.managereffects import StartRun


class OrderFence:
    """The term whose queued orders must not be sent any more.

    Orders wait for a thread after they were decided.  A leader that resigns
    or has lost its term revokes those that still wait.
    """

    def __init__(self):
        """Create a fence that revokes nothing."""
        self._revoked_epoch = 0

    def revoke(self, effect: RevokeOrders) -> None:
        """Revoke the orders of a term and of earlier ones.

        Args:
          effect: The term.
        """
        self._revoked_epoch = max(self._revoked_epoch, effect.epoch)

    def may_send(
        self, effect: StartRun | MoveMachine | MaintainMachine, at_ms: int
    ) -> bool:
        """Check whether an order may be sent now.

        Args:
          effect: The order.
          at_ms: Current time on the node's clock.
        Returns:
          False if it has expired or was revoked.
        """
        return at_ms < effect.not_after_ms and (
            effect.epoch > self._revoked_epoch
        )
