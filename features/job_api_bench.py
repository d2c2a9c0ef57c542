"""A job API over a store that the test provides."""

from __future__ import annotations

import time

from rackvalve.manager.api import job_api
from rackvalve.manager import view as views
from rackvalve import telemetry


def make_job_api(context, store, item, age, forwarder=None):
    """Make a job API whose view was confirmed some seconds ago."""
    context.store = store
    context.view = views.View()
    context.view.apply_item(item)
    context.view.note_contact()
    context.view.note_confirmed(time.monotonic() - age)
    context.job_api = job_api.JobApi(
        store,
        context.view,
        telemetry.Telemetry(),
        is_stopping=lambda: False,
        forwarder=forwarder,
    )
