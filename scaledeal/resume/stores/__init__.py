"""Stores of session registers: memory, or a ledger on disk. ``core.register`` makes the decisions, not the stores."""
