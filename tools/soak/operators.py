"""The operator of a site: configurations, waves and evacuations."""

from __future__ import annotations

import time

import gevent

from tools.soak import callers
from tools.soak import configurations
from tools.soak import evacuations

# Duration of an operator's wave, in seconds, and how many VMs may be away.
WAVE_DURATION_S = 20
WAVE_MAX_AWAY = 2
# Shortest interval between the beginnings of two waves, in seconds.
WAVE_SPACING_S = 12
# Bounds of the pause between configurations in quick succession, in seconds.
QUICK_CHANGE_S = (0.05, 0.6)
# Documents that are no configuration: text that ends early, one without its
# version, a queue without a name, and a version before the one in force.
_ROUTE = (
    '{{"name": "{queue}", "host": "jobs.example", '
    '"path-prefix": "/{queue}/", "service": "lookups"}}'
)
OLDER = "older"
INVALID_FORMS = {
    "cut off": '{{"version": {version}, "routes": [' + _ROUTE,
    "no version": '{{"routes": [' + _ROUTE + "]}}",
    "no name": '{{"version": {version}, "routes": [' + _ROUTE + ", {{}}]}}",
    OLDER: '{{"version": 1, "routes": [' + _ROUTE + "]}}",
}


class Operator:
    """Writes the operator's documents and records what was acknowledged.

    :param site: The site.
    """

    def __init__(self, site):
        # Configurations that were written, oldest first.
        self.changes = []
        # Evacuations that have been withdrawn.
        self.evacuations = []
        self._site = site
        self._extras = 0
        self._waves = 0
        self._next_wave = 0.0
        # Halls with an evacuation in force.
        self._evacuated = set()

    def put_configuration(self, draw):
        """Add a queue, and remove the one that was added before.

        :param draw: Chooses the pool of the queue, from 0 to 1.
        """
        self._extras += 1
        extra = f"{callers.EXTRA_PREFIX}{self._extras}"
        pools = list(self._site.queues.values())
        pool = pools[int(draw * len(pools))]
        queues = {**self._site.queues, extra: pool}
        # The second workspace's key changes with each configuration.
        self._site.keys["south"] = [f"soak-key-south-{self._extras}"]
        sent = time.monotonic()
        version = self._site.configure(queues)
        self._note_change(version, sent, queues)

    def _note_change(
        self, version, sent, queues, *, is_valid=True, is_readable=False
    ):
        self.changes.append(
            configurations.Change(
                version=version,
                sent=sent,
                acknowledged=time.monotonic(),
                queues=frozenset(queues),
                is_valid=is_valid,
                is_readable=is_readable,
            )
        )

    def put_configurations(self, fault):
        """Write configurations in quick succession, for the fault's length."""
        until = time.monotonic() + fault.length
        pause = QUICK_CHANGE_S[0] + fault.draw * (
            QUICK_CHANGE_S[1] - QUICK_CHANGE_S[0]
        )
        while time.monotonic() < until:
            self.put_configuration(fault.draw)
            gevent.sleep(pause)

    def put_invalid(self, fault):
        """Write an invalid document, and a valid configuration after it."""
        self._extras += 1
        extra = f"{callers.EXTRA_PREFIX}{self._extras}"
        name = list(INVALID_FORMS)[int(fault.draw * len(INVALID_FORMS))]
        form = INVALID_FORMS[name]
        sent = time.monotonic()
        self._site.put_invalid_configuration(
            form.format(queue=extra, version=self._site.version + 1)
        )
        self._note_change(
            0, sent, {extra}, is_valid=False, is_readable=name == OLDER
        )
        gevent.sleep(fault.length)
        self.put_configuration(fault.draw)

    def order_wave(self):
        """Order maintenance of all VMs unless the last wave is too recent."""
        now = time.monotonic()
        if now < self._next_wave:
            return
        self._next_wave = now + WAVE_SPACING_S
        self._waves += 1
        self._site.order(
            {
                "put": f"op/wave/{self._waves}",
                "value": {
                    "wave": self._waves,
                    "machines": self._site.list_machines(state="up"),
                    "duration-s": WAVE_DURATION_S,
                    "upper-bound": WAVE_MAX_AWAY,
                },
            }
        )

    def evacuate(self, fault):
        """Evacuate a hall, and withdraw the order after the fault's length."""
        halls = sorted(set(self._site.list_halls().values()))
        hall = halls[int(fault.draw * len(halls))]
        if hall in self._evacuated:
            return hall
        self._evacuated.add(hall)
        key = f"op/evacuate/{hall}"
        self._site.order({"put": key, "value": {}})
        began = time.monotonic()
        gevent.sleep(fault.length)
        self.evacuations.append(
            evacuations.Evacuation(
                hall=hall, began=began, ended=time.monotonic()
            )
        )
        self._site.order({"drop": key})
        self._evacuated.discard(hall)
        return hall
