"""Connection ids, tokens and the keys that protect them. Only ``key_file`` does I/O."""
