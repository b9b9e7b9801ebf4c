/* The SQL of the load. See operation.h. */
#include "load/operation.h"

#include <string.h>

/* ledger_check has no unique key, so that a write that was run twice leaves two rows. */
const char *const OPERATION_SCHEMA[] = {
    "CREATE TABLE IF NOT EXISTS bookings"
    " (id TEXT PRIMARY KEY, session TEXT, sequence BIGINT, created TEXT)",
    "CREATE TABLE IF NOT EXISTS ledger_check (entry BIGINT, id TEXT)",
    "CREATE INDEX IF NOT EXISTS ledger_check_id ON ledger_check (id)",
};
const size_t OPERATION_SCHEMA_COUNT = G_N_ELEMENTS(OPERATION_SCHEMA);

static const char READ_SQL[] = "SELECT id FROM ledger_check WHERE id >= $1 AND id < $2 ORDER BY id";
static const char ENTRY_SQL[] = "INSERT INTO ledger_check (entry, id) VALUES ($1, $2)";
static const char BOOKING_SQL[] =
    "INSERT INTO bookings (id, session, sequence, created) VALUES ($1, $2, $3, $4)";

static struct operation *operation_new(uint64_t number, enum operation_kind kind, const char *range)
{
    struct operation *operation = g_new0(struct operation, 1);
    operation->number = number;
    operation->kind = kind;
    operation->range = g_strdup(range);
    return operation;
}

static struct operation_statement *add_statement(struct operation *operation, const char *sql)
{
    struct operation_statement *statement = &operation->statements[operation->statement_count];
    operation->statement_count++;
    statement->sql = sql;
    return statement;
}

static void add_text(struct operation_statement *statement, const char *text)
{
    statement->parameters[statement->parameter_count].text = g_strdup(text);
    statement->parameter_count++;
}

static void add_number(struct operation_statement *statement, uint64_t number)
{
    struct operation_parameter *parameter = &statement->parameters[statement->parameter_count];
    parameter->text = g_strdup_printf("%" G_GUINT64_FORMAT, number);
    parameter->is_number = true;
    statement->parameter_count++;
}

static void add_entry(struct operation *operation)
{
    struct operation_statement *statement = add_statement(operation, ENTRY_SQL);
    add_number(statement, operation->number);
    add_text(statement, operation->id);
}

struct operation *operation_read_new(uint64_t number, const char *range)
{
    struct operation *operation = operation_new(number, OPERATION_READ, range);
    struct operation_statement *statement = add_statement(operation, READ_SQL);
    add_text(statement, range);
    /* The first string after all that begin with the range. */
    g_autofree char *end = g_strdup(range);
    end[strlen(end) - 1]++;
    add_text(statement, end);
    return operation;
}

struct operation *operation_entry_new(uint64_t number, const char *range, const char *id)
{
    struct operation *operation = operation_new(number, OPERATION_ENTRY, range);
    operation->id = g_strdup(id);
    add_entry(operation);
    return operation;
}

struct operation *operation_batch_new(uint64_t number, const char *range, const char *id,
                                      const char *session)
{
    struct operation *operation = operation_new(number, OPERATION_BATCH, range);
    operation->id = g_strdup(id);
    struct operation_statement *booking = add_statement(operation, BOOKING_SQL);
    add_text(booking, id);
    add_text(booking, session);
    add_number(booking, number);
    g_autoptr(GDateTime) now = g_date_time_new_now_utc();
    g_autofree char *created = g_date_time_format_iso8601(now);
    add_text(booking, created);
    add_entry(operation);
    return operation;
}

void operation_free(struct operation *operation)
{
    if (operation == NULL) {
        return;
    }
    for (uint32_t i = 0; i < operation->statement_count; i++) {
        struct operation_statement *statement = &operation->statements[i];
        for (uint32_t j = 0; j < statement->parameter_count; j++) {
            g_free(statement->parameters[j].text);
        }
    }
    g_free(operation->id);
    g_free(operation->range);
    g_free(operation->key);
    g_free(operation);
}
