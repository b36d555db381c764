"""State machines of the fleet's coordination: they take times and events as arguments and return what to send."""
