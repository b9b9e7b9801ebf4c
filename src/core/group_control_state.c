/* Digests of a group control's decisions, and saved states. */
#include "core/group_control_state.h"

#include <string.h>
#include <xxhash.h>

#include "core/group_control_internal.h"
#include "group_control_layout.h"

/* Number of 64-bit words of one action in the digest. */
#define ACTION_WORDS 22

static uint64_t digest_words(uint64_t digest, const uint64_t *words, size_t count)
{
    return XXH64(words, count * sizeof(words[0]), digest);
}

static uint64_t digest_action(uint64_t digest, const struct group_action *action)
{
    const struct group_opinion *opinion = &action->opinion;
    const struct group_record *record = &action->record;
    const uint64_t words[ACTION_WORDS] = {
        action->kind,
        action->command,
        action->database,
        action->term,
        action->primary,
        action->leaving,
        action->order,
        action->change,
        opinion->watcher,
        opinion->sequence,
        opinion->term,
        (uint64_t)opinion->primary,
        opinion->suspects,
        opinion->reachable,
        opinion->promised,
        opinion->change,
        opinion->drained,
        record->kind,
        record->reason,
        record->term,
        (uint64_t)record->database,
        record->position.offset,
    };

    return digest_words(digest, words, G_N_ELEMENTS(words));
}

static uint64_t digest_view(uint64_t digest, const struct group_view *view)
{
    const uint64_t words[] = {view->term, (uint64_t)view->primary, view->writes_paused};

    digest = digest_words(digest, words, G_N_ELEMENTS(words));
    for (uint32_t i = 0; i < view->database_count; i++) {
        const struct database_view *database = &view->databases[i];
        const uint64_t parts[] = {database->reachable, database->status.leaving,
                                  database->status.held.term, database->status.held.offset};

        digest = digest_words(digest, parts, G_N_ELEMENTS(parts));
    }
    return digest;
}

uint32_t group_control_digest(const struct group_control *control,
                              const struct group_actions *actions)
{
    uint64_t wake_at = actions->wake_at;
    uint64_t digest = digest_words(0, &wake_at, 1);

    for (uint32_t i = 0; i < actions->count; i++) {
        digest = digest_action(digest, &actions->items[i]);
        if (actions->items[i].kind == GROUP_ACTION_PUBLISH_VIEW) {
            digest = digest_view(digest, &control->view);
        }
    }
    return (uint32_t)digest == 0 ? 1 : (uint32_t)digest;
}

const char *group_control_state_layout(void)
{
    return GROUP_CONTROL_LAYOUT;
}

size_t group_control_state_size(void)
{
    return sizeof(struct group_control);
}

void group_control_save(const struct group_control *control, void *to)
{
    g_assert(control->actions == NULL);
    memcpy(to, control, sizeof(*control));
}

/* A state is read from a file: validate the counts that bound its arrays. */
static bool counts_are_valid(const struct group_control *control)
{
    uint32_t databases = control->options.database_count;
    return databases > 0 && databases <= GROUP_DATABASES_MAX &&
           control->view.database_count == databases &&
           control->view.sample_count <= GROUP_SAMPLES_MAX &&
           control->watcher_count <= GROUP_WATCHERS_MAX &&
           control->peer_count <= GROUP_WATCHERS_MAX;
}

struct group_control *group_control_restore(const void *from, size_t size)
{
    if (size != sizeof(struct group_control)) {
        return NULL;
    }
    struct group_control *control = g_memdup2(from, size);
    if (!counts_are_valid(control)) {
        group_control_free(control);
        return NULL;
    }
    /* The only pointer in the state; it is NULL between two steps. */
    control->actions = NULL;
    return control;
}
