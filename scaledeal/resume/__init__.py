"""Resumable sessions: a client whose connection is moved continues its session at another server.

Read in this order: ``core`` (the register and its transitions, line numbering, tokens; no I/O and no clock), then
``stores`` (memory and the ledger on disk, which keep registers and make no decisions). See docs/resume.md.

Guarantees: at most one holder per epoch; one final answer; an acknowledged line is applied exactly once.
"""
