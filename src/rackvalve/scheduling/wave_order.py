"""Orders the VMs of a wave so that pools keep VMs in each of their racks."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import fleet


def defer_last_vms(
    ranked: Iterable[str],
    listed: Mapping[str, fleet.Vm],
    cluster: clusters.Cluster,
    leaving: Collection[str],
) -> list[str]:
    """Put the VMs last whose closing takes a rack's last VM from a pool.

    Operators list the VMs of a wave rack by rack, and all VMs of a pool in a
    rack would be away at once although those of other racks could go first.
    The deferred VMs follow in the same order, so that a wave still ends.  VMs
    of the spare pool serve nobody and are not deferred.

    :param ranked: VMs that may be closed now, the best first.
    :param listed: The platform's list of VMs.
    :param cluster: The owner's view of the cluster.
    :param leaving: VMs that are closed or away for a wave.
    """
    pools = cluster.configuration.pools.values()
    spare = {pool.name for pool in pools if pool.spare}
    groups = {
        name: (vm.pool, cluster.locations.find(name).domain)
        for name, vm in listed.items()
        if vm.up
        and vm.pool not in spare
        and vm.hall not in cluster.evacuated
        and name not in leaving
    }
    left = collections.Counter(groups.values())
    first: list[str] = []
    deferred: list[str] = []
    for name in ranked:
        group = groups.get(name)
        if group is not None and left[group] <= 1:
            deferred.append(name)
            continue
        if group is not None:
            left[group] -= 1
        first.append(name)
    return first + deferred
