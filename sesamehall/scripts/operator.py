"""The operators' command line: plans, limits, keys and status."""

from sesamehall.codecs.checks import LIMITS_CHECKS
from sesamehall.codecs.checks import PLANS_CHECKS
from sesamehall.codecs.checks import SETTINGS_CHECKS
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.settings import OperatorSettings
from sesamehall.scripts.common import load_or_exit


def check(
    *,
    plans: str = "",
    limits: str = "",
    manifest: str = "",
    wave: list[str] = [],
    in_force: str = "",
    store: str = "",
    format: str = "text",
) -> None:
    """Check files without publishing them.

    The exit code is 1 if a manifest or a wave has entries that can never
    match or limits that contradict each other, and 2 if a file is not valid.

    Args:
      plans: YAML file with the plans.
      limits: YAML file with the limits.
      manifest: JSON file with a manifest for the platform's store.
      wave: JSON files with a wave of maintenance each.
      in_force: JSON file with the manifest in force; changes are shown.
      store: "host:port" of the platform's store, to read that one from.
      format: "text" or "json", for the manifest and the waves.
    """
    if plans:
        load_or_exit(plans, PlansList, PLANS_CHECKS)
        print(f"{plans}: no problems")
    if limits:
        load_or_exit(limits, LimitsList, LIMITS_CHECKS)
        print(f"{limits}: no problems")
    if manifest or wave:
        from sesamehall.scripts.manifestcheck import check_files

        check_files(manifest, wave, in_force, store, format)


def publish(
    *, settings: str, plans: str = "", limits: str = "", based_on: int = -1
) -> None:
    """Publish the plans or the limits and print the verdict.

    With --based-on, the change is refused unless that version is still the
    latest; the edit then has to be repeated from the latest version.  Without
    it, the change replaces the version that is the latest when the command
    reads the platform's log, whichever version was edited.  "accepted" is
    printed only after the change was read back from that log.

    Args:
      settings: YAML file with the settings of the command line.
      plans: YAML file with the complete new plans.
      limits: YAML file with the complete new limits.
      based_on: Version that was edited; by default the latest in the log.
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
    """Show lists, keys, pools, moves and jobs as of the platform's log.

    Args:
      settings: YAML file with the settings of the command line.
    """
    _open_client(settings).show()


def in_force(*, settings: str, wait_s: int = 0) -> None:
    """Show which versions are in force at each entry.

    The exit code is 1 if an entry does not respond or is behind the
    platform's log.

    Args:
      settings: YAML file with the settings of the command line.
      wait_s: How long to wait for all entries to catch up with that log.
    """
    _open_client(settings).show_in_force(wait_s)


def give_key(*, settings: str, team: str) -> None:
    """Give a new key to a team and print it.

    The key consists of an identifier and a secret.  The platform's log keeps
    the identifier and a digest of the secret, so the key cannot be shown
    again.

    Args:
      settings: YAML file with the settings of the command line.
      team: Name of the team; its plan must be published.
    """
    _open_client(settings).give_key(team)


def withdraw_key(*, settings: str, key_id: str) -> None:
    """Withdraw a key permanently.

    Args:
      settings: YAML file with the settings of the command line.
      key_id: Identifier of the key, its part before the dot.
    """
    _open_client(settings).withdraw_key(key_id)


def explain(*, job: str, logs: list[str]) -> None:
    """Print the timeline of a job from the log files of the nodes.

    Args:
      job: Identifier of the job.
      logs: Log files; each holds the standard output of a node.
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
    """Load the settings and read the platform's log."""
    from sesamehall.runtime.operatorclient import OperatorClient

    loaded = load_or_exit(settings, OperatorSettings, SETTINGS_CHECKS)
    return OperatorClient(loaded)


def main() -> None:
    """Run the command that is named on the command line."""
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
