"""Generates well-formed answers with odd values, as a faulty peer sends."""

from __future__ import annotations

import copy
import json
import random

from features.job_bench import IDENTITY

ODD = (
    None,
    True,
    "",
    "x",
    "x" * 5000,
    "9" * 5000,
    "\u0000\ud7ff",
    "..",
    "-1.0.0",
    # Names of tasks that do not exist.
    f"{IDENTITY}.0.0.99",
    f"{IDENTITY}.9.0.0",
    f"{IDENTITY}.0.9.0",
    f"{IDENTITY}.0.0." + "9" * 5000,
    f"{IDENTITY}.0.0.\u0661",
    -1,
    0,
    7,
    2**53,
    2**63,
    10**30,
    -0.5,
    1e300,
    -1e300,
    [],
    {},
    [[]],
    [{}],
    [None],
)
# A number beyond the range of floats, inserted into the JSON text.
_HUGE = "1e400"


def vary(rng: random.Random, document: object) -> bytes:
    """Return a document with some parts replaced, removed or repeated.

    :param rng: Random generator that chooses the parts and changes.
    :param document: The valid document.
    """
    odd = copy.deepcopy(document)
    for _ in range(rng.randint(1, 3)):
        odd = _vary_once(rng, odd)
    text = json.dumps(odd)
    if rng.random() < 0.05:
        text = text.replace("7", _HUGE, 1)
    return text.encode("utf-8", "surrogatepass")


def _vary_once(rng: random.Random, part: object) -> object:
    if isinstance(part, dict) and part and rng.random() < 0.85:
        key = rng.choice(list(part))
        how = rng.random()
        if how < 0.1:
            del part[key]
        elif how < 0.15:
            part[rng.choice(("x", "", key + "2"))] = part[key]
        else:
            part[key] = _vary_once(rng, part[key])
        return part
    if isinstance(part, list) and part and rng.random() < 0.85:
        at = rng.randrange(len(part))
        how = rng.random()
        if how < 0.1:
            del part[at]
        elif how < 0.25:
            part.insert(rng.randrange(len(part) + 1), copy.deepcopy(part[at]))
        else:
            part[at] = _vary_once(rng, part[at])
        return part
    return copy.deepcopy(rng.choice(ODD))
