"""The operators' command line: plans, limits, keys and status."""

from sesamehall.codecs.checks import LIMITS_CHECKS
from sesamehall.codecs.checks import PLANS_CHECKS
from sesamehall.codecs.checks import SETTINGS_CHECKS
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.settings import OperatorSettings
from sesamehall.scripts.common import load_or_exit


def check(*, plans: str = "", limits: str = "") -> None:
    """Check list files without publishing them.

    Args:
      plans: YAML file with the plans.
      limits: YAML file with the limits.
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
    """Publish the plans or the limits and print the verdict.

    If two operators edit the same version, the second is refused and has to
    repeat the edit from the latest version.  "accepted" is printed only after
    the change was read back from the log.

    Args:
      settings: YAML file with the settings of the command line.
      plans: YAML file with the complete new plans.
      limits: YAML file with the complete new limits.
      based_on: Version that was edited; the latest by default.
    """
    if bool(plans) == bool(limits):
        raise SystemExit("specify either --plans or --limits")
    client = _open_client(settings)
    if plans:
        value = load_or_exit(plans, PlansList, PLANS_CHECKS)
        client.publish_plans(value, based_on)
    else:
        value = load_or_exit(limits, LimitsList, LIMITS_CHECKS)
        client.publish_limits(value, based_on)


def show(*, settings: str) -> None:
    """Show the latest lists, keys, pools, moves and jobs in the log.

    Args:
      settings: YAML file with the settings of the command line.
    """
    _open_client(settings).show()


def in_force(*, settings: str, wait_s: int = 0) -> None:
    """Show which versions are in force at each entry.

    The exit code is 1 if an entry does not respond or is behind the log.

    Args:
      settings: YAML file with the settings of the command line.
      wait_s: How long to wait for all entries to catch up with the log.
    """
    _open_client(settings).show_in_force(wait_s)


def give_key(*, settings: str, team: str) -> None:
    """Issue a key for a team.  It is printed once and not stored anywhere.

    Args:
      settings: YAML file with the settings of the command line.
      team: Name of the team; its plan must be published.
    """
    _open_client(settings).give_key(team)


def withdraw_key(*, settings: str, key_id: str) -> None:
    """Revoke a key permanently.

    Args:
      settings: YAML file with the settings of the command line.
      key_id: The part of the key before the dot.
    """
    _open_client(settings).withdraw_key(key_id)


def explain(*, job: str, logs: list[str]) -> None:
    """Print the timeline of a job from the logs of all nodes.

    Args:
      job: Identifier of the job.
      logs: Files with the standard output of the nodes.
    """
    from sesamehall.runtime.jobtimeline import build_timeline
    from sesamehall.runtime.jobtimeline import parse_lines

    lines = []
    for path in logs:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += parse_lines(file, path)
    timeline = build_timeline(lines, job)
    if not timeline:
        raise SystemExit(f"no log line names job {job}")
    for line in timeline:
        print(line.time, line.node, line.number, line.text)


def _open_client(settings: str):
    """Load the settings and read the log."""
    from sesamehall.runtime.operatorclient import OperatorClient

    loaded = load_or_exit(settings, OperatorSettings, SETTINGS_CHECKS)
    return OperatorClient(loaded)


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
