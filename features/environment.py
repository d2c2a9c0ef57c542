"""Hooks of the tests: processes are started for a feature or a scenario."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))


def before_feature(context, feature):
    """Give each feature a place for its fleet."""
    context.fleets = {}


def after_scenario(context, scenario):
    """Undo what a scenario did to a fleet that others use too."""
    for fleet in getattr(context, "fleets", {}).values():
        fleet.heal()
    own = getattr(context, "own_fleet", None)
    if own is not None:
        own.stop()
        context.own_fleet = None


def after_feature(context, feature):
    """End the processes of the feature."""
    for fleet in context.fleets.values():
        fleet.stop()
