"""messages.h and messages.c: structs of the internal protocol and their CBOR codecs."""

from generator import writer
from generator.schema import check_keys, check_name, check_unique, require

SCALARS = {"u32": "uint32_t", "u64": "uint64_t", "i64": "int64_t", "bool": "bool"}
FIELD_ID_MAX = 255
STRUCT_DEPTH_MAX = 10  # two CBOR levels each, below CODEC_DEPTH_MAX


class Field:
    """One field of a struct, with its type parsed."""

    def __init__(self, entry, struct_name, enums, structs, place):
        check_keys(entry, ["id", "name", "type"], ["max", "item_max", "optional", "comment"], place)
        check_name(entry["name"], place)
        self.id = entry["id"]
        self.name = entry["name"]
        self.path = f"{struct_name}.{self.name}"
        self.comment = entry.get("comment")
        self.optional = entry.get("optional", False)
        self.is_array = entry["type"].endswith("[]")
        self.type = entry["type"].removesuffix("[]")
        self.max = entry.get("max")
        self.item_max = entry.get("item_max") if self.is_array else self.max
        self.is_enum = self.type in enums
        self.is_struct = self.type in structs
        self._check(place, enums, structs, "item_max" in entry)

    def _check(self, place, enums, structs, has_item_max):
        id_valid = isinstance(self.id, int) and 1 <= self.id <= FIELD_ID_MAX
        require(id_valid, place, f"id {self.id!r} is not from 1 to {FIELD_ID_MAX}")
        known = [*SCALARS, "text", "bytes", *enums, *structs]
        require(self.type in known, place,
                f"unknown type '{self.type}'; known here are {', '.join(known)} "
                "(a struct must be defined before its use)")
        bounded = self.is_array or self.type in ("text", "bytes")
        require((self.max is not None) == bounded, place,
                "'max' is required for text, bytes and arrays, and allowed only there")
        needs_item_max = self.is_array and self.type in ("text", "bytes")
        require(has_item_max == needs_item_max, place,
                "'item_max' is required for text[] and bytes[], and allowed only there")
        require(not (self.is_array and self.type == "bytes"), place,
                "bytes[] is not supported; use an array of a struct with a bytes field")
        for bound in (self.max, self.item_max):
            valid = bound is None or (isinstance(bound, int) and bound > 0)
            require(valid, place, "a bound must be a positive integer")
        require(isinstance(self.optional, bool), place, "'optional' must be true or false")

    @property
    def c_type(self):
        """The C type of one value, ready to be followed by a name."""
        if self.type in SCALARS:
            return SCALARS[self.type] + " "
        if self.type == "text":
            return "char *"
        if self.type == "bytes":
            return "uint8_t *"
        return f"enum {self.type} " if self.is_enum else f"struct {self.type} "

    def declaration(self):
        """The member lines of this field."""
        lines = [writer.comment(self.comment, 4)] if self.comment else []
        if self.is_array:
            lines.append(f"    {self.c_type}*{self.name};\n")
            lines.append(f"    size_t {self.name}_count;\n")
        else:
            lines.append(f"    {self.c_type}{self.name};\n")
            if self.type == "bytes":
                lines.append(f"    size_t {self.name}_length;\n")
        return "".join(lines)

    def owns_memory(self):
        """Whether the struct's _clear function has to free memory of this field."""
        return self.is_array or self.is_struct or self.type in ("text", "bytes")

    # The functions below return C expressions and statements. `value` is a C expression for one
    # value of the field's type.

    def build(self, value):
        """An expression that builds the CBOR item of one value."""
        if self.is_struct:
            return f"{self.type}_to_cbor(&{value})"
        if self.type == "bool":
            return f"codec_build_bool({value})"
        if self.type == "i64":
            return f"codec_build_i64({value})"
        if self.type == "text":
            return f"codec_build_text({value})"
        if self.type == "bytes":
            return f"codec_build_bytes({value}, {value}_length)"
        return f"codec_build_u64({value})"

    def check(self, value, quoted):
        """An expression that is false if one value exceeds a bound; None if the type has none."""
        if self.is_struct:
            return f"{self.type}_check(&{value}, error)"
        if self.is_enum:
            return f"codec_check_enum({value}, {quoted}, {self.type.upper()}_COUNT, error)"
        if self.type == "text":
            return f"codec_check_text({value}, {quoted}, {self.item_max}, error)"
        if self.type == "bytes":
            return f"codec_check_size({value}_length, {quoted}, {self.item_max}, error)"
        return None

    def present(self):
        """The condition under which the field is encoded; None for always."""
        value = f"from->{self.name}"
        if self.optional:
            return f"from->has_{self.name}"
        if self.is_array:
            return f"{value}_count > 0"
        if self.type == "bytes":
            return f"{value}_length > 0"
        if self.type == "text":
            return f"{value} != NULL && {value}[0] != '\\0'"
        if self.type == "bool":
            return value
        return None if self.is_struct else f"{value} != 0"


class Struct:
    """One struct of the schema."""

    def __init__(self, entry, enums, structs, path):
        place = f"{path}: struct '{entry.get('name')}'"
        check_keys(entry, ["name", "fields"], ["comment"], place)
        check_name(entry["name"], place)
        self.name = entry["name"]
        self.comment = entry.get("comment", "")
        self.fields = []
        for field in entry["fields"]:
            field_place = f"{place}, field '{field.get('name')}'"
            self.fields.append(Field(field, self.name, enums, structs, field_place))
        require(self.fields, place, "no fields")
        check_unique([field.id for field in self.fields], place + ": id")
        check_unique([field.name for field in self.fields], place)
        self.depth = 1 + max([structs[f.type].depth for f in self.fields if f.is_struct], default=0)
        require(self.depth <= STRUCT_DEPTH_MAX, place, "structs are nested too deep")

    def declaration(self):
        """The struct and the functions on it."""
        text = writer.comment(self.comment) if self.comment else ""
        text += f"struct {self.name} {{\n"
        text += "".join(field.declaration() for field in self.fields)
        # The flags are placed together at the end, which needs the least padding.
        text += "".join(f"    bool has_{f.name};\n" for f in self.fields if f.optional)
        text += "};\n\n"
        name = self.name
        text += f"void {name}_init(struct {name} *value);\n"
        text += f"void {name}_clear(struct {name} *value);\n"
        text += self._copy_head(";") + "\n"
        text += self._check_head(";") + "\n"
        text += f"cbor_item_t *{name}_to_cbor(const struct {name} *from);\n"
        text += self._from_head(";") + "\n"
        text += f"GByteArray *{name}_encode(const struct {name} *from);\n"
        text += self._decode_head(";") + "\n"
        return text

    def _copy_head(self, tail):
        return writer.signature(f"void {self.name}_copy",
                                [f"struct {self.name} *to", f"const struct {self.name} *from"], tail)

    def _check_head(self, tail):
        return writer.signature(f"bool {self.name}_check",
                                [f"const struct {self.name} *value", "GError **error"], tail)

    def _from_head(self, tail):
        return writer.signature(f"bool {self.name}_from_cbor",
                                ["const cbor_item_t *item", f"struct {self.name} *out",
                                 "GError **error"], tail)

    def _decode_head(self, tail):
        return writer.signature(f"bool {self.name}_decode",
                                ["const uint8_t *data", "size_t length",
                                 f"struct {self.name} *out", "GError **error"], tail)

    def definition(self):
        """The functions on the struct."""
        parts = [self._init(), self._clear(), self._copy(), self._check()]
        parts += [self._build_array(field) for field in self.fields if field.is_array]
        parts.append(self._to_cbor())
        parts += [self._read_array(field) for field in self.fields if field.is_array]
        parts += [self._read_optional(field) for field in self.fields if field.optional]
        parts += [self._read_field(), self._from_cbor(), self._encode(), self._decode()]
        return "\n".join(parts)

    def _init(self):
        name = self.name
        return (f"void {name}_init(struct {name} *value)\n{{\n"
                f"    memset(value, 0, sizeof(*value));\n}}\n")

    def _clear(self):
        name = self.name
        text = f"void {name}_clear(struct {name} *value)\n{{\n"
        for field in self.fields:
            if field.is_array and (field.is_struct or field.type == "text"):
                text += f"    for (size_t i = 0; i < value->{field.name}_count; i++) {{\n"
                if field.is_struct:
                    text += f"        {field.type}_clear(&value->{field.name}[i]);\n"
                else:
                    text += f"        g_free(value->{field.name}[i]);\n"
                text += "    }\n"
            if field.is_array or field.type in ("text", "bytes"):
                text += f"    g_free(value->{field.name});\n"
            elif field.is_struct:
                text += f"    {field.type}_clear(&value->{field.name});\n"
        return text + f"    {name}_init(value);\n}}\n"

    def _copy(self):
        text = self._copy_head("") + "\n{\n    *to = *from;\n"
        for field in self.fields:
            name = field.name
            if field.is_array:
                text += f"    to->{name} = g_memdup2(from->{name}, "
                text += f"from->{name}_count * sizeof(*from->{name}));\n"
                if field.is_struct or field.type == "text":
                    text += f"    for (size_t i = 0; i < from->{name}_count; i++) {{\n"
                    if field.is_struct:
                        text += f"        {field.type}_copy(&to->{name}[i], &from->{name}[i]);\n"
                    else:
                        text += f"        to->{name}[i] = g_strdup(from->{name}[i]);\n"
                    text += "    }\n"
            elif field.is_struct:
                text += f"    {field.type}_copy(&to->{name}, &from->{name});\n"
            elif field.type == "text":
                text += f"    to->{name} = g_strdup(from->{name});\n"
            elif field.type == "bytes":
                text += f"    to->{name} = g_memdup2(from->{name}, from->{name}_length);\n"
        return text + "}\n"

    def _check(self):
        text = self._check_head("") + "\n{\n"
        for field in self.fields:
            value = f"value->{field.name}"
            quoted = writer.string(field.path)
            if field.is_array:
                text += f"    if (!codec_check_size({value}_count, {quoted}, {field.max}, error)) {{\n"
                text += "        return false;\n    }\n"
                check = field.check(f"{value}[i]", quoted)
                if check:
                    text += f"    for (size_t i = 0; i < {value}_count; i++) {{\n"
                    text += f"        if (!{check}) {{\n            return false;\n        }}\n    }}\n"
            elif field.check(value, quoted):
                text += f"    if (!{field.check(value, quoted)}) {{\n        return false;\n    }}\n"
        return text + "    return true;\n}\n"

    def _build_array(self, field):
        head = writer.signature(f"static cbor_item_t *{self.name}_build_{field.name}",
                                [f"const struct {self.name} *from"], "")
        return (f"{head}\n{{\n"
                f"    cbor_item_t *array = codec_build_array(from->{field.name}_count);\n"
                f"    for (size_t i = 0; i < from->{field.name}_count; i++) {{\n"
                f"        codec_array_add(array, {field.build(f'from->{field.name}[i]')});\n"
                f"    }}\n    return array;\n}}\n")

    def _to_cbor(self):
        name = self.name
        text = f"cbor_item_t *{name}_to_cbor(const struct {name} *from)\n{{\n"
        text += f"    cbor_item_t *map = codec_build_map({len(self.fields)});\n"
        for field in self.fields:
            value = field.build(f"from->{field.name}")
            if field.is_array:
                value = f"{name}_build_{field.name}(from)"
            add = f"codec_map_add(map, {field.id}, {value});\n"
            if field.present() is None:
                text += f"    {add}"
            else:
                text += f"    if ({field.present()}) {{\n        {add}    }}\n"
        return text + "    return map;\n}\n"

    def _read_call(self, field, item, target, quoted):
        """An expression that reads one value; false on failure."""
        if field.is_struct:
            return f"{field.type}_from_cbor({item}, &{target}, error)"
        if field.type == "text":
            return f"codec_read_text({item}, {quoted}, {field.item_max}, &{target}, error)"
        if field.type == "bytes":
            return (f"codec_read_bytes({item}, {quoted}, {field.item_max}, &{target}, "
                    f"&{target}_length, error)")
        if field.is_enum:
            return (f"codec_read_enum({item}, {quoted}, {field.type.upper()}_COUNT, "
                    f"(unsigned *)&{target}, error)")
        return f"codec_read_{field.type}({item}, {quoted}, &{target}, error)"

    def _reader_head(self, name):
        return writer.signature(f"static bool {self.name}_read_{name}",
                                ["const cbor_item_t *item", f"struct {self.name} *out",
                                 "GError **error"], "")

    def _read_array(self, field):
        quoted = writer.string(field.path)
        target = f"out->{field.name}"
        element = self._read_call(field, "codec_array_item(item, i)", f"{target}[i]", quoted)
        return (f"{self._reader_head(field.name)}\n{{\n"
                f"    size_t count = 0;\n"
                f"    if (!codec_read_array(item, {quoted}, {field.max}, &count, error)) {{\n"
                f"        return false;\n    }}\n"
                f"    {target} = g_new0({field.c_type.strip()}, count);\n"
                f"    {target}_count = count;\n"
                f"    for (size_t i = 0; i < count; i++) {{\n"
                f"        if (!{element}) {{\n"
                f"            return false;\n        }}\n    }}\n    return true;\n}}\n")

    def _read_optional(self, field):
        read = f"{self.name}_read_{field.name}(item, out, error)"
        if not field.is_array:
            read = self._read_call(field, "item", f"out->{field.name}", writer.string(field.path))
        return (f"{self._reader_head('optional_' + field.name)}\n{{\n"
                f"    out->has_{field.name} = true;\n    return {read};\n}}\n")

    def _read_field(self):
        head = writer.signature(f"static bool {self.name}_read_field",
                                ["unsigned id", "const cbor_item_t *value", "void *target",
                                 "GError **error"], "")
        text = f"{head}\n{{\n    struct {self.name} *out = target;\n    switch (id) {{\n"
        for field in self.fields:
            if field.optional:
                call = f"{self.name}_read_optional_{field.name}(value, out, error)"
            elif field.is_array:
                call = f"{self.name}_read_{field.name}(value, out, error)"
            else:
                call = self._read_call(field, "value", f"out->{field.name}",
                                       writer.string(field.path))
            text += f"    case {field.id}:\n        return {call};\n"
        return text + "    default:\n        return true;\n    }\n}\n"

    def _from_cbor(self):
        name = self.name
        return (f"{self._from_head('')}\n{{\n    {name}_init(out);\n"
                f"    if (!codec_read_map(item, {writer.string(name)}, {name}_read_field, out, error)) {{\n"
                f"        {name}_clear(out);\n        return false;\n    }}\n    return true;\n}}\n")

    def _encode(self):
        name = self.name
        return (f"GByteArray *{name}_encode(const struct {name} *from)\n{{\n"
                f"    return codec_serialize({name}_to_cbor(from));\n}}\n")

    def _decode(self):
        name = self.name
        return (f"{self._decode_head('')}\n{{\n    {name}_init(out);\n"
                f"    cbor_item_t *item = codec_load(data, length, error);\n"
                f"    if (item == NULL) {{\n        return false;\n    }}\n"
                f"    bool valid = {name}_from_cbor(item, out, error);\n"
                f"    cbor_decref(&item);\n    return valid;\n}}\n")


def check_enums(schema, path):
    """Checks the enums; returns them as a dict from name to entry."""
    enums = {}
    for index, entry in enumerate(schema["enums"]):
        place = f"{path}: enum {entry.get('name', index)!r}"
        check_keys(entry, ["name", "values"], ["comment"], place)
        check_name(entry["name"], place)
        require(entry["name"] not in enums, place, "duplicate name")
        require(entry["values"], place, "no values")
        for value in entry["values"]:
            # A value is only a part of a constant's name, so it may be a C keyword.
            check_name(value + "_", place)
        check_unique([*entry["values"], "count"], place)
        enums[entry["name"]] = entry
    return enums


def check_messages(schema, structs, path):
    """Checks the list of top-level messages."""
    for index, entry in enumerate(schema["messages"]):
        place = f"{path}: message {entry.get('name', index)!r}"
        check_keys(entry, ["id", "name", "struct"], ["comment"], place)
        check_name(entry["name"], place)
        valid = isinstance(entry["id"], int) and entry["id"] > 0
        require(valid, place, f"id {entry['id']!r} is not a positive integer")
        require(entry["struct"] in structs, place, f"unknown struct '{entry['struct']}'")
    check_unique([entry["id"] for entry in schema["messages"]], f"{path}: messages: id")
    check_unique([entry["name"] for entry in schema["messages"]], f"{path}: messages")


def enum_name_function(name, entry):
    """The function from an enum's value to its name."""
    text = f"const char *{name}_name(enum {name} value)\n{{\n"
    text += f"    static const char *const names[{name.upper()}_COUNT] = {{\n"
    for value in entry["values"]:
        text += f"        [{name.upper()}_{value.upper()}] = {writer.string(value)},\n"
    text += "    };\n"
    text += f'    return (unsigned)value < {name.upper()}_COUNT ? names[value] : "invalid";\n'
    return text + "}\n"


MESSAGE_DECLARATIONS = """
/* Returns the name of a message kind; "invalid" for an unknown value. */
const char *message_kind_name(enum message_kind kind);

/* Makes an empty message of one kind. Does not free the previous content. */
void message_init(struct message *message, enum message_kind kind);

/* Frees the content and sets the kind to MESSAGE_KIND_NONE. */
void message_clear(struct message *message);

/* Checks the content against the bounds that the decoder enforces. Returns false and sets `error`
 * if one is exceeded. */
bool message_check(const struct message *message, GError **error);

/* Encodes as the CBOR array [kind, body]. The caller owns the result. */
GByteArray *message_encode(const struct message *message);

/* Decodes one message that fills `data` exactly. `out` is overwritten; on failure it is empty. */
bool message_decode(const uint8_t *data, size_t length, struct message *out, GError **error);
"""


def message_declaration(entries):
    """The declaration of the union of all messages."""
    constants = [f"MESSAGE_KIND_{e['name'].upper()} = {e['id']}" for e in entries]
    text = writer.enum_block("message_kind", "Kind of message in a frame or datagram.",
                             ["MESSAGE_KIND_NONE = 0"] + constants)
    text += "\n/* One message of any kind. It owns its content. */\nstruct message {\n"
    text += "    enum message_kind kind;\n    union {\n"
    text += "".join(f"        struct {e['struct']} {e['name']};\n" for e in entries)
    return text + "    };\n};\n" + MESSAGE_DECLARATIONS


def message_switch(entries, statement, default):
    """A switch over the kinds; `statement` returns the statements of one case."""
    text = ""
    for entry in entries:
        text += f"    case MESSAGE_KIND_{entry['name'].upper()}:\n"
        text += "".join(f"        {line}\n" for line in statement(entry))
    return text + "    default:\n" + "".join(f"        {line}\n" for line in default) + "    }\n"


def message_definition(entries):
    """The functions on the union."""
    text = "const char *message_kind_name(enum message_kind kind)\n{\n    switch (kind) {\n"
    text += message_switch(entries, lambda e: [f"return {writer.string(e['name'])};"],
                           ['return "invalid";'])
    text += "}\n\nvoid message_init(struct message *message, enum message_kind kind)\n{\n"
    text += "    memset(message, 0, sizeof(*message));\n    message->kind = kind;\n}\n\n"
    text += "void message_clear(struct message *message)\n{\n    switch (message->kind) {\n"
    text += message_switch(entries,
                           lambda e: [f"{e['struct']}_clear(&message->{e['name']});", "break;"],
                           ["break;"])
    text += "    message_init(message, MESSAGE_KIND_NONE);\n}\n\n"
    text += "bool message_check(const struct message *message, GError **error)\n{\n"
    text += "    switch (message->kind) {\n"
    text += message_switch(entries,
                           lambda e: [f"return {e['struct']}_check(&message->{e['name']}, error);"],
                           ['codec_set_error(error, "message", "not a known kind");',
                            "return false;"])
    text += "}\n\n"
    text += "static cbor_item_t *message_build_body(const struct message *message)\n{\n"
    text += "    switch (message->kind) {\n"
    text += message_switch(entries,
                           lambda e: [f"return {e['struct']}_to_cbor(&message->{e['name']});"],
                           ['g_error("message: encoding of a message of no kind");'])
    text += "}\n\nGByteArray *message_encode(const struct message *message)\n{\n"
    text += "    cbor_item_t *array = codec_build_array(2);\n"
    text += "    codec_array_add(array, codec_build_u64(message->kind));\n"
    text += "    codec_array_add(array, message_build_body(message));\n"
    text += "    return codec_serialize(array);\n}\n\n"
    text += writer.signature("static bool message_read_body",
                             ["uint64_t kind", "const cbor_item_t *body", "struct message *out",
                              "GError **error"], "") + "\n{\n    switch (kind) {\n"
    text += message_switch(
        entries,
        lambda e: [f"out->kind = MESSAGE_KIND_{e['name'].upper()};",
                   f"return {e['struct']}_from_cbor(body, &out->{e['name']}, error);"],
        ['codec_set_error(error, "message", "not a known kind");', "return false;"])
    text += "}\n\n"
    text += writer.signature("static bool message_from_cbor",
                             ["const cbor_item_t *item", "struct message *out", "GError **error"],
                             "") + "\n{\n"
    text += """    size_t count = 0;
    if (!codec_read_array(item, "message", 2, &count, error)) {
        return false;
    }
    if (count != 2) {
        codec_set_error(error, "message", "not a pair of kind and body");
        return false;
    }
    uint64_t kind = 0;
    if (!codec_read_u64(codec_array_item(item, 0), "message.kind", &kind, error)) {
        return false;
    }
    return message_read_body(kind, codec_array_item(item, 1), out, error);
}

bool message_decode(const uint8_t *data, size_t length, struct message *out, GError **error)
{
    message_init(out, MESSAGE_KIND_NONE);
    cbor_item_t *item = codec_load(data, length, error);
    if (item == NULL) {
        return false;
    }
    bool valid = message_from_cbor(item, out, error);
    cbor_decref(&item);
    if (!valid) {
        message_init(out, MESSAGE_KIND_NONE);
    }
    return valid;
}
"""
    return text


PURPOSE = """Messages between the system's own processes and their CBOR codecs. For each struct T: \
T_init makes it empty. T_clear frees its content and leaves it empty. T_copy overwrites `to` with a \
deep copy and frees nothing first. T_check returns whether the decoder would accept the content. \
T_to_cbor and T_encode return an item or array that the caller owns. \
T_from_cbor and T_decode overwrite `out`; on failure they leave it empty and set SW_ERROR, code \
ERROR_KIND_BAD_REQUEST, with a text that names the field. A struct owns all memory that it points \
to, allocated by g_malloc; a NULL text is the empty text. On the wire a struct is a map from field \
id to value, without fields of zero value. The decoder and T_check enforce the bounds. There is no \
shared state: any thread may use a struct that no other thread changes."""


def parse(schema, path):
    """Checks the schema; returns its enums and its structs, dicts by name."""
    check_keys(schema, ["enums", "structs", "messages"], ["comment"], path)
    enums = check_enums(schema, path)
    structs = {}
    for entry in schema["structs"]:
        struct = Struct(entry, enums, structs, path)
        require(struct.name not in structs and struct.name not in enums and struct.name != "message",
                f"{path}: struct '{struct.name}'", "duplicate name")
        structs[struct.name] = struct
    check_messages(schema, structs, path)
    return enums, structs


def generate(schema, path, base="src/generated/messages"):
    """Returns the files generated from a schema of messages: `base`.h and .c."""
    enums, structs = parse(schema, path)
    include = base.removeprefix("src/").removeprefix("tests/generated/")
    body = ""
    for name, entry in enums.items():
        constants = [f"{name.upper()}_{value.upper()}" for value in entry["values"]]
        body += writer.enum_block(name, entry.get("comment"), constants + [f"{name.upper()}_COUNT"])
        body += f"\nconst char *{name}_name(enum {name} value);\n\n"
    body += "\n".join(struct.declaration() for struct in structs.values())
    if schema["messages"]:
        body += "\n" + message_declaration(schema["messages"])
    guard = "SW_" + include.replace("/", "_").upper() + "_H"
    header = writer.header(guard, path, PURPOSE,
                           ["<cbor.h>", "<glib.h>", "<stdbool.h>", "<stddef.h>", "<stdint.h>"], body)
    parts = [enum_name_function(name, entry) for name, entry in enums.items()]
    parts += [struct.definition() for struct in structs.values()]
    if schema["messages"]:
        parts.append(message_definition(schema["messages"]))
    source = writer.banner(path, "Codecs of the messages.")
    source += f'#include "{include}.h"\n\n#include "wire/codec.h"\n\n#include <string.h>\n\n'
    source += "\n".join(parts)
    return {f"{base}.h": header, f"{base}.c": source}
