/* The ledger table of a group; see the header. A new primary may lack the table: its creation is
 * not an acknowledged write, so that a failover can lose it. */
#include "daemon/task_ledger.h"

/* The request itself was not sent, whatever happened to the table's creation. */
static enum execute_result result_for_request(enum execute_result result)
{
    switch (result) {
    case EXECUTE_NOT_PRIMARY:
    case EXECUTE_CONFLICT:
        return result;
    default:
        return EXECUTE_NOT_SENT;
    }
}

enum execute_result task_prepare_ledger(struct task *task, struct backend_connection *connection,
                                        uint32_t database, time_ns deadline)
{
    struct group_view view;
    struct execute_answer answer;
    group_runtime_read_view(task->group, &view);
    if (view.primary != (int32_t)database) {
        return EXECUTE_NOT_PRIMARY;
    }
    if (atomic_load(&task->group->ledger_term) == view.term) {
        return EXECUTE_DONE;
    }
    execute_answer_init(&answer);
    enum execute_result result = adapter_create_ledger(connection, deadline, &answer);
    execute_answer_clear(&answer);
    if (result != EXECUTE_DONE) {
        return result_for_request(result);
    }
    atomic_store(&task->group->ledger_term, view.term);
    return EXECUTE_DONE;
}
