#!/usr/bin/env bash
# Build the stand-ins of the cases. They are Python programs that use the standard
# library only, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
