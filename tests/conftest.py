"""Test-wide settings: hypothesis draws the same examples every time, and KNOWN-RED.txt is heeded."""

from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary  # noqa: F401

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
