#include "standins/session_platform/commands.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* An injected fault of the store, by its name in commands. */
struct store_fault {
    const char *word;
    struct row_store_faults faults;
};

static const struct store_fault store_faults[] = {
    {"well", {0}},
    {"refuse", {.refuse = true}},
    {"silent", {.unresponsive = true}},
    {"lose", {.lose_writes = true}},
};

/* An injected fault of a database, by its name in commands. */
struct database_fault {
    const char *word;
    struct line_faults faults;
};

static const struct database_fault database_faults[] = {
    {"well", {0}},
    {"down", {.down = true}},
    {"silent", {.unresponsive = true}},
    {"busy", {.busy = true}},
    {"deaf", {.no_replication = true}},
    {"lagging", {.lagging = true}},
    {"lose", {.lose_answers = true}},
    {"cut", {.no_replication = true, .unrecorded = true}},
    {"draining", {.draining = true}},
    {"gone", {.down = true, .gone = true}},
};

static const char *
inject_store_fault(struct platform *platform, const char *word)
{
    if (strcmp(word, "forget") == 0) {
        row_store_discard_history(platform->store);
        return NULL;
    }
    unsigned ms_ago = 0;
    if (sscanf(word, "restore %u", &ms_ago) == 1) {
        row_store_restore(platform->store, row_store_version(platform->store, ms_ago));
        return NULL;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(store_faults); i++) {
        if (strcmp(store_faults[i].word, word) == 0) {
            row_store_set_faults(platform->store, &store_faults[i].faults);
            return NULL;
        }
    }
    return "unknown fault of the store";
}

static const struct line_faults *
find_faults(const char *word)
{
    for (size_t i = 0; i < G_N_ELEMENTS(database_faults); i++) {
        if (strcmp(database_faults[i].word, word) == 0) {
            return &database_faults[i].faults;
        }
    }
    return NULL;
}

static const char *
inject_database_fault(struct platform *platform, const char *id, const char *word)
{
    const struct line_faults *faults = find_faults(word);
    unsigned slots = 0;
    unsigned time_factor = 0;
    bool sets_slots = sscanf(word, "slots %u %u", &slots, &time_factor) == 2;
    if (faults == NULL && !sets_slots) {
        return "unknown fault of a database";
    }
    for (unsigned i = 0; i < platform->count; i++) {
        for (unsigned database = 0; database < DATABASES_PER_SERVICE; database++) {
            if (strcmp(line_group_id(platform->groups[i], database), id) != 0) {
                continue;
            }
            if (sets_slots) {
                platform_set_slots(platform, i, database, slots, time_factor);
            } else {
                platform_set_faults(platform, i, database, faults);
            }
            return NULL;
        }
    }
    return "unknown database";
}

static const char *
dump(struct platform *platform, const char *path)
{
    FILE *out = fopen(path, "w");
    if (out == NULL) {
        return "can't write the file";
    }
    for (unsigned i = 0; i < platform->count; i++) {
        line_group_dump(platform->groups[i], out);
    }
    bool fell = false;
    unsigned count = row_store_promotions(platform->store);
    uint64_t token = row_store_token(platform->store, &fell);
    bool shared = row_store_token_shared(platform->store);
    fprintf(out,
            "{\"promotions\":{\"count\":%u,\"token\":%" PRIu64
            ",\"token_fell\":%s,\"token_shared\":%s}}\n",
            count, token, fell ? "true" : "false", shared ? "true" : "false");
    return fclose(out) == 0 ? NULL : "can't write the file";
}

/* Prints each service's current leader and the lease record. */
static const char *
print_roles(struct platform *platform)
{
    uint64_t era = row_store_era(platform->store);
    g_autofree char *key = era == 0 ? g_strdup("lease") : g_strdup_printf("lease/%" PRIu64, era);
    g_autofree char *lease = row_store_get(platform->store, "pooler", key);
    for (unsigned i = 0; i < platform->count; i++) {
        printf("leads %s %s\n", platform->services[i], line_group_leader(platform->groups[i]));
    }
    printf("lease %s\n", lease == NULL ? "" : lease);
    return NULL;
}

/* NULL on success, else the error. */
static const char *
run(struct platform *platform, char **words)
{
    if (g_strcmp0(words[0], "look") == 0) {
        return print_roles(platform);
    }
    if (words[0] == NULL || words[1] == NULL) {
        return "expected a command and its arguments";
    }
    if (strcmp(words[0], "store") == 0) {
        g_autofree char *fault = g_strjoinv(" ", words + 1);
        return inject_store_fault(platform, fault);
    }
    if (strcmp(words[0], "database") == 0 && words[2] != NULL) {
        return inject_database_fault(platform, words[1], words[2]);
    }
    if (strcmp(words[0], "dump") == 0) {
        return dump(platform, words[1]);
    }
    return "unknown command";
}

void
command_run(struct platform *platform, char *line)
{
    static const char configure[] = "configure ";
    const char *fault = NULL;
    if (g_str_has_prefix(line, configure)) {
        bool stored = platform_configure(platform, line + strlen(configure)) >= 0;
        fault = stored ? NULL : "the configuration is not valid JSON";
    } else {
        g_auto(GStrv) words = g_strsplit(line, " ", 3);
        fault = run(platform, words);
    }
    printf("%s%s\n", fault == NULL ? "done" : "error: ", fault == NULL ? "" : fault);
    fflush(stdout);
}
