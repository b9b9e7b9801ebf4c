#!/usr/bin/env python3
"""Writes a header that names the layout of a group control's state: a digest of the headers that
declare it. Use: layout_header.py OUTPUT HEADER..."""

import hashlib
import pathlib
import sys

output, *headers = (pathlib.Path(argument) for argument in sys.argv[1:])
digest = hashlib.sha256(b"".join(header.read_bytes() for header in headers)).hexdigest()[:32]
output.write_text(f'#define GROUP_CONTROL_LAYOUT "{digest}"\n')
