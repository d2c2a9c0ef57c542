"""Which optional parts of a manager are switched on.

A part that is off leaves the manager's decisions as they are without it.
"""

from __future__ import annotations

import dataclasses

from rackvalve.platform import terms as term_documents
from rackvalve.settings import kinds
from rackvalve.settings import reader

_SECTION = "manager"
_ON = "on"
_AUTO = "auto"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Features:
    """The optional parts of one manager.

    :param standby: Some managers keep the owner's view current.
    :param relay: Requests are passed to managers that the store serves.
    :param failure_domains: Racks and halls count as failure domains.
    :param evacuation: Lasting tasks leave evacuated halls.
    """

    standby: bool = False
    relay: bool = False
    failure_domains: bool = False
    evacuation: bool = False

    @property
    def membership(self) -> bool:
        """Whether managers register and know each other."""
        return self.standby or self.relay


def read_features(settings: reader.Settings) -> Features:
    """Return the parts that the settings switch on.

    A part that is set to auto is on where the terms in force need it: each one
    lets a deployment bear evacuated halls or a surge of callers.

    :param settings: The checked settings of a manager.
    """
    terms = term_documents.read_terms(settings.get(_SECTION, "terms", tuple))
    is_demanding = terms.evacuations or terms.surges
    ports = settings.get(_SECTION, "peer_ports", kinds.PortRange)
    return Features(
        standby=_is_on(settings, "standby", is_demanding),
        relay=bool(ports) and _is_on(settings, "relay", is_demanding),
        failure_domains=_is_on(settings, "failure_domains", is_demanding),
        evacuation=_is_on(settings, "evacuation", terms.evacuations),
    )


def _is_on(settings: reader.Settings, name: str, is_needed: bool) -> bool:
    """Return whether a switch is on, given whether the terms need it."""
    switch = settings.get(_SECTION, name, str)
    return switch == _ON or (switch == _AUTO and is_needed)
