#!/usr/bin/env python3
"""Writes a header with the name of the layout of a group control's state. The name is a digest of
the headers that declare the state, without comments and with each run of white space as one space.
Use: layout_header.py OUTPUT HEADER...

Recorded traces contain the name, and a build refuses a trace of another layout. Renaming a field
changes the digest but not the layout, so NAMES maps such a digest to the name that is already in
use. Renew the key of an entry only if the order, types and sizes of all fields stay the same. A
digest that is not in the table is its own name."""

import hashlib
import pathlib
import re
import sys

NAMES = {
    "6e57e124974862b70dd78298f28ae140": "cc7353718bd270eae00635aa706710cb",
}


def declarations(text):
    return " ".join(re.sub(r"/\*.*?\*/|//[^\n]*", " ", text, flags=re.DOTALL).split())


output, *headers = (pathlib.Path(argument) for argument in sys.argv[1:])
stripped = "\n".join(declarations(header.read_text()) for header in headers)
digest = hashlib.sha256(stripped.encode()).hexdigest()[:32]
output.write_text(f'#define GROUP_CONTROL_LAYOUT "{NAMES.get(digest, digest)}"\n')
