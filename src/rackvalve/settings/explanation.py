"""Reference text of all settings, from the catalog."""

from __future__ import annotations

from rackvalve.settings import catalog


def explain_all(keys: tuple[catalog.Key, ...] = catalog.KEYS) -> str:
    """Return one paragraph per key: type and unit, default, meaning.

    :param keys: The settings to explain.
    """
    lines = []
    section = ""
    for key in keys:
        if key.section != section:
            section = key.section
            lines.append(f"[{section}]")
        default = "required" if key.default is None else repr(key.default)
        kind = type(key.kind).__name__.lower()
        lines.append(
            f"  {key.name}: {kind}, {key.kind.unit}, default {default}"
        )
        lines.append(f"      {key.meaning}")
    return "\n".join(lines)
