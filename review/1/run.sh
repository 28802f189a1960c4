#!/usr/bin/env bash
# Disks are lost one after the other, each after the machine before has caught up.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.1.scenario
