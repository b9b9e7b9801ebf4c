"""Test cases for a schema of messages: for each struct, a function that fills it with random values
within its bounds, and a row in the table used by tests that cover all structs."""

from generator import messages, writer


def random_value(field):
    """An expression for a random value of the field's type; None for a struct."""
    if field.is_struct:
        return None
    if field.is_enum:
        return f"random_below(random, {field.type.upper()}_COUNT)"
    if field.type == "text":
        return f"random_text(random, {field.item_max})"
    return f"random_{field.type}(random)"


def fill_value(field, target, pad):
    """Statements that fill one value."""
    if field.is_struct:
        return f"{pad}{field.type}_randomize(random, &{target});\n"
    if field.type == "bytes":
        return f"{pad}{target} = random_bytes(random, {field.item_max}, &{target}_length);\n"
    return f"{pad}{target} = {random_value(field)};\n"


def fill_field(field):
    """Statements that fill one field."""
    target = f"out->{field.name}"
    pad = "    "
    text = ""
    if field.optional:
        text += f"{pad}out->has_{field.name} = random_bool(random);\n"
        text += f"{pad}if (out->has_{field.name}) {{\n"
        pad += "    "
    if field.is_array:
        text += f"{pad}{target}_count = random_count(random, {field.max});\n"
        text += f"{pad}{target} = g_new0({field.c_type.strip()}, {target}_count);\n"
        text += f"{pad}for (size_t i = 0; i < {target}_count; i++) {{\n"
        text += fill_value(field, f"{target}[i]", pad + "    ")
        text += f"{pad}}}\n"
    else:
        text += fill_value(field, target, pad)
    return text + ("    }\n" if field.optional else "")


def generate(schema, path, include, name):
    """Returns the file tests/generated/`name`.c."""
    _, structs = messages.parse(schema, path)
    text = writer.banner(path, "Random contents of every struct, and the table of structs.")
    text += f'#include "{include}"\n\n#include "struct_case.h"\n\n'
    for struct in structs.values():
        text += f"static void {struct.name}_randomize(GRand *random, void *target)\n{{\n"
        text += f"    struct {struct.name} *out = target;\n    {struct.name}_init(out);\n"
        text += "".join(fill_field(field) for field in struct.fields)
        text += f"}}\n\nSTRUCT_CASE_FUNCTIONS({struct.name})\n\n"
    text += f"const struct struct_case {name}[] = {{\n"
    text += "".join(f"    STRUCT_CASE({struct}),\n" for struct in structs)
    text += f"}};\n\nconst size_t {name}_count = G_N_ELEMENTS({name});\n"
    return {f"tests/generated/{name}.c": text}
