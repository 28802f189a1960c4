"""The agent role: runs requests on one target and loads weights into it."""
