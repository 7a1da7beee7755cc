"""The operators' command line: the two lists, keys, and what is in force."""

from sesamehall.codecs.checks import LIMITS_CHECKS
from sesamehall.codecs.checks import PLANS_CHECKS
from sesamehall.codecs.checks import SETTINGS_CHECKS
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.settings import OperatorSettings
from sesamehall.scripts.common import load_or_exit


def check(*, plans: str = "", limits: str = "") -> None:
    """Check lists without publishing them.

    Args:
      plans: YAML file with the plans, or nothing.
      limits: YAML file with the limits, or nothing.
    """
    if plans:
        load_or_exit(plans, PlansList, PLANS_CHECKS)
        print(f"{plans}: no problems")
    if limits:
        load_or_exit(limits, LimitsList, LIMITS_CHECKS)
        print(f"{limits}: no problems")


def publish(
    *, settings: str, plans: str = "", limits: str = "", based_on: int = -1
) -> None:
    """Publish one of the two lists, and tell what became of it.

    Of two operators who edit the same version one is refused; make the edit
    again from the newest version then.  "accepted" is only said for what
    was read back from the log.

    Args:
      settings: YAML file with the command line's settings.
      plans: YAML file with the whole new plans, or nothing.
      limits: YAML file with the whole new limits, or nothing.
      based_on: Version that the edit was made from; the newest if not given.
    """
    if bool(plans) == bool(limits):
        raise SystemExit("give either --plans or --limits")
    desk = _open_desk(settings)
    if plans:
        value = load_or_exit(plans, PlansList, PLANS_CHECKS)
        desk.publish_plans(value, based_on)
    else:
        value = load_or_exit(limits, LimitsList, LIMITS_CHECKS)
        desk.publish_limits(value, based_on)


def show(*, settings: str) -> None:
    """Show the newest lists, keys, pools, moves and jobs of the log.

    Args:
      settings: YAML file with the command line's settings.
    """
    _open_desk(settings).show()


def in_force(*, settings: str, wait_s: int = 0) -> None:
    """Show which versions each entry has in force.

    The exit code is 1 when an entry does not answer or is behind the log.

    Args:
      settings: YAML file with the command line's settings.
      wait_s: How long to wait for the newest to be in force everywhere.
    """
    _open_desk(settings).show_in_force(wait_s)


def give_key(*, settings: str, team: str) -> None:
    """Give a team a new key.  It is shown once, and kept nowhere.

    Args:
      settings: YAML file with the command line's settings.
      team: Name of the team; its plan must be published.
    """
    _open_desk(settings).give_key(team)


def withdraw_key(*, settings: str, key_id: str) -> None:
    """Withdraw a key for ever.

    Args:
      settings: YAML file with the command line's settings.
      key_id: Part of the key before the dot.
    """
    _open_desk(settings).withdraw_key(key_id)


def explain(*, job: str, logs: list[str]) -> None:
    """Print the course of a job from the logs of all nodes.

    Args:
      job: Identifier of the job.
      logs: Files with the nodes' standard output.
    """
    from sesamehall.runtime.explaining import explain_job
    from sesamehall.runtime.explaining import parse_lines

    lines = []
    for path in logs:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += parse_lines(file, path)
    chosen = explain_job(lines, job)
    if not chosen:
        raise SystemExit(f"no line names job {job}")
    for line in chosen:
        print(line.time, line.node, line.number, line.text)


def _open_desk(settings: str):
    """Read the settings and the log."""
    from sesamehall.runtime.desk import Desk

    loaded = load_or_exit(settings, OperatorSettings, SETTINGS_CHECKS)
    return Desk(loaded)


def main() -> None:
    """Run the program."""
    from defopt import run

    commands = [
        check,
        publish,
        show,
        in_force,
        give_key,
        withdraw_key,
        explain,
    ]
    run(commands, cli_options="all")


if __name__ == "__main__":
    main()
