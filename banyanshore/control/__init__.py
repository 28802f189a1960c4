"""The control role: keeps the replicated state and takes registrations."""
