"""Reading of the schema files, and the checks common to all of them."""

import json
import re

C_KEYWORDS = frozenset(
    "auto bool break case char const continue default do double else enum extern false float for goto "
    "if inline int long register restrict return short signed sizeof static struct switch true "
    "typedef union unsigned void volatile while".split()
)


class SchemaError(Exception):
    """An error in a schema file; the text names the file and the place."""


def read_json(root, path):
    """Reads one schema file."""
    try:
        return json.loads((root / path).read_text())
    except (OSError, json.JSONDecodeError) as error:
        raise SchemaError(f"{path}: {error}") from error


def require(condition, place, reason):
    """Raises a SchemaError that names the place unless the condition holds."""
    if not condition:
        raise SchemaError(f"{place}: {reason}")


def check_keys(entry, required, optional, place):
    """Rejects an entry with missing or unknown keys."""
    require(isinstance(entry, dict), place, "must be an object")
    for key in required:
        require(key in entry, place, f"'{key}' is missing")
    for key in entry:
        allowed = list(required) + list(optional)
        require(key in allowed, place, f"unknown key '{key}'; allowed are {', '.join(allowed)}")


def check_name(name, place):
    """Rejects a name that is not a lower-case C identifier."""
    valid = isinstance(name, str) and re.fullmatch(r"[a-z][a-z0-9_]*", name)
    require(valid, place, f"{name!r} is not a lower-case name")
    require(name not in C_KEYWORDS, place, f"'{name}' is a C keyword")


def check_unique(values, place):
    """Rejects a list with a duplicate value."""
    seen = set()
    for value in values:
        require(value not in seen, place, f"duplicate '{value}'")
        seen.add(value)
