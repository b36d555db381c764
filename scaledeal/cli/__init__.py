"""The command line ``scaledeal``, built on typer. It may import every package; no package imports it.

Each group of commands is a module of its own, and imports what a command needs when the command is called.
"""
