"""Test-wide settings: reproducible hypothesis examples, and the expected failures listed in KNOWN-RED.txt."""

from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary  # noqa: F401

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
