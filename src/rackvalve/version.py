"""The version of the package."""

from __future__ import annotations

VERSION = "0.11.0"
