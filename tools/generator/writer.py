"""Building blocks of C source text, formatted as clang-format formats them."""

import textwrap

COLUMNS = 100


def banner(schema_path, purpose):
    """The comment at the head of a generated file."""
    return comment(f"Generated from {schema_path} by tools/generate.py; do not edit. {purpose}")


def comment(text, indent=0):
    """A block comment, filled to the line width."""
    pad = " " * indent
    lines = textwrap.wrap(text, COLUMNS - indent - 6)
    return pad + "/* " + ("\n" + pad + " * ").join(lines) + " */\n"


def signature(head, parameters, tail):
    """A function's head, its parameters broken as clang-format breaks them."""
    whole = f"{head}({', '.join(parameters)}){tail}"
    if len(whole) <= COLUMNS:
        return whole
    lines = [head + "("]
    column = len(head) + 1
    for index, parameter in enumerate(parameters):
        last = index == len(parameters) - 1
        piece = parameter + (")" + tail if last else ",")
        space = "" if lines[-1].endswith("(") else " "
        if space and len(lines[-1]) + 1 + len(piece) > COLUMNS:
            lines.append(" " * column + piece)
        else:
            lines[-1] += space + piece
    return "\n".join(lines)


def header(guard, schema_path, purpose, includes, body):
    """A complete header file."""
    text = banner(schema_path, purpose)
    text += f"#ifndef {guard}\n#define {guard}\n\n"
    text += "".join(f"#include {name}\n" if name else "\n" for name in includes)
    return text + "\n" + body + "\n#endif\n"


def enum_block(name, comment_text, constants):
    """An enum with one constant per line."""
    text = comment(comment_text) if comment_text else ""
    text += f"enum {name} {{\n"
    for constant in constants:
        text += f"    {constant},\n"
    return text + "};\n"


def string(text):
    """A C string literal."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
