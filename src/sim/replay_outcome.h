/* Stated outcomes of a trace: a key file beside it, NAME.outcome, with the groups
 *
 *   [trace]       cause = why the trace is kept, found_by =, failing_on =
 *                 decisions_changed = why the core decides otherwise now than it was recorded to
 *   [outcome N]   text = what must hold, in a sentence
 *                 expect = some | none | view
 *                 daemon =, action =, record =, reason =, database =, term = (any where absent)
 *                 from_ms =, until_ms = (since the first record)
 *                 write = done | refused | failed | unknown (of a write, not of an action), with
 *                 error =, keyed =, resolves =, replayed =, executions = (any where absent)
 *                 primary =, paused = (of expect = view: the daemon's view at until_ms)
 */
#ifndef SW_SIM_REPLAY_OUTCOME_H
#define SW_SIM_REPLAY_OUTCOME_H

#include <glib.h>
#include <stdbool.h>

#include "core/group_control.h"
#include "sim/replay_write.h"

enum outcome_expectation {
    OUTCOME_EXPECT_SOME, /* at least one matching action */
    OUTCOME_EXPECT_NONE, /* no matching action */
    OUTCOME_EXPECT_VIEW, /* the daemon's view is as stated */
};

/* -1 in a field matches anything. */
struct replay_outcome {
    char *text;
    enum outcome_expectation expect;
    int32_t daemon;
    int32_t action; /* enum group_action_kind */
    int32_t record; /* enum group_record_kind */
    int32_t reason; /* enum group_reason */
    int32_t database;
    int64_t term;
    int32_t write; /* enum outcome; if set, the outcome is about a write */
    int32_t error; /* enum error_kind of a write; the next four fields are of writes, too */
    int32_t keyed;
    int32_t resolves;
    int32_t replayed;
    int32_t executions;
    int32_t primary; /* -1 means no primary here; see has_primary */
    bool has_primary;
    int32_t paused;
    time_ns from; /* since the first record */
    time_ns until;
    uint32_t matches; /* counted during the replay */
    bool view_checked;
};

/* Reads the outcomes: an array of struct replay_outcome that frees its items. Sets
 * `decisions_changed` if the file gives a reason for changed decisions. */
GPtrArray *replay_outcomes_load(const char *path, bool *decisions_changed, GError **error);

/* True if the outcome describes this action of a daemon, at a time since the first record. */
bool replay_outcome_matches(const struct replay_outcome *outcome, uint32_t daemon, time_ns at,
                            const struct group_action *action);

/* True if the outcome describes this write, which began at a time since the first record. */
bool replay_outcome_matches_write(const struct replay_outcome *outcome, uint32_t daemon, time_ns at,
                                  const struct replayed_write *write);

/* True if the view is as the outcome states. */
bool replay_outcome_view_holds(const struct replay_outcome *outcome, const struct group_view *view);

#endif
