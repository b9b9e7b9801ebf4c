/* Parses as much of a statement's text as its dispatch needs. See statement.h. */
#include "statement.h"

#include <stdlib.h>
#include <string.h>

/* Returns the position after the quoted text, comment or single character at `at`. */
static const char *skip_element(const char *at)
{
    if (*at == '\'' || *at == '"') {
        const char *end = strchr(at + 1, *at);
        return end != NULL ? end + 1 : at + strlen(at);
    }
    if (g_str_has_prefix(at, "--")) {
        const char *end = strchr(at, '\n');
        return end != NULL ? end + 1 : at + strlen(at);
    }
    if (g_str_has_prefix(at, "/*")) {
        const char *end = strstr(at + 2, "*/");
        return end != NULL ? end + 2 : at + strlen(at);
    }
    return at + 1;
}

static bool is_word(char character)
{
    return g_ascii_isalnum(character) || character == '_';
}

static guint oid_of_type(const char *name, size_t length)
{
    static const struct {
        const char *name;
        guint oid;
    } TYPES[] = {
        {"bigint", OID_INT8},   {"int8", OID_INT8},     {"integer", OID_INT4},
        {"int4", OID_INT4},     {"int", OID_INT4},      {"int2", OID_INT2},
        {"smallint", OID_INT2}, {"bool", OID_BOOL},     {"boolean", OID_BOOL},
        {"float8", OID_FLOAT8}, {"double", OID_FLOAT8}, {"float4", OID_FLOAT4},
        {"real", OID_FLOAT4},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(TYPES); i++) {
        if (strlen(TYPES[i].name) == length &&
            g_ascii_strncasecmp(TYPES[i].name, name, length) == 0) {
            return TYPES[i].oid;
        }
    }
    return OID_TEXT;
}

/* If a parameter such as $3 ends right before `end`, records the type that its cast names. */
static void record_parameter_type(struct statement *statement, const char *end, guint oid)
{
    const char *digit = end;
    while (digit > statement->sql && g_ascii_isdigit(digit[-1])) {
        digit--;
    }
    if (digit == end || digit == statement->sql || digit[-1] != '$') {
        return;
    }
    guint number = (guint)strtoul(digit, NULL, 10);
    if (number == 0 || number > G_MAXUINT16) {
        return;
    }
    if (statement->parameter_oids->len < number) {
        g_array_set_size(statement->parameter_oids, number);
    }
    g_array_index(statement->parameter_oids, guint, number - 1) = oid;
}

/* Replaces the cast "::type" or "::type(n)" at `at` with blanks. Returns the position after it. */
static char *blank_cast(struct statement *statement, char *at)
{
    char *type = at + 2;
    while (g_ascii_isspace(*type)) {
        type++;
    }
    char *end = type;
    while (is_word(*end)) {
        end++;
    }
    record_parameter_type(statement, at, oid_of_type(type, (size_t)(end - type)));
    if (strncmp(end, "[]", 2) == 0) {
        end += 2;
    }
    memset(at, ' ', (size_t)(end - at));
    return end;
}

/* Length of the row lock clause at `at`, or 0. */
static size_t row_lock_length(const char *at)
{
    static const char *const LOCKS[] = {"FOR UPDATE", "FOR NO KEY UPDATE", "FOR SHARE"};
    for (size_t i = 0; i < G_N_ELEMENTS(LOCKS); i++) {
        size_t length = strlen(LOCKS[i]);
        if (g_ascii_strncasecmp(at, LOCKS[i], length) == 0 && !is_word(at[length])) {
            return length;
        }
    }
    return 0;
}

static void blank_dialect(struct statement *statement)
{
    char *at = statement->sql;
    while (*at != '\0') {
        if (g_str_has_prefix(at, "::")) {
            at = blank_cast(statement, at);
            continue;
        }
        bool starts_word = at > statement->sql && !is_word(at[-1]);
        size_t lock = starts_word ? row_lock_length(at) : 0;
        if (lock > 0) {
            memset(at, ' ', lock);
            statement->locks_rows = true;
        }
        at = (char *)skip_element(at);
    }
}

/* The first words of the statement outside quotes and comments, in upper case; at most `limit`. */
static GPtrArray *leading_words(const char *sql, guint limit)
{
    GPtrArray *words = g_ptr_array_new_with_free_func(g_free);
    const char *at = sql;
    while (*at != '\0' && words->len < limit) {
        if (!g_ascii_isalpha(*at)) {
            at = skip_element(at);
            continue;
        }
        const char *end = at;
        while (is_word(*end)) {
            end++;
        }
        g_ptr_array_add(words, g_ascii_strup(at, end - at));
        at = end;
    }
    return words;
}

static const char *word_at(const GPtrArray *words, guint index)
{
    return index < words->len ? g_ptr_array_index(words, index) : "";
}

static bool has_word(const GPtrArray *words, const char *word)
{
    return g_ptr_array_find_with_equal_func((GPtrArray *)words, word, g_str_equal, NULL);
}

static char *command_tag(const GPtrArray *words)
{
    const char *first = word_at(words, 0);
    bool defines =
        g_str_equal(first, "CREATE") || g_str_equal(first, "DROP") || g_str_equal(first, "ALTER");
    if (defines) {
        bool unique = g_str_equal(word_at(words, 1), "UNIQUE");
        return g_strdup_printf("%s %s", first, word_at(words, unique ? 2 : 1));
    }
    if (!g_str_equal(first, "WITH")) {
        return g_strdup(g_str_equal(first, "VALUES") ? "SELECT" : first);
    }
    static const char *const WRITES[] = {"INSERT", "UPDATE", "DELETE"};
    for (size_t i = 0; i < G_N_ELEMENTS(WRITES); i++) {
        if (has_word(words, WRITES[i])) {
            return g_strdup(WRITES[i]);
        }
    }
    return g_strdup("SELECT");
}

/* True if the text is "SELECT" followed by a call of a name that matches `pattern`. */
static bool is_call(const char *sql, const char *pattern)
{
    g_autofree char *whole = g_strdup_printf("^\\s*select\\s*%s\\s*\\(", pattern);
    return g_regex_match_simple(whole, sql, G_REGEX_CASELESS, 0);
}

/* Compares words before it uses a regular expression, because most statements are no such call. */
static bool is_control(const GPtrArray *words, const char *sql)
{
    if (!g_str_equal(word_at(words, 0), "SELECT")) {
        return false;
    }
    if (g_str_has_prefix(word_at(words, 1), "SWIFTWORKS_")) {
        return is_call(sql, "swiftworks_\\w+");
    }
    return g_str_equal(word_at(words, 1), "FROM") &&
           g_str_has_prefix(word_at(words, 2), "SWIFTWORKS_") &&
           is_call(sql, "\\*\\s*from\\s+swiftworks_\\w+");
}

static bool is_advisory(const GPtrArray *words, const char *sql)
{
    const char *name = word_at(words, 1);
    bool named =
        g_str_equal(name, "PG_TRY_ADVISORY_LOCK") || g_str_equal(name, "PG_ADVISORY_UNLOCK");
    return named && g_str_equal(word_at(words, 0), "SELECT") && is_call(sql, "\\w+");
}

static enum statement_command command_of(const GPtrArray *words, const char *sql)
{
    static const struct {
        const char *word;
        enum statement_command command;
    } COMMANDS[] = {
        {"BEGIN", STATEMENT_BEGIN},       {"START", STATEMENT_BEGIN},
        {"COMMIT", STATEMENT_COMMIT},     {"END", STATEMENT_COMMIT},
        {"ROLLBACK", STATEMENT_ROLLBACK}, {"ABORT", STATEMENT_ROLLBACK},
        {"SET", STATEMENT_SET},           {"RESET", STATEMENT_SET},
        {"DISCARD", STATEMENT_SET},       {"DEALLOCATE", STATEMENT_SET},
        {"PRAGMA", STATEMENT_REFUSED},    {"ATTACH", STATEMENT_REFUSED},
        {"DETACH", STATEMENT_REFUSED},    {"VACUUM", STATEMENT_REFUSED},
        {"REINDEX", STATEMENT_REFUSED},   {"SAVEPOINT", STATEMENT_REFUSED},
        {"RELEASE", STATEMENT_REFUSED},   {"REPLACE", STATEMENT_REFUSED},
    };
    if (g_str_equal(word_at(words, 0), "ROLLBACK") && has_word(words, "TO")) {
        return STATEMENT_REFUSED;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        if (g_str_equal(word_at(words, 0), COMMANDS[i].word)) {
            return COMMANDS[i].command;
        }
    }
    if (is_control(words, sql)) {
        return STATEMENT_CONTROL;
    }
    if (is_advisory(words, sql)) {
        return STATEMENT_ADVISORY;
    }
    while (*sql != '\0' &&
           (g_ascii_isspace(*sql) || g_str_has_prefix(sql, "--") || g_str_has_prefix(sql, "/*"))) {
        sql = skip_element(sql);
    }
    return *sql == '\0' ? STATEMENT_EMPTY : STATEMENT_SQL;
}

static struct statement *statement_parse(const char *text, size_t length)
{
    enum { WORDS_LIMIT = 400 };
    struct statement *statement = g_new0(struct statement, 1);
    statement->text = g_strndup(text, length);
    statement->sql = g_strdup(statement->text);
    statement->parameter_oids = g_array_new(FALSE, TRUE, sizeof(guint));
    blank_dialect(statement);
    g_autoptr(GPtrArray) words = leading_words(statement->sql, WORDS_LIMIT);
    statement->command = command_of(words, statement->sql);
    statement->tag = command_tag(words);
    if (statement->command == STATEMENT_BEGIN) {
        statement->read_only = has_word(words, "ONLY");
        statement->snapshot = has_word(words, "REPEATABLE") || has_word(words, "SERIALIZABLE");
    }
    return statement;
}

GPtrArray *statement_split(const char *text)
{
    GPtrArray *statements = g_ptr_array_new_with_free_func((GDestroyNotify)statement_free);
    const char *start = text;
    const char *at = text;
    while (*at != '\0') {
        if (*at == ';') {
            g_ptr_array_add(statements, statement_parse(start, (size_t)(at - start)));
            start = at + 1;
        }
        at = skip_element(at);
    }
    struct statement *last = statement_parse(start, (size_t)(at - start));
    if (last->command == STATEMENT_EMPTY && statements->len > 0) {
        statement_free(last);
    } else {
        g_ptr_array_add(statements, last);
    }
    return statements;
}

void statement_free(struct statement *statement)
{
    g_free(statement->text);
    g_free(statement->sql);
    g_free(statement->tag);
    g_array_unref(statement->parameter_oids);
    g_free(statement);
}

guint statement_parameter_oid(const struct statement *statement, guint index)
{
    if (index >= statement->parameter_oids->len) {
        return 0;
    }
    return g_array_index(statement->parameter_oids, guint, index);
}
