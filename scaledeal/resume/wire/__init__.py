"""The resume extension of the line protocol at a relay: parses and writes its words, and calls the owner."""
