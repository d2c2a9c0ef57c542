"""Steps about the soak's check of evacuated halls."""

from __future__ import annotations

import behave

from tools.soak import evacuations


@behave.then(
    "of starts at 9, 14.9, 15.1 and 20.1 s the soak reports that at 15.1 s, "
    "inside a hall to be evacuated from 10 s to 20 s"
)
def check_found(context):
    order = evacuations.Evacuation(hall="a", began=10.0, ended=20.0)
    times = (9.0, 14.9, 15.1, 20.1)
    for hall, expected in (("a", [15.1]), ("b", [])):
        rows = [[0.0, "life", "w", "m", 0, "pool"]]
        rows += [[at, "start", "w", f"{at}", 1, ""] for at in times]
        broken = evacuations.check_evacuations([order], {"m": hall}, rows)
        found = [float(one.detail.split(":")[0]) for one in broken]
        assert found == expected, found
