"""The decisions of resumable sessions, as pure functions that tests and the model checker call."""
