#!/usr/bin/env bash
# A control instance is frozen while an order is sent to it, and wakes up later.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.2.scenario
