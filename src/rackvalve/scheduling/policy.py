"""Optional rules of scheduling that a deployment's settings switch on."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Policy:
    """The optional rules in force.

    :param failure_domains: Tasks and VMs are spread over racks and halls, and
        workers that fall silent together are one failure.
    :param evacuation: Lasting tasks leave evacuated halls, and cold workers
        come into use gradually.
    """

    failure_domains: bool = False
    evacuation: bool = False


DEFAULT = Policy()
