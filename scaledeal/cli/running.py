"""``scaledeal run``: the platform's relay, with what the operators' file adds."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import structlog

from scaledeal.net.config import ConfigError
from scaledeal.net.relay import Relay
from scaledeal.operator import FileError, Installation, Log, Quic, read


def run_relay(file: Path) -> int:
    """Run until told to stop; return the exit code."""
    from scaledeal.__main__ import main

    try:
        installation = read(file)
    except FileError as error:
        for fault in error.faults:
            print(f"{file}: {fault}", file=sys.stderr)
        return 2
    log_as(installation.log)
    return main(lambda relay: extend(relay, installation, file))


def extend(relay: Relay, installation: Installation, file: Path) -> None:
    """Give a relay its further sides; raise ConfigError where the file can't be obeyed here."""
    document = relay.config.document
    try:
        installation = read(file, document)
    except FileError as error:
        raise ConfigError(f"{file}: {error}") from None
    if installation.quic is not None:
        from scaledeal.quic.sockets.side import QuicSide

        def again() -> Quic | None:
            return read(file, document).quic

        relay.sides.append(QuicSide(relay, installation.quic, again))
    if installation.resume is not None:
        from scaledeal.resume.wire.side import ResumeSide

        relay.sides.append(ResumeSide(relay, installation.resume, lambda: read(file, document).resume))


def log_as(told: Log) -> None:
    """Write the new parts' log: one event a line on standard error, JSON or for people."""
    last: structlog.types.Processor = (
        structlog.processors.JSONRenderer() if told.format == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso"),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, told.level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
