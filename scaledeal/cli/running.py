"""``scaledeal run``: the platform's relay with the extensions that the operators' file enables."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import structlog

from scaledeal.net.config import ConfigError
from scaledeal.net.relay import Relay
from scaledeal.operator import FileError, Installation, Log, Quic, read


def run_relay(file: Path) -> int:
    """Run a relay until it is stopped by a signal; return the exit code, 2 for an invalid file."""
    from scaledeal.__main__ import main

    try:
        installation = read(file)
    except FileError as error:
        for fault in error.faults:
            print(f"{file}: {fault}", file=sys.stderr)
        return 2
    configure_logging(installation.log)
    return main(lambda relay: extend(relay, installation, file))


def extend(relay: Relay, installation: Installation, file: Path) -> None:
    """Add the QUIC and resume sides that the file enables to a relay.

    Read the file again, now with the relay's platform settings; raise ConfigError if it is invalid with these.
    """
    document = relay.config.document
    try:
        installation = read(file, document)
    except FileError as error:
        raise ConfigError(f"{file}: {error}") from None
    if installation.quic is not None:
        from scaledeal.quic.sockets.side import QuicSide

        def reload_quic() -> Quic | None:
            return read(file, document).quic

        relay.sides.append(QuicSide(relay, installation.quic, reload_quic))
    if installation.resume is not None:
        from scaledeal.resume.wire.side import ResumeSide

        relay.sides.append(ResumeSide(relay, installation.resume, lambda: read(file, document).resume))


def configure_logging(settings: Log) -> None:
    """Configure structlog to write one event a line to standard error, as JSON or human-readable text."""
    renderer: structlog.types.Processor = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, settings.level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
