"""errors.h and errors.c: the enum of error kinds and the table of their properties."""

from generator import writer
from generator.schema import check_keys, check_name, check_unique, require

RAN = ("not_run", "rolled_back", "unknown", "done")
RETRY = ("no", "yes", "new_key", "same_key")
FIRST_STATUS = 400
LAST_STATUS = 599


def check(schema, path):
    """Rejects an invalid schema."""
    check_keys(schema, ["kinds"], ["comment"], path)
    kinds = schema["kinds"]
    require(kinds, path, "'kinds' is empty")
    for index, kind in enumerate(kinds):
        place = f"{path}: kinds[{index}]"
        check_keys(kind, ["name", "status", "ran", "retry", "text"], ["comment"], place)
        check_name(kind["name"], place)
        status = kind["status"]
        require(isinstance(status, int) and FIRST_STATUS <= status <= LAST_STATUS, place,
                f"status {status!r} is not from {FIRST_STATUS} to {LAST_STATUS}")
        require(kind["ran"] in RAN, place, f"ran {kind['ran']!r} is not one of {', '.join(RAN)}")
        require(kind["retry"] in RETRY, place,
                f"retry {kind['retry']!r} is not one of {', '.join(RETRY)}")
    check_unique([kind["name"] for kind in kinds], f"{path}: kinds")


HEADER_BODY = """
/* Properties of one error kind: one row of the table. */
struct error_entry {
    enum error_kind kind;
    const char *name;     /* as sent to callers */
    unsigned http_status; /* 400 to 599 */
    enum error_ran ran;
    enum error_retry retry;
    const char *text; /* a short sentence */
};

/* Returns the table's row of a kind, which is static; for a value out of range the row of
 * ERROR_KIND_INTERNAL. Any thread. */
const struct error_entry *error_entry_of(enum error_kind kind);

/* Finds a kind by its name. Returns false and leaves `kind` unchanged if there is none. */
bool error_kind_from_name(const char *name, enum error_kind *kind);
"""

SOURCE_TAIL = """
const struct error_entry *error_entry_of(enum error_kind kind)
{
    if ((unsigned)kind >= ERROR_KIND_COUNT) {
        return &entries[ERROR_KIND_INTERNAL];
    }
    return &entries[kind];
}

bool error_kind_from_name(const char *name, enum error_kind *kind)
{
    for (size_t i = 0; i < ERROR_KIND_COUNT; i++) {
        if (strcmp(entries[i].name, name) == 0) {
            *kind = entries[i].kind;
            return true;
        }
    }
    return false;
}
"""


def generate(schema, path):
    """Returns the files generated from the schema of errors."""
    check(schema, path)
    kinds = schema["kinds"]
    require(any(kind["name"] == "internal" for kind in kinds), path, "kind 'internal' is missing")
    constants = [f"ERROR_KIND_{kind['name'].upper()}" for kind in kinds] + ["ERROR_KIND_COUNT"]
    body = writer.enum_block("error_kind", "The complete list of error kinds.", constants)
    body += "\n" + writer.enum_block("error_ran", "State of the request after the error.",
                                     [f"ERROR_RAN_{name.upper()}" for name in RAN])
    body += "\n" + writer.enum_block(
        "error_retry", "Whether the same request may be sent again, and with which idempotency key.",
        [f"ERROR_RETRY_{name.upper()}" for name in RETRY])
    header = writer.header("SW_GENERATED_ERRORS_H", path,
                           "The complete list of error kinds, with a table of their properties.",
                           ["<stdbool.h>"], body + HEADER_BODY)
    source = writer.banner(path, "The table of error kinds.")
    source += '#include "generated/errors.h"\n\n#include <stddef.h>\n#include <string.h>\n\n'
    source += "static const struct error_entry entries[ERROR_KIND_COUNT] = {\n"
    for kind in kinds:
        constant = f"ERROR_KIND_{kind['name'].upper()}"
        source += f"    [{constant}] =\n        {{\n"
        source += f"            .kind = {constant},\n"
        source += f"            .name = {writer.string(kind['name'])},\n"
        source += f"            .http_status = {kind['status']},\n"
        source += f"            .ran = ERROR_RAN_{kind['ran'].upper()},\n"
        source += f"            .retry = ERROR_RETRY_{kind['retry'].upper()},\n"
        source += f"            .text = {writer.string(kind['text'])},\n"
        source += "        },\n"
    source += "};\n" + SOURCE_TAIL
    return {"src/generated/errors.h": header, "src/generated/errors.c": source}
