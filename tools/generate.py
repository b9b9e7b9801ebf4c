#!/usr/bin/env python3
"""Generates committed files from the schema: the C code under src/generated/, the page
docs/settings.md, and the parts of tests/generated/ that cover every struct.

Use:
    tools/generate.py            write the generated files that changed
    tools/generate.py --check    fail, naming the files, if any would change

To add a message:
    1. schema/messages.json, "structs": add the struct, after the structs that it uses.
         {"name": "probe", "comment": "...", "fields": [
           {"id": 1, "name": "daemon", "type": "text", "max": 64},
           {"id": 2, "name": "zones", "type": "u32[]", "max": 8},
           {"id": 3, "name": "load", "type": "u32", "optional": true, "comment": "..."}]}
       Types: u32 u64 i64 bool text bytes, the name of an enum or of an earlier struct, and T[].
       "max" bounds text and bytes in bytes and T[] in items; text[] also needs "item_max", in
       bytes. Field ids run from 1 to 255 and are never reused for another field.
    2. "messages": add {"id": 3, "name": "probe", "struct": "probe"} if it is a message of its own.
    3. Run tools/generate.py and commit the schema together with src/generated/.

To add a setting: add it to schema/settings.json, whose comment describes the types, and run
tools/generate.py; the reference page docs/settings.md is generated too.

Errors name the file and the place in the schema. The code is formatted by clang-format if it is
installed; without it the code differs only in line breaks.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from generator import cases, errors, messages, settings
from generator.schema import SchemaError, read_json

ROOT = pathlib.Path(__file__).resolve().parent.parent

# A schema with every type that the generator supports, for its tests.
SAMPLE_SCHEMA = "tests/generated/sample.json"


def generate():
    """Returns the generated files: a dict from the path relative to the root to the text."""
    files = {}
    error_schema = read_json(ROOT, "schema/errors.json")
    files.update(errors.generate(error_schema, "schema/errors.json"))
    message_schema = read_json(ROOT, "schema/messages.json")
    files.update(messages.generate(message_schema, "schema/messages.json"))
    files.update(cases.generate(message_schema, "schema/messages.json",
                                "generated/messages.h", "message_cases"))
    sample_schema = read_json(ROOT, SAMPLE_SCHEMA)
    files.update(messages.generate(sample_schema, SAMPLE_SCHEMA, "tests/generated/sample"))
    files.update(cases.generate(sample_schema, SAMPLE_SCHEMA, "sample.h", "sample_cases"))
    setting_schema = read_json(ROOT, "schema/settings.json")
    files.update(settings.generate(setting_schema, "schema/settings.json"))
    pooler_schema = read_json(ROOT, "schema/pooler_settings.json")
    files.update(settings.generate(pooler_schema, "schema/pooler_settings.json"))
    return files


def clang_format(text, path):
    """Formats C in the project's style; returns the text unchanged if clang-format is missing."""
    program = shutil.which("clang-format")
    if program is None or not path.endswith((".c", ".h")):
        return text
    command = [program, "--style=file", f"--assume-filename={ROOT / path}"]
    return subprocess.run(command, input=text, capture_output=True, text=True, check=True).stdout


def is_current(target, text):
    """Whether a file has this text; without clang-format, line breaks and spaces are ignored."""
    if not target.exists():
        return False
    present = target.read_text()
    if shutil.which("clang-format") is None:
        return "".join(present.split()) == "".join(text.split())
    return present == text


def main():
    parser = argparse.ArgumentParser(description="Generates C code from the schema.")
    parser.add_argument("--check", action="store_true", help="fail if a file would change")
    options = parser.parse_args()
    try:
        files = generate()
    except SchemaError as error:
        sys.exit(f"generate: {error}")
    stale = []
    for path, text in sorted(files.items()):
        target = ROOT / path
        text = clang_format(text, path)
        if is_current(target, text):
            continue
        stale.append(path)
        if not options.check:
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_text(text)
            print(f"generate: wrote {path}")
    if options.check and stale:
        sys.exit("generate: not up to date, run tools/generate.py: " + " ".join(stale))


if __name__ == "__main__":
    main()
