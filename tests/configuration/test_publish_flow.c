/* The state machine of publishing: single transitions, and seeded races of three publishers on a
 * model of the platform whose calls are lost, delayed, throttled or not sent. */
#include "configuration/publish_flow.h"

#define MODEL_VERSIONS_MAX  16
#define MODEL_PUBLISHERS    3
#define MODEL_SEEDS         20000
#define MODEL_STEPS_MAX     400
#define MODEL_DEADLINE_MS   400
#define MODEL_FAULT_PERCENT 35

/* A move of the head that got no answer and may still take effect. */
struct late_move {
    guint publisher;
    uint64_t base;
};

/* State of the platform, and the flows that use it. */
struct model {
    GRand *random;
    uint64_t head;                          /* newest version; 0: none */
    guint publisher_of[MODEL_VERSIONS_MAX]; /* by version, from 1 */
    bool bundle_stored[MODEL_PUBLISHERS];
    GArray *late; /* struct late_move */
    uint64_t now_ms;
    struct publish_flow flows[MODEL_PUBLISHERS];
};

static const char *const request_ids[MODEL_PUBLISHERS] = {"request-0", "request-1", "request-2"};
static const char *const hashes[MODEL_PUBLISHERS] = {"hash-0", "hash-1", "hash-2"};

static struct version_row model_row(const struct model *model, uint64_t version)
{
    guint publisher = model->publisher_of[version];

    return (struct version_row){.version = version,
                                .hash = (char *)hashes[publisher],
                                .request_id = (char *)request_ids[publisher],
                                .author = (char *)"author",
                                .message = (char *)"message"};
}

static struct publish_context model_context(struct model *model)
{
    return (struct publish_context){model->now_ms, g_rand_int(model->random)};
}

static bool model_chance(struct model *model, gint percent)
{
    return g_rand_int_range(model->random, 0, 100) < percent;
}

/* The conditional transaction that moves the head. A bundle must be stored before a head names it.
 */
static bool model_move(struct model *model, guint publisher, uint64_t base)
{
    if (model->head != base) {
        return false;
    }
    g_assert_true(model->bundle_stored[publisher]);
    g_assert_cmpuint(base + 1, <, MODEL_VERSIONS_MAX);
    model->head = base + 1;
    model->publisher_of[model->head] = publisher;
    return true;
}

static void model_apply_late_move(struct model *model)
{
    if (model->late->len == 0) {
        return;
    }
    guint index = (guint)g_rand_int_range(model->random, 0, (gint)model->late->len);
    struct late_move move = g_array_index(model->late, struct late_move, index);
    g_array_remove_index_fast(model->late, index);
    model_move(model, move.publisher, move.base);
}

/* A random failure; the caller decides whether UNKNOWN took effect. */
static enum platform_result model_failure(struct model *model)
{
    static const enum platform_result failures[] = {
        PLATFORM_RESULT_THROTTLED, PLATFORM_RESULT_UNAVAILABLE, PLATFORM_RESULT_UNKNOWN};

    return failures[g_rand_int_range(model->random, 0, G_N_ELEMENTS(failures))];
}

static void step_read_head(struct model *model, struct publish_flow *flow)
{
    if (model_chance(model, MODEL_FAULT_PERCENT)) {
        publish_flow_on_head(flow, model_failure(model), NULL, model_context(model));
        return;
    }
    if (model->head == 0) {
        publish_flow_on_head(flow, PLATFORM_RESULT_NOT_FOUND, NULL, model_context(model));
        return;
    }
    struct version_row row = model_row(model, model->head);
    publish_flow_on_head(flow, PLATFORM_RESULT_OK, &row, model_context(model));
}

static void step_read_version(struct model *model, struct publish_flow *flow)
{
    if (model_chance(model, MODEL_FAULT_PERCENT)) {
        publish_flow_on_version(flow, model_failure(model), NULL, model_context(model));
        return;
    }
    g_assert_cmpuint(flow->request.base + 1, <=, model->head);
    struct version_row row = model_row(model, flow->request.base + 1);
    publish_flow_on_version(flow, PLATFORM_RESULT_OK, &row, model_context(model));
}

/* The base is not 0 then, as a flow checks only a change of an existing version. */
static void step_check_change(struct model *model, struct publish_flow *flow)
{
    bool fails = model_chance(model, MODEL_FAULT_PERCENT);

    g_assert_cmpuint(flow->request.base, >, 0);
    publish_flow_on_check(flow, fails ? model_failure(model) : PLATFORM_RESULT_OK,
                          model_context(model));
}

static void step_put_bundle(struct model *model, guint publisher)
{
    bool existed = model->bundle_stored[publisher];
    enum platform_result result = existed ? PLATFORM_RESULT_CONDITION_FAILED : PLATFORM_RESULT_OK;

    if (model_chance(model, MODEL_FAULT_PERCENT)) {
        result = model_failure(model);
    }
    bool takes_effect = result == PLATFORM_RESULT_OK ||
                        (result == PLATFORM_RESULT_UNKNOWN && model_chance(model, 50));
    model->bundle_stored[publisher] = existed || takes_effect;
    publish_flow_on_bundle(&model->flows[publisher], result, model_context(model));
}

static void step_move_head(struct model *model, guint publisher)
{
    struct publish_flow *flow = &model->flows[publisher];
    struct late_move late = {publisher, flow->request.base};

    if (!model_chance(model, MODEL_FAULT_PERCENT)) {
        bool moved = model_move(model, publisher, flow->request.base);
        publish_flow_on_move(flow, moved ? PLATFORM_RESULT_OK : PLATFORM_RESULT_CONDITION_FAILED,
                             model_context(model));
        return;
    }
    enum platform_result result = model_failure(model);
    if (result == PLATFORM_RESULT_UNKNOWN) {
        g_array_append_val(model->late, late);
        if (model_chance(model, 50)) {
            model_apply_late_move(model);
        }
    }
    publish_flow_on_move(flow, result, model_context(model));
}

static void model_step(struct model *model, guint publisher)
{
    struct publish_flow *flow = &model->flows[publisher];

    switch (flow->action) {
    case PUBLISH_ACTION_READ_HEAD:
        step_read_head(model, flow);
        break;
    case PUBLISH_ACTION_READ_VERSION:
        step_read_version(model, flow);
        break;
    case PUBLISH_ACTION_CHECK_CHANGE:
        step_check_change(model, flow);
        break;
    case PUBLISH_ACTION_PUT_BUNDLE:
        step_put_bundle(model, publisher);
        break;
    case PUBLISH_ACTION_MOVE_HEAD:
        step_move_head(model, publisher);
        break;
    case PUBLISH_ACTION_WAIT:
        model->now_ms += flow->wait_ms;
        publish_flow_on_waited(flow);
        break;
    case PUBLISH_ACTION_FINISH:
        break;
    }
}

static struct publish_request make_request(guint publisher)
{
    return (struct publish_request){
        .request_id = request_ids[publisher],
        .hash = hashes[publisher],
        .deadline_ms = MODEL_DEADLINE_MS,
        .backoff = {.base_ms = 10, .maximum_ms = 200},
    };
}

static void model_init(struct model *model, guint32 seed)
{
    *model = (struct model){.random = g_rand_new_with_seed(seed)};
    model->late = g_array_new(FALSE, FALSE, sizeof(struct late_move));
    for (guint i = 0; i < MODEL_PUBLISHERS; i++) {
        struct publish_request request = make_request(i);
        request.has_base = model_chance(model, 50);
        request.deadline_ms = (uint64_t)g_rand_int_range(model->random, 1, MODEL_DEADLINE_MS);
        publish_flow_start(&model->flows[i], &request);
    }
}

static void model_clear(struct model *model)
{
    g_array_unref(model->late);
    g_rand_free(model->random);
}

static void model_run(struct model *model)
{
    for (guint step = 0; step < MODEL_STEPS_MAX; step++) {
        model_step(model, (guint)g_rand_int_range(model->random, 0, MODEL_PUBLISHERS));
        if (model_chance(model, 10)) {
            model_apply_late_move(model);
        }
    }
    /* The remaining flows run to their end one after the other; late moves may take effect
     * afterwards. */
    for (guint i = 0; i < MODEL_PUBLISHERS; i++) {
        while (model->flows[i].action != PUBLISH_ACTION_FINISH) {
            model_step(model, i);
        }
    }
    while (model->late->len > 0) {
        model_apply_late_move(model);
    }
}

static guint count_published(const struct model *model, guint publisher)
{
    guint count = 0;

    for (uint64_t version = 1; version <= model->head; version++) {
        count += model->publisher_of[version] == publisher ? 1 : 0;
    }
    return count;
}

/* Compares a publisher's status with the final history: an accepted publication is in it exactly
 * once, a conflicting or failed one is not. Guards against a wrong outcome after a lost answer. */
static void assert_status_matches_history(const struct model *model, guint publisher)
{
    const struct publish_flow *flow = &model->flows[publisher];
    guint published = count_published(model, publisher);

    g_assert_cmpuint(published, <=, 1);
    switch (flow->status) {
    case PUBLISH_STATUS_ACCEPTED:
        g_assert_cmpuint(model->publisher_of[flow->version], ==, publisher);
        g_assert_cmpuint(published, ==, 1);
        break;
    case PUBLISH_STATUS_CONFLICT:
    case PUBLISH_STATUS_UNAVAILABLE:
        g_assert_cmpuint(published, ==, 0);
        break;
    case PUBLISH_STATUS_UNKNOWN:
        break;
    default:
        g_assert_not_reached();
    }
}

static void test_seeded_races(void)
{
    guint counts[PUBLISH_STATUS_UNKNOWN + 1] = {0};

    for (guint32 seed = 1; seed <= MODEL_SEEDS; seed++) {
        struct model model;
        model_init(&model, seed);
        model_run(&model);
        for (guint i = 0; i < MODEL_PUBLISHERS; i++) {
            assert_status_matches_history(&model, i);
            counts[model.flows[i].status]++;
        }
        model_clear(&model);
    }
    /* The seeds cover every status that the model can produce. */
    g_assert_cmpuint(counts[PUBLISH_STATUS_ACCEPTED], >, 0);
    g_assert_cmpuint(counts[PUBLISH_STATUS_CONFLICT], >, 0);
    g_assert_cmpuint(counts[PUBLISH_STATUS_UNAVAILABLE], >, 0);
    g_assert_cmpuint(counts[PUBLISH_STATUS_UNKNOWN], >, 0);
}

static const struct publish_context context = {.now_ms = 0, .random = 5};

/* A flow at MOVE_HEAD with base 4. */
static struct publish_flow flow_at_move(void)
{
    struct publish_flow flow;
    struct publish_request request = make_request(0);
    struct version_row head = {.version = 4,
                               .hash = (char *)"old",
                               .request_id = (char *)"old",
                               .author = (char *)"a",
                               .message = (char *)"m"};

    request.has_base = true;
    request.base = 4;
    publish_flow_start(&flow, &request);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_READ_HEAD);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &head, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_CHECK_CHANGE);
    publish_flow_on_check(&flow, PLATFORM_RESULT_OK, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_PUT_BUNDLE);
    publish_flow_on_bundle(&flow, PLATFORM_RESULT_CONDITION_FAILED, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_MOVE_HEAD);
    return flow;
}

static struct version_row row_of(uint64_t version, guint publisher)
{
    return (struct version_row){.version = version,
                                .hash = (char *)hashes[publisher],
                                .request_id = (char *)request_ids[publisher]};
}

static void expect_wait_then(struct publish_flow *flow, enum publish_action action)
{
    g_assert_cmpint(flow->action, ==, PUBLISH_ACTION_WAIT);
    publish_flow_on_waited(flow);
    g_assert_cmpint(flow->action, ==, action);
}

static void test_lost_answer_found_at_the_head(void)
{
    struct publish_flow flow = flow_at_move();
    struct version_row ours = row_of(5, 0);

    publish_flow_on_move(&flow, PLATFORM_RESULT_UNKNOWN, context);
    expect_wait_then(&flow, PUBLISH_ACTION_READ_HEAD);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &ours, context);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_ACCEPTED);
    g_assert_cmpuint(flow.version, ==, 5);
}

static void test_lost_answer_found_in_the_history(void)
{
    struct publish_flow flow = flow_at_move();
    struct version_row newer = row_of(7, 1);
    struct version_row ours = row_of(5, 0);

    publish_flow_on_move(&flow, PLATFORM_RESULT_UNKNOWN, context);
    expect_wait_then(&flow, PUBLISH_ACTION_READ_HEAD);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &newer, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_READ_VERSION);
    publish_flow_on_version(&flow, PLATFORM_RESULT_OK, &ours, context);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_ACCEPTED);
    g_assert_cmpuint(flow.version, ==, 5);
}

static void test_lost_request_is_sent_again(void)
{
    struct publish_flow flow = flow_at_move();
    struct version_row unchanged = row_of(4, 1);

    publish_flow_on_move(&flow, PLATFORM_RESULT_UNKNOWN, context);
    expect_wait_then(&flow, PUBLISH_ACTION_READ_HEAD);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &unchanged, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_MOVE_HEAD);
    publish_flow_on_move(&flow, PLATFORM_RESULT_OK, context);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_ACCEPTED);
}

static void test_race_is_lost(void)
{
    struct publish_flow flow = flow_at_move();
    struct version_row winner = row_of(5, 1);

    publish_flow_on_move(&flow, PLATFORM_RESULT_CONDITION_FAILED, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_READ_HEAD);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &winner, context);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_CONFLICT);
}

/* A request id that is reused for another bundle does not match the version of the first. */
static void test_reused_request_id_is_a_conflict(void)
{
    struct publish_flow flow = flow_at_move();
    struct version_row other = row_of(5, 0);

    other.hash = (char *)"other";
    publish_flow_on_move(&flow, PLATFORM_RESULT_CONDITION_FAILED, context);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &other, context);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_CONFLICT);
}

static void test_deadline_after_a_lost_answer_is_unknown(void)
{
    struct publish_flow flow = flow_at_move();
    const struct publish_context late = {.now_ms = MODEL_DEADLINE_MS, .random = 5};

    publish_flow_on_move(&flow, PLATFORM_RESULT_UNKNOWN, late);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_UNKNOWN);
}

static void test_deadline_before_the_move_is_certain(void)
{
    struct publish_flow flow = flow_at_move();
    const struct publish_context late = {.now_ms = MODEL_DEADLINE_MS, .random = 5};

    publish_flow_on_move(&flow, PLATFORM_RESULT_THROTTLED, late);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_UNAVAILABLE);
}

static void test_base_above_the_head(void)
{
    struct publish_flow flow;
    struct publish_request request = make_request(0);

    request.has_base = true;
    request.base = 3;
    publish_flow_start(&flow, &request);
    publish_flow_on_head(&flow, PLATFORM_RESULT_NOT_FOUND, NULL, context);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_NO_BASE);
}

/* If the change may not follow the base, the flow ends without writing the bundle or the head. */
static void test_forbidden_change(void)
{
    struct publish_flow flow;
    struct publish_request request = make_request(0);
    struct version_row head = row_of(4, 1);

    publish_flow_start(&flow, &request);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &head, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_CHECK_CHANGE);
    publish_flow_on_check(&flow, PLATFORM_RESULT_UNAVAILABLE, context);
    expect_wait_then(&flow, PUBLISH_ACTION_CHECK_CHANGE);
    publish_flow_on_check(&flow, PLATFORM_RESULT_CONDITION_FAILED, context);
    g_assert_cmpint(flow.action, ==, PUBLISH_ACTION_FINISH);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_FORBIDDEN);
}

static void test_same_bundle_makes_no_version(void)
{
    struct publish_flow flow;
    struct publish_request request = make_request(0);
    struct version_row head = row_of(9, 0);

    head.request_id = (char *)"earlier";
    publish_flow_start(&flow, &request);
    publish_flow_on_head(&flow, PLATFORM_RESULT_OK, &head, context);
    g_assert_cmpint(flow.status, ==, PUBLISH_STATUS_UNCHANGED);
    g_assert_cmpuint(flow.version, ==, 9);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/publish-flow/lost-answer/head", test_lost_answer_found_at_the_head);
    g_test_add_func("/publish-flow/lost-answer/history", test_lost_answer_found_in_the_history);
    g_test_add_func("/publish-flow/lost-request", test_lost_request_is_sent_again);
    g_test_add_func("/publish-flow/race-lost", test_race_is_lost);
    g_test_add_func("/publish-flow/reused-request-id", test_reused_request_id_is_a_conflict);
    g_test_add_func("/publish-flow/deadline/unknown", test_deadline_after_a_lost_answer_is_unknown);
    g_test_add_func("/publish-flow/deadline/certain", test_deadline_before_the_move_is_certain);
    g_test_add_func("/publish-flow/no-base", test_base_above_the_head);
    g_test_add_func("/publish-flow/forbidden-change", test_forbidden_change);
    g_test_add_func("/publish-flow/unchanged", test_same_bundle_makes_no_version);
    g_test_add_func("/publish-flow/seeded-races", test_seeded_races);
    return g_test_run();
}
