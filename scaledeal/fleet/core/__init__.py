"""The choices of a fleet, as machines that take moments and events and give back what to do."""
