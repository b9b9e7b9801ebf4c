#!/usr/bin/env bash
# What the scripts of review/4 to review/8 start beside the pooler: stand-ins in Python, of the standard library alone.
# They need no build; this checks that they can be read here. The pooler itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile rig2.py [4-8]/case.py
