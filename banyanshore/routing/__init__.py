"""Request routing: target selection, admission, queueing, retries and quarantine."""
