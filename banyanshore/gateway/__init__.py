"""The gateway role: passes callers' requests on to registered targets."""
