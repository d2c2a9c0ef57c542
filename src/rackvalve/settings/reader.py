"""Reader of settings files that reports all faults at once."""

from __future__ import annotations

import configparser
import dataclasses
import difflib
import pathlib
from typing import TypeVar

from rackvalve import errors
from rackvalve.settings import catalog
from rackvalve.settings import kinds

T = TypeVar("T")


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Fault:
    """A fault in a settings file.

    :param path: The file.
    :param section: Section; empty if the fault concerns the whole file.
    :param key: Key; empty if the fault concerns the whole section.
    :param message: Description of the fault and how to correct it.
    """

    path: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        place = f"{self.path}: [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: {self.message}"


class Settings:
    """The validated values of one settings file."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[tuple[str, str], kinds.Value]) -> None:
        self._values = values

    def get(self, section: str, name: str, kind: type[T]) -> T:
        """Return one value.

        :param section: Section of the key.
        :param name: Name of the key.
        :param kind: Python type of the key according to the catalog.
        :return: The value in its base unit (seconds, bytes).
        :raises InvariantBrokenError: The catalog has no such key, or one of
            another type.
        """
        value = self._values.get((section, name))
        if not isinstance(value, kind):
            raise errors.InvariantBrokenError(
                f"setting [{section}] {name} is no {kind.__name__}"
            )
        return value


def read_file(
    path: str, keys: tuple[catalog.Key, ...] = catalog.KEYS
) -> Settings:
    """Read and validate a settings file.

    :param path: Path of the INI file.
    :param keys: The known settings.
    :return: The settings.
    :raises SettingsInvalidError: The file has faults; lists all of them.
    """
    settings, faults = check_file(path, keys)
    if settings is None:
        raise errors.SettingsInvalidError([str(fault) for fault in faults])
    return settings


def check_file(
    path: str, keys: tuple[catalog.Key, ...] = catalog.KEYS
) -> tuple[Settings | None, list[Fault]]:
    """Validate a settings file.

    :param path: Path of the INI file.
    :param keys: The known settings.
    :return: The settings, ``None`` if there is any fault, and all faults.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0", strict=True
    )
    try:
        parser.read_string(pathlib.Path(path).read_text("utf-8"), path)
    except (OSError, UnicodeDecodeError) as error:
        return None, [_make_fault(path, "", "", f"cannot be read: {error}")]
    except configparser.Error as error:
        text = " ".join(str(error).split())
        return None, [_make_fault(path, "", "", f"is no INI file: {text}")]
    return _check(path, parser, keys)


def _check(
    path: str,
    parser: configparser.ConfigParser,
    keys: tuple[catalog.Key, ...],
) -> tuple[Settings | None, list[Fault]]:
    faults = _find_unknown(path, parser, keys)
    values: dict[tuple[str, str], kinds.Value] = {}
    for key in keys:
        text = parser.get(key.section, key.name, fallback=key.default)
        if text is None:
            message = f"is missing; give {key.kind.unit}"
            faults.append(_make_fault(path, key.section, key.name, message))
            continue
        value = kinds.read_value(key.kind, text)
        if isinstance(value, kinds.Malformed):
            message = f"{text[:60]!r}: {value.hint}"
            faults.append(_make_fault(path, key.section, key.name, message))
            continue
        values[key.section, key.name] = value
    faults.extend(_find_conflicts(path, values))
    return (None if faults else Settings(values)), faults


def _find_unknown(
    path: str,
    parser: configparser.ConfigParser,
    keys: tuple[catalog.Key, ...],
) -> list[Fault]:
    known: dict[str, list[str]] = {}
    for key in keys:
        known.setdefault(key.section, []).append(key.name)
    faults = []
    for section in parser.sections():
        if section not in known:
            message = "unknown section" + _suggest(section, list(known))
            faults.append(_make_fault(path, section, "", message))
            continue
        for name in parser.options(section):
            if name not in known[section]:
                message = "unknown key" + _suggest(name, known[section])
                faults.append(_make_fault(path, section, name, message))
    return faults


def _find_conflicts(
    path: str, values: dict[tuple[str, str], kinds.Value]
) -> list[Fault]:
    faults = _find_shared_addresses(path, values)
    step = values.get(("steward", "step_interval"))
    lease = values.get(("steward", "lease_time"))
    if isinstance(step, float) and isinstance(lease, float):
        if lease < 2 * step:
            message = (
                f"{lease:g}s clashes with [steward] step_interval "
                f"{step:g}s; make it at least twice as long"
            )
            faults.append(_make_fault(path, "steward", "lease_time", message))
    body = values.get(("entry", "body_limit"))
    memory = values.get(("entry", "memory_limit"))
    if isinstance(body, int) and isinstance(memory, int) and body > memory:
        message = (
            f"{body}B clashes with [entry] memory_limit {memory}B; "
            "make it smaller"
        )
        faults.append(_make_fault(path, "entry", "body_limit", message))
    return faults


def _find_shared_addresses(
    path: str, values: dict[tuple[str, str], kinds.Value]
) -> list[Fault]:
    faults = []
    owners: dict[kinds.Address, str] = {}
    for (section, name), value in values.items():
        if not name.endswith("listen") or not isinstance(value, kinds.Address):
            continue
        if value in owners:
            message = f"{value} clashes with {owners[value]}; use another port"
            faults.append(_make_fault(path, section, name, message))
        owners.setdefault(value, f"[{section}] {name}")
    return faults


def _make_fault(path: str, section: str, key: str, message: str) -> Fault:
    return Fault(path=path, section=section, key=key, message=message)


def _suggest(word: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(word, known, n=1)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return "; known are " + ", ".join(sorted(known))
