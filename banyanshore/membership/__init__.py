"""Cluster membership: target announcements, entry digests and rosters."""
