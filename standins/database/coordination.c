/* Promises to coordinators and changes of role. See coordination.h. */
#include "coordination.h"

static bool fail_promised(const struct database *database, struct sql_error *error)
{
    return sql_error_set(error, "55000", "promised to %" G_GUINT64_FORMAT, database->promised_term);
}

static void promise(struct database *database, uint64_t term, const char *coordinator)
{
    database->promised_term = term;
    g_free(database->promised_to);
    database->promised_to = g_strdup(coordinator);
}

bool coordination_fence(struct database *database, uint64_t term, const char *coordinator,
                        struct sql_error *error)
{
    bool again = term == database->promised_term && g_str_equal(coordinator, database->promised_to);
    if (term <= database->promised_term && !again) {
        return fail_promised(database, error);
    }
    if (term > database->term) {
        database_abort_writer(database);
    }
    promise(database, term, coordinator);
    pthread_cond_broadcast(&database->changed);
    return true;
}

/* Appends an entry without statements, so that the log's last entry is of the new term. */
static void append_term_start(struct database *database)
{
    struct log_position position = {database->term, database->log->len + 1};
    struct log_entry *entry = log_entry_new(position, g_get_real_time(), 0);
    g_ptr_array_add(database->log, entry);
    database_apply_next(database);
}

bool coordination_promote(struct database *database, uint64_t term, const char *coordinator,
                          struct sql_error *error)
{
    bool promised =
        term == database->promised_term && g_str_equal(coordinator, database->promised_to);
    if (!promised) {
        return fail_promised(database, error);
    }
    if (database->role == DATABASE_ROLE_PRIMARY && database->term == term) {
        return true;
    }
    while (database->applied < database->log->len) {
        database_apply_next(database);
    }
    database->role = DATABASE_ROLE_PRIMARY;
    database->term = term;
    database->follow_count++;
    g_clear_pointer(&database->primary, g_free);
    append_term_start(database);
    g_message("database %s: primary of term %" G_GUINT64_FORMAT ".", database->name, term);
    return true;
}

bool coordination_follow(struct database *database, uint64_t term, const char *primary,
                         const char *coordinator, struct sql_error *error)
{
    bool leads = database->role == DATABASE_ROLE_PRIMARY && database->term == term;
    if (term < database->promised_term || leads) {
        return fail_promised(database, error);
    }
    database_abort_writer(database);
    if (term > database->promised_term) {
        promise(database, term, coordinator);
    }
    database->role = DATABASE_ROLE_REPLICA;
    database->term = term;
    database->follow_count++;
    g_free(database->primary);
    database->primary = g_strdup(primary);
    pthread_cond_broadcast(&database->changed);
    g_message("database %s: replica of %s in term %" G_GUINT64_FORMAT ".", database->name, primary,
              term);
    return true;
}
