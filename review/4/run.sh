#!/usr/bin/env bash
# Settings change, and are announced by SIGHUP, right after processes were started.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.4.scenario
