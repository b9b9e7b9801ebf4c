"""settings.h, settings.c and docs/settings.md, or the same for another struct of settings: the code
that reads the settings and their reference page."""

import re

from generator import writer
from generator.schema import check_keys, check_name, check_unique, require

U32_MAX = 2**32 - 1
UNITS = {"KiB": 2**10, "MiB": 2**20, "GiB": 2**30}

# Type in the schema -> (enum setting_type, C declaration of the member).
TYPES = {
    "u32": ("U32", "uint32_t "),
    "duration_ms": ("U32", "uint32_t "),
    "size": ("SIZE", "uint64_t "),
    "decimal": ("DECIMAL", "double "),
    "bool": ("BOOL", "bool "),
    "text": ("TEXT", "char *"),
    "choice": ("CHOICE", None),
    "address": ("ADDRESS", "char *"),
    "address_list": ("ADDRESS_LIST", "struct address_list "),
}
NUMBERS = ("u32", "duration_ms", "size")
BOUNDED = (*NUMBERS, "text", "address_list")


class Setting:
    """One setting of the schema."""

    def __init__(self, entry, index, path):
        self.place = f"{path}: setting {entry.get('name', index)!r}"
        check_keys(entry, ["name", "type", "comment"],
                   ["unit", "default", "min", "max", "required", "values", "at_most"], self.place)
        parts = str(entry["name"]).split(".")
        require(len(parts) == 2, self.place, "the name must be group.key")
        self.group, self.key = parts
        for part in parts:
            check_name(part, self.place)
        self.name = entry["name"]
        self.type = entry["type"]
        require(self.type in TYPES, self.place,
                f"unknown type '{self.type}'; known are {', '.join(TYPES)}")
        self.comment = entry["comment"]
        self.unit = {"duration_ms": "ms", "size": "octets"}.get(self.type, entry.get("unit"))
        self.required = entry.get("required", False)
        self.values = entry.get("values", [])
        self.at_most = entry.get("at_most")
        self.min = entry.get("min", 0)
        self.max = entry.get("max", 0)
        self.default = self._default_text(entry)
        self._check(entry)

    def _default_text(self, entry):
        if self.required:
            require("default" not in entry, self.place, "a required setting has no default")
            return ""
        require("default" in entry, self.place, "'default' is missing")
        default = entry["default"]
        if isinstance(default, bool):
            return "true" if default else "false"
        return str(default)

    def _check(self, entry):
        require(("max" in entry) == (self.type in BOUNDED), self.place,
                f"'max' is required for {', '.join(BOUNDED)}, and allowed only there")
        require((self.type in NUMBERS) == ("min" in entry) or self.type in BOUNDED, self.place,
                f"'min' is required for {', '.join(NUMBERS)}, and allowed only there")
        require(self.min <= self.max, self.place, "'min' is greater than 'max'")
        require(self.type not in ("u32", "duration_ms") or self.max <= U32_MAX, self.place,
                "'max' does not fit into 32 bits")
        require((self.type == "choice") == bool(self.values), self.place,
                "'values' is required for choice, and allowed only there")
        require(not self.required or self.type == "text", self.place,
                "'required' is allowed only for text")
        require(self.type != "duration_ms" or self.key.endswith("_ms"), self.place,
                "the name of a duration must end in _ms")
        if self.type in NUMBERS:
            number = self._number(self.default)
            require(number is not None and self.min <= number <= self.max, self.place,
                    f"the default {self.default} is not from {self.min} to {self.max}")
        if self.type == "choice":
            require(self.default in self.values, self.place, "the default is not in 'values'")
        if self.type == "bool":
            require(self.default in ("true", "false"), self.place, "the default is not a boolean")

    def _number(self, text):
        unit = 1
        for suffix, factor in UNITS.items():
            if self.type == "size" and text.endswith(suffix):
                text = text.removesuffix(suffix)
                unit = factor
        return int(text) * unit if text.isdecimal() else None

    @property
    def enum_name(self):
        """The name of a choice's enum."""
        return f"{self.group}_{self.key}"

    def member(self):
        """The declaration of the value."""
        c_type = f"enum {self.enum_name} " if self.type == "choice" else TYPES[self.type][1]
        return f"{c_type}{self.key};"

    def choices(self):
        """The enum of a choice."""
        prefix = self.enum_name.upper()
        constants = [f"{prefix}_{value.upper()}" for value in self.values]
        return writer.enum_block(self.enum_name, f"Values of {self.name}.", constants)

    def table_entry(self):
        """The row in the table of settings."""
        lines = [f".name = {writer.string(self.name)},",
                 f".type = SETTING_TYPE_{TYPES[self.type][0]},"]
        if self.unit:
            lines.append(f".unit = {writer.string(self.unit)},")
        lines.append(f".default_text = {writer.string(self.default)},")
        if self.type in BOUNDED:
            lines.append(f".min = {self.min},")
            lines.append(f".max = {self.max},")
        if self.required:
            lines.append(".required = true,")
        if self.values:
            lines.append(f".choices = {self.enum_name}_choices,")
        if self.at_most:
            lines.append(f".at_most = {writer.string(self.at_most)},")
        lines.append(f".offset = offsetof(struct settings, {self.name}),")
        return "    {\n" + "".join(f"        {line}\n" for line in lines) + "    },\n"

    def allowed(self):
        """The allowed values, as shown on the reference page."""
        if self.type in NUMBERS:
            text = f"{self.min} to {self.max}"
            return text + (f", at most `{self.at_most}`" if self.at_most else "")
        if self.type == "choice":
            return ", ".join(f"`{value}`" for value in self.values)
        if self.type == "text":
            return f"up to {self.max} bytes" + (", required" if self.required else "")
        if self.type == "address_list":
            return f"up to {self.max} of `IP:port`, separated by commas"
        return {"address": "`IP:port`", "bool": "`true`, `false`",
                "decimal": "a number of 0 or more"}[self.type]


def check_at_most(settings, path):
    """Rejects an 'at_most' that does not name a number setting."""
    numbers = [s.name for s in settings if s.type in ("u32", "duration_ms")]
    for setting in settings:
        if setting.at_most:
            valid = setting.at_most in numbers and setting.name in numbers
            require(valid, setting.place, "'at_most' is allowed only for a number and must name another")
    check_unique([s.name for s in settings], f"{path}: settings")


def group_names(settings):
    """The groups in the order of the schema."""
    return list(dict.fromkeys(setting.group for setting in settings))


DECLARATIONS = """
/* Sets the defaults. Does not free the previous content. */
void settings_defaults(struct settings *settings);

/* Frees the content. */
void settings_clear(struct settings *settings);

/* Sets the defaults, then reads a key file (NULL for none), then overrides "group.key=value" (NULL
 * or a NULL-terminated list). The caller clears `out`, also on failure. On failure sets SW_ERROR,
 * ERROR_KIND_INVALID_CONFIGURATION, with one line for each fault. */
bool settings_read(struct settings *out, const char *file, const char *const *overrides,
                   GError **error);

/* As settings_read, but reads the key file's content from `text`. `file` is the file name used in
 * errors. */
bool settings_read_text(struct settings *out, const char *file, const char *text,
                        const char *const *overrides, GError **error);

/* Returns one line per setting with its name, value, unit and source. The caller frees the text by
 * g_free. */
char *settings_print(const struct settings *settings);
"""

DEFINITIONS = """
static const struct setting_table table = {entries, SETTINGS_COUNT};

void settings_defaults(struct settings *settings)
{
    setting_table_defaults(&table, settings, settings->sources);
}

void settings_clear(struct settings *settings)
{
    setting_table_clear(&table, settings);
}

bool settings_read_text(struct settings *out, const char *file, const char *text,
                        const char *const *overrides, GError **error)
{
    settings_defaults(out);
    return setting_table_read(&table, out, out->sources, file, text, overrides, error);
}

bool settings_read(struct settings *out, const char *file, const char *const *overrides,
                   GError **error)
{
    return settings_read_text(out, file, NULL, overrides, error);
}

char *settings_print(const struct settings *settings)
{
    return setting_table_print(&table, settings, settings->sources);
}
"""


def make_header(settings, path):
    """The text of settings.h."""
    body = "\n".join(s.choices() for s in settings if s.values)
    body += f"\n#define SETTINGS_COUNT {len(settings)}\n\n"
    body += "/* All settings of the daemon. Read once at start, then shared read-only by all threads. */\n"
    body += "struct settings {\n"
    for group in group_names(settings):
        body += "    struct {\n"
        for setting in settings:
            if setting.group == group:
                body += writer.comment(setting.comment, 8) + f"        {setting.member()}\n"
        body += f"    }} {group};\n"
    body += "    /* In the schema's order. */\n    enum setting_source sources[SETTINGS_COUNT];\n};\n"
    return writer.header("SW_GENERATED_SETTINGS_H", path, "The daemon's settings.",
                         ['"settings/setting_table.h"', "", "<glib.h>", "<stdbool.h>", "<stdint.h>"],
                         body + DECLARATIONS)


def make_source(settings, path):
    """The text of settings.c."""
    text = writer.banner(path, "The table of settings.")
    text += '#include "generated/settings.h"\n\n#include <stddef.h>\n\n'
    for setting in settings:
        if setting.values:
            values = ", ".join(writer.string(value) for value in setting.values)
            text += f"static const char *const {setting.enum_name}_choices[] = {{{values}, NULL}};\n"
    text += "\nstatic const struct setting_entry entries[SETTINGS_COUNT] = {\n"
    return text + "".join(s.table_entry() for s in settings) + "};\n" + DEFINITIONS


def make_page(settings, path):
    """The text of docs/settings.md."""
    text = f"<!-- Generated from {path} by tools/generate.py; do not edit. -->\n\n# Settings\n\n"
    text += ("The daemon reads its settings from a key file (`--settings FILE`), with a group in "
             "brackets and `key = value` lines, and from `--set group.key=value`, which overrides "
             "the file. An unknown key is refused; all faults are reported at once. In the file `\\` "
             "starts an escape (`\\\\` for itself), and a line that starts with `#` is a comment. "
             "Sizes take `KiB`, `MiB` or `GiB`.\n")
    for group in group_names(settings):
        text += f"\n## [{group}]\n\n| Setting | Type | Unit | Default | Allowed | Meaning |\n"
        text += "|---|---|---|---|---|---|\n"
        for s in settings:
            if s.group == group:
                default = f"`{s.default}`" if s.default else "none"
                text += (f"| `{s.name}` | {s.type} | {s.unit or ''} | {default} | {s.allowed()} "
                         f"| {s.comment} |\n")
    return text


def rename(text, struct):
    """Replaces the names of struct settings, its file and its guard by those of another struct."""
    text = re.sub(r"\bsettings_(defaults|clear|read_text|read|print)\b", struct + r"_\1", text)
    text = re.sub(r"\bstruct settings\b", f"struct {struct}", text)
    text = text.replace("SETTINGS_COUNT", f"{struct.upper()}_COUNT")
    text = text.replace("SW_GENERATED_SETTINGS_H", f"SW_GENERATED_{struct.upper()}_H")
    return text.replace("generated/settings.h", f"generated/{struct}.h")


def generate(schema, path):
    """Returns the files generated from a schema of settings."""
    check_keys(schema, ["settings"], ["comment", "struct"], path)
    struct = schema.get("struct", "settings")
    settings = [Setting(entry, i, path) for i, entry in enumerate(schema["settings"])]
    check_at_most(settings, path)
    return {
        f"src/generated/{struct}.h": rename(make_header(settings, path), struct),
        f"src/generated/{struct}.c": rename(make_source(settings, path), struct),
        f"docs/{struct.replace('_', '-')}.md": make_page(settings, path),
    }
